#!/usr/bin/env bash
# Installs the packages, builds, and starts a local fleet with stand-in backend servers. Streams
# one chat, makes one payment and prints which instance served each. Then stops the processes that
# it started, each by its process id.
set -euo pipefail
cd "$(dirname "$0")/.."
Utilities/build.sh
exec build/Tests/local-fleet
