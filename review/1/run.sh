#!/usr/bin/env bash
# Plays this case; see claim.txt.  Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run.  TROUBLE=0 leaves the disruption out.
set -uo pipefail
cd "$(dirname "$0")"
number=$(basename "$PWD")
cd ../..
command=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml | head -n 1)
program="review/build/case-$number"
if [ ! -x "$program" ] || [ ! -x "${command%% *}" ]; then
    echo "build the deploy file's program and run review/build.sh first"
    exit 2
fi
folder=$(mktemp -d) || exit 2
case_pid=
# The entries end with the case that started them.
trap '[ -z "$case_pid" ] || kill -KILL "$case_pid" 2> /dev/null; rm -rf "$folder"' EXIT
trap 'exit 2' INT TERM HUP
"$program" "$command" "$folder" "review/$number/record.txt" &
case_pid=$!
wait "$case_pid"
status=$?
case_pid=
[ "$status" -le 2 ] || status=2
exit "$status"
