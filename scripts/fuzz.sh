#!/usr/bin/env bash
# Runs every fuzz target under libFuzzer with the address and undefined-behaviour sanitizers.
# Warnings are errors only with the compiler of the CI builds, because clang reports different ones.
# Usage: scripts/fuzz.sh [INPUTS_PER_TARGET [SEED]]
set -euo pipefail
cd "$(dirname "$0")/.."
inputs=${1:-2500000}
seed=${2:-1}
CC=clang-14 CXX=clang++-14 scripts/build.sh build-fuzz -DCHICORYFERRY_FUZZ=ON \
    -DCHICORYFERRY_SANITIZE=address,undefined -DCMAKE_CXX_FLAGS=-w
for source in test/fuzz/*Fuzz.cpp; do
    name=$(basename "$source" .cpp)
    work=$(mktemp -d)
    cp "test/fuzz/corpus/${name%Fuzz}"/* "$work"
    printf '== %s: %s inputs, seed %s\n' "$name" "$inputs" "$seed"
    "build-fuzz/$name" -runs="$inputs" -seed="$seed" -max_len=4096 -timeout=10 "$work" 2>&1 | tail -n 3
    rm -rf "$work"
done
