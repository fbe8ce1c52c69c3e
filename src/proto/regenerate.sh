#!/usr/bin/env bash
# Generates the committed protobuf and gRPC code into ../generated, or, with
# --check, compares what would be generated with what is committed.
set -euo pipefail
cd "$(dirname "$0")"
out=../generated
if [[ "${1:-}" == --check ]]; then
    out=$(mktemp -d)
    trap 'rm -rf "$out"' EXIT
fi
plugin=$(command -v grpc_cpp_plugin)
protoc -I. --cpp_out="$out" ./*.proto
protoc -I. --grpc_out="$out" --plugin=protoc-gen-grpc="$plugin" control.proto peer.proto
if [[ "${1:-}" == --check ]]; then
    diff -r --exclude=CMakeLists.txt "$out" ../generated
    echo "generated code is current"
fi
