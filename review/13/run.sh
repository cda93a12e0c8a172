#!/usr/bin/env bash
# Case 13: replicas reset part of their requests while prompts with new shared parts come. TROUBLE=0: they are sound.
set -uo pipefail
cd "$(dirname "$0")/../.."
timeout 110 java -cp target/review-3 NewParts review/13
result=$?
[ "$result" -le 1 ] && exit "$result"
exit 2
