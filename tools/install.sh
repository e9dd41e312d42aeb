#!/usr/bin/env bash
# Installs what the build, the tests and the checks need, from Debian's packages.
set -euo pipefail
packages=(
    g++ cmake ninja-build pkg-config clang-format clang-tidy python3-yaml
    libcaf-dev libgrpc++-dev libabsl-dev libprotobuf-dev libboost-dev libpopt-dev libspdlog-dev libopentracing-dev libssl-dev
    libsqlite3-dev nlohmann-json3-dev catch2 librapidcheck-dev libbenchmark-dev
)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f '${Status}' "$package" 2>/dev/null | grep -q '^install ok installed' || missing+=("$package")
done
if [ ${#missing[@]} -gt 0 ]; then
    as_root=$([ "$(id -u)" = 0 ] || echo sudo)
    $as_root apt-get update -qq
    DEBIAN_FRONTEND=noninteractive $as_root apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
fi
