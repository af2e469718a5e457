#!/usr/bin/env bash
# Plays the case once: 1 if the rule was broken, 0 if it held, 2 if it couldn't
# run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.."
timeout --signal=KILL 118 review/build/late_refusal review/2/record.txt
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
