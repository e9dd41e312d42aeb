#!/usr/bin/env bash
# Regenerates generated/ from proto/. Needs protobuf-compiler and protobuf-compiler-grpc; the build does not.
set -euo pipefail
cd "$(dirname "$0")"
protoc -I proto --cpp_out=generated --grpc_out=generated \
    --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" proto/*.proto
