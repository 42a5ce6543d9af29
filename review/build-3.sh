#!/usr/bin/env bash
# Builds the stand-ins and the scripts of the third review (review/11 to review/15) in
# target/review-3, with the compiler alone.  Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
for source in review/1[1-5]/case.cpp; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -pthread -Wall -Wextra -Wno-missing-field-initializers \
        -Ireview/stand-ins-3 review/stand-ins-3/*.cpp "$source" -o "$out/case-$number"
done
