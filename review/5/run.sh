#!/usr/bin/env bash
# Plays this case; see claim.txt.  Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run.  TROUBLE=0 leaves the disruption out.
set -uo pipefail
cd "$(dirname "$0")"
number=$(basename "$PWD")
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
cd ../..
command=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml | head -n 1)
program="review/build/case-$number"
if [ ! -x "$program" ] || [ ! -x "${command%% *}" ]; then
    echo "build the deploy file's program and run review/build.sh first"
    exit 2
fi
# The entries end with the program that starts them.
timeout --signal=KILL 115 "$program" "$command" "$folder" "review/$number/record.txt"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
