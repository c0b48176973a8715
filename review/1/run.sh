#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the
# disruption, the entry. ENTRY=number, ENTRY=lists and ENTRY=type write other entries.
set -m
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
case="target/review/case$(basename "$folder")"
[ -x "$case" ] && [ -x target/release/filberttrail ] || { echo "build first: see review/build.sh"; exit 2; }
"$case" "$folder" &
case_id=$!
(sleep 118; kill -TERM $$) 2>/dev/null &
limit_id=$!
# Each of the two jobs is a process group with all that it starts, and ends with this script.
trap 'kill -KILL -- "-$case_id" "-$limit_id" 2>/dev/null' EXIT
trap 'exit 2' INT TERM
wait "$case_id"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
