#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
set -u
cd "$(dirname "$0")/../.." || exit 2
program=build-review-2/review_standins
[ -x "$program" ] && [ -x target/chicoryferry-node ] || { echo "not built" >&2; exit 2; }
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
trap 'rm -rf "$TMPDIR"' EXIT
timeout -s KILL 110 "$program" early-restart review/8/record.txt
status=$?
[ "$status" -le 2 ] || exit 2
exit "$status"
