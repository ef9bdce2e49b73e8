#!/usr/bin/env bash
# Builds the stand-ins of the third review's cases into target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++20 -O1 -Wall -Wextra -o target/review-3/cases review/standins-3/Fleet.cpp review/standins-3/Cases.cpp -lxxhash
