#!/usr/bin/env bash
# Runs the soak with every seed that once failed, then with fresh ones.
# usage: scripts/soak.sh [FRESH [PARALLEL [FIRST [MINUTES [PROCESSES]]]]]
#   FRESH      number of fresh seeds (50)
#   PARALLEL   runs at a time (2); more make the runs late, so that less is judged
#   FIRST      first fresh seed; by default drawn from the clock and printed
#   MINUTES    length of each fresh run (0.5)
#   PROCESSES  daemons in each fresh run (5)
# Logs of every run stay below build/soak_logs. Exits 1 if a promise was broken.
set -uo pipefail
cd "$(dirname "$0")/.."
fresh=${1:-50} parallel=${2:-2} first=${3:-$(date +%s)} minutes=${4:-0.5} processes=${5:-5}
logs=build/soak_logs
mkdir -p "$logs"
run() {
  local seed=$1 minutes=$2 processes=$3 logs=$4
  build/soak/mimosadeck_soak --seed "$seed" --minutes "$minutes" --processes "$processes" \
    --daemon build/soak/mimosadeckd_shifted_clock --directory "$logs" >"$logs/$seed.out" 2>&1
  local status=$?
  printf 'seed %s: exit %s; %s; %s; %s\n' "$seed" "$status" \
    "$(grep '^requests judged' "$logs/$seed.out")" "$(grep '^held up' "$logs/$seed.out")" \
    "$(grep '^broken promises' "$logs/$seed.out")"
  return $status
}
export -f run
{
  # A blank at the end of a line would join it to the next one in xargs.
  grep -v '^#' soak/seeds.txt | cut -d'|' -f1 | sed 's/ *$//'
  for ((i = 0; i < fresh; ++i)); do
    echo "$((first + i)) $minutes $processes"
  done
} | xargs -P "$parallel" -L 1 bash -c 'run "$0" "$1" "$2" '"$logs"
status=$?
[ $status -eq 0 ] && echo "every run kept every promise"
[ $status -eq 0 ]
