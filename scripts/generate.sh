#!/usr/bin/env bash
# Generates the committed protobuf code. With --check, compares instead.
set -euo pipefail
cd "$(dirname "$0")/.."
out=src/wire
if [ "${1:-}" = --check ]; then
  out=$(mktemp -d)
  trap 'rm -rf "$out"' EXIT
fi
protoc --proto_path=src/wire --cpp_out="$out" peer.proto digest.proto
if [ "${1:-}" = --check ]; then
  for file in peer.pb.h peer.pb.cc digest.pb.h digest.pb.cc; do
    if ! diff -q "src/wire/$file" "$out/$file" >/dev/null; then
      echo "src/wire/$file does not match its .proto: run scripts/generate.sh" >&2
      exit 1
    fi
  done
fi
