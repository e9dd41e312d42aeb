#!/usr/bin/env bash
# Runs clang-tidy on our own code, in parallel: tools/lint.sh [FOLDER]
set -euo pipefail
cd "$(dirname "$0")/.."
folder=${1:-build}
run-clang-tidy -quiet -p "$folder" "^$PWD/(decisions|model|kernel|protocol|proxy|daemon|operator|standins)/(src|test|apps|benchmark)/" 2>/dev/null |
    grep -E '(warning|error):' | sort -u | tee /dev/stderr | { ! grep -q .; }
