#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into build-review-2/. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
g++ -std=c++20 -O1 -Wall -Wextra review/standins-2/*.cpp -o build-review-2/review_standins
