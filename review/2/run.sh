#!/usr/bin/env bash
# Exit 1: the rule was broken; 0: it held; 2: the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
trouble="${TROUBLE:-1}"
[ -f target/LastKeys.class ] || { echo "run review/build.sh first" >&2; exit 2; }
exec timeout -k 1 118 java -cp target LastKeys "$(cd ../.. && pwd)" record.txt "$trouble"
