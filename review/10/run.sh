#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review-2/stand2/FractionalGrace.class ] || { echo "run review/build-2.sh first"; exit 2; }
timeout 118 java -cp target/review-2 stand2.FractionalGrace review/10
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
