#!/usr/bin/env bash
# Builds the stand-ins of review/6 and above into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -Wall -Wextra -pthread -c review/standin-2/standin.cc \
  -o target/review-2/standin.o
for source in review/standin-2/*_case.cc; do
  name=$(basename "$source" .cc)
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" \
    target/review-2/standin.o -o "target/review-2/$name"
done
