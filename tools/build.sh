#!/usr/bin/env bash
# Builds everything into FOLDER: tools/build.sh FOLDER [CMAKE OPTIONS]
set -euo pipefail
cd "$(dirname "$0")/.."
folder=$1
shift
cmake -S . -B "$folder" -G Ninja "$@" >/dev/null
cmake --build "$folder" 
