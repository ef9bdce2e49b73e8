#!/usr/bin/env bash
# Installs missing packages, builds with warnings as errors, checks formatting and lint, and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
step() { printf '== %s\n' "$1"; }

step "install packages"
scripts/install-packages.sh
step "build"
scripts/build.sh build
step "format and lint"
scripts/lint.sh build
scripts/check-operations-page.sh
step "unit tests under address and undefined-behaviour sanitizers"
TARGET=unit_tests scripts/build.sh build-asan -DCHICORYFERRY_SANITIZE=address,undefined -DCMAKE_BUILD_TYPE=Debug
ctest --test-dir build-asan --output-on-failure -R '^unit$'
step "unit tests of threaded parts under the thread sanitizer"
TARGET=unit_tests scripts/build.sh build-tsan -DCHICORYFERRY_SANITIZE=thread -DCMAKE_BUILD_TYPE=Debug
build-tsan/unit_tests --test-case='*[threads]*'
step "all tests"
ctest --test-dir build --output-on-failure
step "known faults, passed over"
cat KNOWN-RED.txt
