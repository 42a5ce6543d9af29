#!/usr/bin/env bash
# Builds the programs that the scripts of the review start: each case with the stand-ins that it
# uses.  Needs the compiler of deploy/system.toml only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
g++ -std=c++20 -O1 -Wall -Wextra -pthread -c stand-ins/stand_ins.cpp -o build/stand_ins.o
for source in [1-5]/case.cpp; do
    [ -e "$source" ] || continue
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -Istand-ins "$source" build/stand_ins.o \
        -o "build/case-${source%%/*}"
done
