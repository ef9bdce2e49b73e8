#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review/objects
for source in review/harness/*.cpp; do
    g++ -std=c++20 -O2 -Wall -Wextra -pthread -c "$source" -o "target/review/objects/$(basename "$source" .cpp).o" &
done
wait
for source in review/[1-5]/Case.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O2 -Wall -Wextra -pthread "$source" target/review/objects/*.o -o "target/review/case-$number" &
done
wait
for source in review/[1-5]/Case.cpp; do
    test -x "target/review/case-$(basename "$(dirname "$source")")"
done
