#!/usr/bin/env bash
# Measures what the path adds: the same load through an entry and straight to
# engines, side by side, and the entry's processor time, at several rates.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-8}
source scripts/deployment.sh
trap stop_all EXIT
trap 'exit 130' INT TERM
cpu() { awk '{print $14 + $15}' "/proc/$1/stat"; }
start platform "$build/test/stand_in_platform"
platform=$(value platform ADDRESS)
for n in 1 2; do
  start "engine-$n" "$build/test/stand_in_engine" --id "engine-$n" \
    --data-centre dc --model notes-small --slots 400 --token-ms 10 --platform "$platform"
done
start direct "$build/test/stand_in_engine" --id direct --data-centre dc \
  --model other --slots 400 --token-ms 10
for n in 0 1 2; do
  start_entry "entry-$n" dc
done
entry_pid=${pids[4]}
export MIMOSADECK_ENTRY MIMOSADECK_OPERATOR_KEY=$operator_key
MIMOSADECK_ENTRY=$(value entry-0 OPERATORS)
retry 20 ctl import examples/tamxaritu.jsonc >/dev/null
ctl settings set firm/parish limits.requests_per_second 0 >/dev/null
key=$(ctl key issue saint-louis | sed -n 's/^KEY=//p')
sleep 4
for rate in 25 50 100; do
  before=$(cpu "$entry_pid")
  out=$("$build/bench/mimosadeck_load" --entry "$(value entry-0 CALLERS)" \
    --direct "$(value direct ADDRESS)" --key "$key" --rate "$rate" --seconds "$seconds" --tokens 40)
  after=$(cpu "$entry_pid")
  echo "== $rate requests/s, 40 tokens each"
  echo "$out"
  awk -v c="$((after - before))" -v n="$((rate * seconds))" \
    'BEGIN {printf "entry-0: %.0f ms of processor time, %.2f ms a request\n", c * 10, c * 10 / n}'
done
