#!/usr/bin/env bash
# Checks that docs/operations.md names every reason that the sources pass to a refusal, retry or drop counter directly.
set -euo pipefail
cd "$(dirname "$0")/.."
reasons=$(grep -rhoE '(drops|refusals|retries)\([^,()]+, *"[a-z_]+"|refusal\([0-9]+, [A-Za-z:]+, *"[a-z_]+"|\.drop\("[a-z_]+"' src |
    grep -oE '"[a-z_]+"$' | sort -u | tr -d '"')
missing=0
for reason in $reasons; do
    grep -qF "\`$reason\`" docs/operations.md || { printf 'docs/operations.md does not name the reason %s\n' "$reason"; missing=1; }
done
exit "$missing"
