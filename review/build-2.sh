#!/usr/bin/env bash
# Builds the programs of the second review's scripts into review/build-2/. Needs the packages of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=review/build-2
mkdir -p "$folder"
sources=(standins/src/sessions/{httpserver,listening,objectstore,replicagroup}.cpp decisions/src/logposition.cpp)
flags=(-std=c++20 -O1 -g1 -w -Istandins/include -Idecisions/include)
objects=()
for source in "${sources[@]}"; do
    object="$folder/$(basename "$source" .cpp).o"
    g++ "${flags[@]}" -c "$source" -o "$object" &
    objects+=("$object")
done
for case in review/{6,7,8,9,10}/case.cpp; do
    [ -f "$case" ] || continue
    g++ "${flags[@]}" -c "$case" -o "$folder/case-$(basename "$(dirname "$case")").o" &
done
for job in $(jobs -p); do
    wait "$job"
done
for case in "$folder"/case-*.o; do
    g++ "$case" "${objects[@]}" -pthread -o "${case%.o}"
done
