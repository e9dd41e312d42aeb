#!/usr/bin/env bash
# Builds the stand-ins and cases of the review into build-review/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review -B build-review -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null
targets=()
for case in review/[1-5]/case.cpp; do
    targets+=("review-case-$(basename "$(dirname "$case")")")
done
cmake --build build-review --target "${targets[@]}"
