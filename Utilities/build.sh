#!/usr/bin/env bash
# Installs the required packages and builds all targets in build/.
set -euo pipefail
cd "$(dirname "$0")/.."
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends \
    g++ cmake ninja-build pkg-config curl \
    libsigc++-3.0-dev libevent-dev libzmq3-dev cppzmq-dev libprotobuf-dev libtclap-dev \
    libfmt-dev libgtest-dev libgmock-dev librapidcheck-dev libbenchmark-dev libinih-dev \
    libxxhash-dev libssl-dev nlohmann-json3-dev libcpp-httplib-dev \
    libhttp-parser-dev prometheus-cpp-dev zlib1g-dev > /dev/null
cmake -S . -B build -G Ninja > /dev/null
cmake --build build -- --quiet
