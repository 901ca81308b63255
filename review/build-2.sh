#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10 into target/review-2. The scripts
# start target/bin/balsamyard-node, which the build of the deploy file makes.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for CASE in review/{6,7,8,9,10}/case.cpp; do
  [ -f "$CASE" ] || continue
  NUMBER=$(basename "$(dirname "$CASE")")
  g++ -std=c++20 -O1 -Wall -Wextra -Ireview/common-2 "$CASE" \
    -o "target/review-2/case-$NUMBER" -pthread
done
