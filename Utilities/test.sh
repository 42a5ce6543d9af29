#!/usr/bin/env bash
# Builds and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
Utilities/build.sh
exec Utilities/run-tests.sh build
