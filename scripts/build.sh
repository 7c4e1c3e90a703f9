#!/usr/bin/env bash
# Configures and builds into build/: the targets given as arguments, or all.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
cmake -S . -B build -G Ninja
cmake --build build ${1:+--target "$@"}
