#!/usr/bin/env bash
# An open flow of a new server is reset after the store has come back from a copy (FLOW).
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/cases ] && [ -x target/chicoryferry-node ] || exit 2
exec timeout -k 5 115 target/review-3/cases restored-store "review/11/${RECORD:-record.txt}"
