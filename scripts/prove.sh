#!/usr/bin/env bash
# Shows that each mechanism is needed: removes one at a time in a copy of the
# tree and expects its test to fail. Prints a line for each; exits 1 if a test
# passes without its mechanism. An argument picks the lines that match it.
set -uo pipefail
cd "$(dirname "$0")/.."
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git archive HEAD | tar -x -C "$copy"
export MIMOSADECK_BUILD=$copy/build MIMOSADECK_SOURCE=$copy RC_PARAMS="seed=1 max_success=500"
cmake -S "$copy" -B "$copy/build" -G Ninja >/dev/null
mapfile -t tests < <(grep -v '^#' scripts/mutations.txt | grep -E "${1:-.}" | cut -d'|' -f2 | sort -u)
cmake --build "$copy/build" --target "${tests[@]}" >/dev/null || exit 2
failed=0
mapfile -t mutations < <(grep -v '^#' scripts/mutations.txt | grep -E "${1:-.}")
for mutation in "${mutations[@]}"; do
  IFS='|' read -r file test what expression <<<"${mutation//||/@OR@}"
  expression=${expression//@OR@/||}
  cp "$copy/$file" "$copy/saved"
  sed -i "$expression" "$copy/$file"
  if cmp -s "$copy/saved" "$copy/$file"; then
    verdict="NOT APPLIED"
    failed=1
  elif ! cmake --build "$copy/build" --target "$test" >"$copy/log" 2>&1; then
    verdict="DOES NOT BUILD"
    failed=1
  elif timeout 120 "$copy/build/test/$test" >/dev/null 2>&1; then
    verdict="PASSES WITHOUT IT"
    failed=1
  else
    verdict="fails without it"
  fi
  printf '%-18s %-18s %s\n' "$verdict" "$test" "$what"
  cp "$copy/saved" "$copy/$file"
done
exit $failed
