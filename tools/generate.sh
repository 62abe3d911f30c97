#!/usr/bin/env bash
# Generates the protocol code from router.proto into the folder given as the
# first argument (default: the repository). Needs grpcio-tools.
set -eu
cd "$(dirname "$0")/.."
python="${PYTHON:-.venv/bin/python}"
out="${1:-.}"
"$python" -m grpc_tools.protoc -I. --python_out="$out" \
  --grpclib_python_out="$out" \
  --plugin=protoc-gen-grpclib_python="$(dirname "$python")/protoc-gen-grpclib_python" \
  sassafrasstile/wire/router.proto
