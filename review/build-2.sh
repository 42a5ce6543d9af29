#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review into target/review-2/, with the packages that
# the deploy file lists.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
compiler=${CXX:-g++}
flags="-std=c++20 -O1 -g -Wall -Wextra -Wno-missing-field-initializers -pthread"
$compiler $flags -c review/stand-ins-2/platform.cpp -o target/review-2/platform.o
for folder in review/6 review/7 review/8 review/9; do
    [ -e "$folder/case.cpp" ] || continue
    $compiler $flags "$folder/case.cpp" target/review-2/platform.o \
        -o "target/review-2/case-${folder#review/}"
done
for trial in gap_in_listing evacuation_after_drill; do
    $compiler $flags "review/trials-2/$trial.cpp" target/review-2/platform.o \
        -o "target/review-2/$trial"
done
