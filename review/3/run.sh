#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/fennelferry.cjs ] || { echo "target/fennelferry.cjs is missing: run the build of deploy/system.toml"; exit 2; }
[ -f target/review/3/title.mjs ] || { echo "target/review is missing: run review/build.sh"; exit 2; }
timeout --kill-after=5 110 node review/3/case.mjs
code=$?
# The time limit ends a case that couldn't run to its end.
[ "$code" -le 2 ] || exit 2
exit "$code"
