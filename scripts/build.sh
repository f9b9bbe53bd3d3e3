#!/usr/bin/env bash
# Installs the packages and builds everything into build/.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/packages.sh
[ -f build/build.ninja ] || cmake -S . -B build -G Ninja
cmake --build build
