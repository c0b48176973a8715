#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves out
# the crashes. Needs the builds of the deploy file and of review/build-2.sh.
set -uo pipefail
record="$(cd "$(dirname "$0")" && pwd)/record.txt"
cd "$(dirname "$0")/../.."
[ -x target/release/filberttrail ] && [ -x target/review-2/stand-ins ] || exit 2
# A process group of its own, so that all it started ends with the script, also when that is stopped.
set -m
target/review-2/stand-ins late "$record" "${TROUBLE:-1}" &
group=$!
trap 'kill -KILL -- "-$group" 2>/dev/null' EXIT
trap 'exit 2' INT TERM
wait "$group"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
