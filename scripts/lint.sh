#!/usr/bin/env bash
# Checks format and lints the project's own files. Needs a configured build/.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cc' '*.h')
clang-format --dry-run -Werror "${files[@]}"
cmake -S . -B build -G Ninja >/dev/null
run-clang-tidy -quiet -p build "$(pwd)/(libs|apps|standins|bench|tests)/.*" \
  2>/dev/null >build/lint.txt || { grep -E 'error|warning' build/lint.txt; exit 1; }
echo "lint: clean (${#files[@]} files)"
