#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves
# the disruption out. Needs target/cowsliptally-node and review/build.sh.
set -u
cd "$(dirname "$0")/../.." || exit 2
export NODE=target/cowsliptally-node RECORD=review/5/record.txt TROUBLE=${TROUBLE:-1}
program=target/review/storm
[ -x "$NODE" ] && [ -x "$program" ] || { echo "not run: build the deploy file and review/build.sh first"; exit 2; }
timeout --kill-after=5 118 "$program"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
