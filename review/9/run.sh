#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
rm -f review/9/record.txt
node target/review/review/9/run.js review/9
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
