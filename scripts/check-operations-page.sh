#!/usr/bin/env bash
# Checks that docs/OPERATIONS.md names every reason that the sources pass to a refusal, retry or drop counter directly,
# every reason for which a balancer resets a flow, every verdict of an agent, and every event of the roles on the users'
# platform.
set -euo pipefail
cd "$(dirname "$0")/.."
# Calls may span lines.
sources=$(cat src/*/*.cpp | tr '\n' ' ' | tr -s ' ')
matches() { grep -oE "$1" <<<"$sources" | grep -oE '"[a-z_]+"' | tr -d '"'; }
names=$(
    {
        matches '(drops|refusals|retries)\([^,()]+, *"[a-z_]+"|refusal\([0-9]+, [A-Za-z:]+, *"[a-z_]+"|\.drop\("[a-z_]+"' |
            grep -v -x -E 'route|send'
        matches 'SendReset \{ [^}]*"[a-z_]+"'
        matches 'names \{ "admitted"[^}]*'
        matches 'Importance::(Notable|Routine), *"[a-z_]+"'
        matches 'EventLog::Importance::Routine, *"[a-z_]+"'
        matches 'is[A-Za-z]+ \? "[a-z_]+" : "[a-z_]+"'
    } | sort -u
)
missing=0
for name in $names; do
    grep -qF "\`$name\`" docs/OPERATIONS.md || { printf 'docs/OPERATIONS.md does not name %s\n' "$name"; missing=1; }
done
exit "$missing"
