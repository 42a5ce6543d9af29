#!/usr/bin/env bash
# Installs the library below the build directory, then builds and runs an example program that
# embeds it.
# Usage: check-embedding.sh [BUILD]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
cmake --install "$build" --prefix "$build/installed" > /dev/null
cmake -S Tests/Embedding -B "$build/embedding" -G Ninja \
    -DCMAKE_PREFIX_PATH="$PWD/$build/installed" > /dev/null
cmake --build "$build/embedding" -- --quiet
"$build/embedding/embedding_example"
