#!/usr/bin/env bash
# Configures and builds everything into build/.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
cmake -S . -B build -G Ninja
cmake --build build
