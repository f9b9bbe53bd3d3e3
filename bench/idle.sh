#!/usr/bin/env bash
# Measures what one idle entry daemon spends on control at several sizes:
# processor time, memory, and bytes between entries.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-10}
source scripts/deployment.sh
trap stop_all EXIT
trap 'exit 130' INT TERM
cpu() { awk '{print $14 + $15}' "/proc/$1/stat"; }
sent() { curl -s "http://$1/metrics" | sed -n 's/^mimosadeck_peer_link{kind="bytes_sent"} //p'; }
messages() { curl -s "http://$1/metrics" | sed -n 's/^mimosadeck_peer_link{kind="messages_sent"} //p'; }
printf '%8s %12s %10s %14s %14s %12s\n' entries cpu_ms/s rss_KiB bytes_sent/s messages/s store_ops/s
for size in 3 6 9; do
  pids=() entry_pids=()
  start platform "$build/test/stand_in_platform"
  platform=$(value platform ADDRESS)
  for ((n = 0; n < size; n++)); do
    start_entry "entry-$n" "dc-$((n % 3))"
  done
  export MIMOSADECK_ENTRY MIMOSADECK_OPERATOR_KEY=$operator_key
  MIMOSADECK_ENTRY=$(value entry-0 OPERATORS)
  retry 20 ctl import examples/tamxaritu.jsonc >/dev/null
  sleep 8
  pid=${pids[1]}
  cpu0=$(cpu "$pid") sent0=$(sent "$MIMOSADECK_ENTRY") messages0=$(messages "$MIMOSADECK_ENTRY")
  ops0=$(curl -s "http://$platform/inspect" | sed -E 's/.*"reads":([0-9]+),"writes":([0-9]+).*/\1+\2/')
  sleep "$seconds"
  cpu1=$(cpu "$pid") sent1=$(sent "$MIMOSADECK_ENTRY") messages1=$(messages "$MIMOSADECK_ENTRY")
  ops1=$(curl -s "http://$platform/inspect" | sed -E 's/.*"reads":([0-9]+),"writes":([0-9]+).*/\1+\2/')
  rss=$(awk '/VmRSS/ {print $2}' "/proc/$pid/status")
  awk -v n="$size" -v t="$seconds" -v c="$((cpu1 - cpu0))" -v r="$rss" \
    -v b0="$sent0" -v b1="$sent1" -v m0="$messages0" -v m1="$messages1" -v o="$(((ops1) - (ops0)))" \
    'BEGIN {printf "%8d %12.1f %10d %14.0f %14.1f %12.1f\n", n, c * 10 / t, r, (b1 - b0) / t, (m1 - m0) / t, o / t / n}'
  kill -9 "${pids[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
  rm -f "$work"/*.out
done
