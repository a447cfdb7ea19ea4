#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# With TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case-1 ] || exit 2
# The program reads TROUBLE, and its processes end with it.
TROUBLE="${TROUBLE:-1}" timeout -k 2 115 target/review/case-1 review/1
code=$?
[ "$code" -le 2 ] || exit 2
exit "$code"
