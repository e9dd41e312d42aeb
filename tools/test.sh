#!/usr/bin/env bash
# Installs, builds and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install.sh
tools/build.sh build
ctest --test-dir build --output-on-failure
