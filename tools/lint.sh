#!/usr/bin/env bash
# Runs clang-tidy on our own code, in parallel: tools/lint.sh [FOLDER]
set -euo pipefail
cd "$(dirname "$0")/.."
folder=${1:-build}
packages='decisions|model|kernel|protocol|proxy|sessions|platform|daemon|operator|standins|systemtests'
output=$(mktemp)
trap 'rm -f "$output"' EXIT
if ! run-clang-tidy -quiet -p "$folder" "^$PWD/($packages)/(src|test|apps|benchmark)/" >"$output" 2>&1; then
    grep -E '(warning|error):' "$output" | sort -u || tail -20 "$output"
    exit 1
fi
echo "clang-tidy: nothing found"
