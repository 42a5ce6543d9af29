#!/usr/bin/env bash
# Installs the packages, builds, and starts a local fleet with stand-in backend servers. Streams
# one chat, makes one payment, prints which instance served each, and stops every process that it
# started by process id.
set -euo pipefail
cd "$(dirname "$0")/.."
Utilities/build.sh
exec build/Tests/local-fleet
