#!/usr/bin/env bash
# Plays the case "lost" and writes record.txt. Exit 1: the rule was broken, 0: it held, 2: the case couldn't run.
# TROUBLE=0 leaves out the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/cowsliptally-node ] && [ -x target/review-2/rig ] || { echo "the build of the deploy file and review/build-2.sh come first"; exit 2; }
TROUBLE=${TROUBLE:-1} timeout -k 5 115 target/review-2/rig -case lost -record "$here/record.txt"
code=$?
[ $code -le 1 ] || code=2
exit $code
