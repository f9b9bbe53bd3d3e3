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
# `soak:SEED` stands for a run of the soak with that seed.
target_of() { case $1 in soak:*) echo mimosadeck_soak ;; *) echo "$1" ;; esac; }
run_test() {
  case $1 in
    soak:*) timeout 200 "$copy/build/soak/mimosadeck_soak" --seed "${1#soak:}" --minutes 0.6 \
      --processes 5 --daemon "$copy/build/soak/mimosadeckd_shifted_clock" --directory "$copy/soak_logs" ;;
    *) timeout 120 "$copy/build/test/$1" ;;
  esac
}
mapfile -t tests < <(grep -v '^#' scripts/mutations.txt | grep -E "${1:-.}" | cut -d'|' -f2 | sort -u |
  while read -r test; do target_of "$test"; done | sort -u)
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
  elif ! cmake --build "$copy/build" --target "$(target_of "$test")" >"$copy/log" 2>&1; then
    verdict="DOES NOT BUILD"
    failed=1
  elif run_test "$test" >"$copy/output" 2>&1; then
    verdict="PASSES WITHOUT IT"
    failed=1
  else
    verdict="fails without it"
  fi
  printf '%-18s %-18s %s\n' "$verdict" "$test" "$what"
  grep -o '^BROKEN [a-z_]*' "$copy/output" 2>/dev/null | sort | uniq -c
  rm -f "$copy/output"
  cp "$copy/saved" "$copy/$file"
done
exit $failed
