#!/usr/bin/env bash
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bin/balsamyard-node ] && [ -x target/review/case-5 ] || exit 2
TEMPORARY=$(mktemp -d) || exit 2
trap 'rm -rf "$TEMPORARY"' EXIT
timeout -k 5 115 target/review/case-5 review/5 "$TEMPORARY"
STATUS=$?
[ "$STATUS" -le 2 ] || STATUS=2
exit "$STATUS"
