#!/usr/bin/env bash
# Builds the stand-ins of all cases into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for CASE in review/[1-5]/Case.cpp; do
  [ -e "$CASE" ] || continue
  NUMBER=$(basename "$(dirname "$CASE")")
  g++ -std=c++20 -O1 -pthread -I. "$CASE" -o "target/review/case-$NUMBER"
done
