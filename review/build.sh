#!/usr/bin/env bash
# Compiles the stand-ins of the cases. They need the standard library alone.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q lib [1-5]
