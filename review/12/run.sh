#!/usr/bin/env bash
# Runs the case; see claim.txt. TROUBLE=0 leaves the disruption out.
# Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
case_program=target/review-3/12
if [ ! -x "$case_program" ] || [ ! -x target/apps/mimosadeckd ]; then
  echo "build the deploy file and run review/build-3.sh first" >&2
  exit 2
fi
timeout --signal=KILL 110 "$case_program" review/12/record.txt
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
