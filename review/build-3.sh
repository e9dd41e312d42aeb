#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review 3 start, into build-review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-3
for program in review/standin-3/*.cpp; do
    g++ -std=c++20 -O1 -Wall -Wextra -o "build-review-3/$(basename "$program" .cpp)" "$program" -pthread
done
