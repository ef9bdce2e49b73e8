#!/usr/bin/env bash
# Builds all targets, or only the one named by the environment variable TARGET.
# Usage: scripts/build.sh [BUILD_DIRECTORY [CMAKE_ARGUMENT...]]
set -euo pipefail
cd "$(dirname "$0")/.."
directory=${1:-build}
shift || true
cmake -S . -B "$directory" "$@" >"$directory.cmake.log" 2>&1 || { cat "$directory.cmake.log"; exit 1; }
rm -f "$directory.cmake.log"
cmake --build "$directory" --target "${TARGET:-all}" -j "${JOBS:-$(nproc)}" -- --no-print-directory >"$directory/build.log" 2>&1 ||
    { grep -E -A 12 'error|Error' "$directory/build.log" | head -n 120; exit 1; }
