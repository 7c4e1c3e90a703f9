#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standin/*_case.cc; do
  name=$(basename "$source" _case.cc)
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread \
    review/standin/standin.cc "$source" -o "target/review/$name"
done
