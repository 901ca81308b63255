#!/usr/bin/env bash
# Usage: scripts/cost.sh [QUERIES]
# Prints a table of the instructions and allocations of each step of a query, by
# number of leaves. The instructions are counted by callgrind, so the table is
# the same on each run.
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
QUERIES=${1:-50}
BENCH=$BUILD/bin/bench-QueryCost
WORK=$(mktemp -d)
trap 'rm -rf "$WORK"' EXIT

HAVE_VALGRIND=no
command -v valgrind >/dev/null && HAVE_VALGRIND=yes
[ "$HAVE_VALGRIND" = yes ] || echo "valgrind is not installed: allocations only"

printf '%-7s %-9s %14s %14s %13s\n' leaves step instructions per-leaf allocations
for LEAVES in 10 90 270; do
  "$BENCH" --leaves "$LEAVES" --queries "$QUERIES" >"$WORK/allocations"
  if [ "$HAVE_VALGRIND" = yes ]; then
    valgrind --tool=callgrind --callgrind-out-file="$WORK/out" "$BENCH" \
      --leaves "$LEAVES" --queries "$QUERIES" >/dev/null 2>&1
    callgrind_annotate --inclusive=yes --threshold=100 "$WORK/out" >"$WORK/functions"
  fi
  while read -r _ STEP ALLOCATIONS; do
    INSTRUCTIONS=-
    INSTRUCTIONS_PER_LEAF=-
    if [ "$HAVE_VALGRIND" = yes ]; then
      INSTRUCTIONS=$(grep -m 1 "::${STEP}Step(" "$WORK/functions" | awk '{ gsub(",", "", $1); print $1 }')
      INSTRUCTIONS_PER_LEAF=$((INSTRUCTIONS / QUERIES / LEAVES))
      INSTRUCTIONS=$((INSTRUCTIONS / QUERIES))
    fi
    printf '%-7s %-9s %14s %14s %13s\n' "$LEAVES" "$STEP" "$INSTRUCTIONS" "$INSTRUCTIONS_PER_LEAF" "$ALLOCATIONS"
  done <"$WORK/allocations"
done
