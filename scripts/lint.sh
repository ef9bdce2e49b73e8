#!/usr/bin/env bash
# Checks the formatting of all sources and headers and runs clang-tidy over every source file.
# Usage: scripts/lint.sh [BUILD_DIRECTORY]
set -euo pipefail
cd "$(dirname "$0")/.."
directory=${1:-build}
mapfile -t files < <(git ls-files --cached --others --exclude-standard -- "*.cpp" "*.h" | grep -v /generated/)
clang-format --dry-run --Werror "${files[@]}"
mapfile -t sources < <(printf '%s\n' "${files[@]}" | grep '\.cpp$')
printf '%s\0' "${sources[@]}" |
    xargs -0 -n 1 -P "${JOBS:-$(nproc)}" clang-tidy --quiet -p "$directory" 2>/dev/null
