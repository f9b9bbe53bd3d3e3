#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review_2/case_6 ] && [ -x target/apps/mimosadeckd ] || exit 2
CASE_RECORD=review/6/record.txt timeout -k 5 115 target/review_2/case_6
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
