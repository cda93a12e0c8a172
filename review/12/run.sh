#!/usr/bin/env bash
# Case 12: a request crashes each replica that runs it, 0.4 s after its first token. TROUBLE=0: it is sound.
set -uo pipefail
cd "$(dirname "$0")/../.."
timeout 110 java -cp target/review-3 LateCrash review/12
result=$?
[ "$result" -le 1 ] && exit "$result"
exit 2
