#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10 into target/review-2, and exposure,
# which is no case. They start target/bin/balsamyard-node, which the build of the
# deploy file makes.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
build() {
  g++ -std=c++20 -O1 -Wall -Wextra -Ireview/common-2 "$1" \
    -o "target/review-2/$2" -pthread
}
for NUMBER in 6 7 8 9 10; do
  build "review/$NUMBER/case.cpp" "case-$NUMBER"
done
build review/seen-2/exposure.cpp exposure
