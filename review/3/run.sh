#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case-3 ] || exit 2
timeout 115 target/review/case-3 review/3
code=$?
[ "$code" -le 2 ] || exit 2
exit "$code"
