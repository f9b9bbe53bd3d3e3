# Functions that start a deployment on loopback; sourced by other scripts.
# Every process started is remembered and stopped by its id.

pids=()
entry_pids=()
work=$(mktemp -d)
build=build
operator_key=operator-key-of-the-quickstart

# start NAME COMMAND...: runs a program; its output goes to $work/NAME.out.
start() {
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>"$work/$name.err" &
  pids+=($!)
}

# value NAME WORD: waits until NAME prints WORD=... and prints the rest.
value() {
  local line i
  for ((i = 0; i < 200; i++)); do
    line=$(grep -m1 "^$2=" "$work/$1.out" 2>/dev/null || true)
    if [ -n "$line" ]; then
      echo "${line#*=}"
      return 0
    fi
    sleep 0.05
  done
  echo "$1 did not start:" >&2
  cat "$work/$1.err" >&2
  return 1
}

stop_all() {
  local i
  # Entries first: a planned stop needs the platform.
  kill "${entry_pids[@]}" 2>/dev/null || true
  for ((i = 0; i < 100; i++)); do
    kill -0 "${entry_pids[@]}" 2>/dev/null || break
    sleep 0.1
  done
  kill -9 "${entry_pids[@]}" 2>/dev/null || true
  kill "${pids[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
  rm -rf "$work"
}

# start_entry ID DATA-CENTRE
start_entry() {
  local id=$1 centre=$2 hash
  hash=$(printf %s "$operator_key" | sha256sum | cut -d' ' -f1)
  cat >"$work/$id.jsonc" <<SETTINGS
{
  "daemon": {
    "id": "$id",
    "data_centre": "$centre",
    "caller_address": "127.0.0.1:0",
    "operator_address": "127.0.0.1:0",
    "peer_address": "127.0.0.1:0",
    "platform_address": "$platform",
    "fleet_secret": "secret of the quickstart fleet",
    "operator_key_sha256": "$hash",
    "trace_file": "$work/$id.trace"
  }
}
SETTINGS
  curl -sf -d "{\"id\":\"$id\",\"role\":\"entry\",\"state\":\"live\",\"data_centre\":\"$centre\"}" \
    "http://$platform/control/vm" >/dev/null
  start "$id" "$build/apps/mimosadeckd" "$work/$id.jsonc"
  entry_pids+=("${pids[-1]}")
}

# start_tamxaritu: platform, engines, booking workers and three entries.
start_tamxaritu() {
  local centre n
  start platform "$build/test/stand_in_platform"
  platform=$(value platform ADDRESS)
  for centre in dakar-a dakar-b dakar-c; do
    for n in 1 2; do
      start "engine-$centre-$n" "$build/test/stand_in_engine" \
        --id "engine-$centre-$n" --data-centre "$centre" \
        --model notes-small --platform "$platform"
      start "cheap-$centre-$n" "$build/test/stand_in_engine" --cheaper \
        --id "cheap-$centre-$n" --data-centre "$centre" \
        --model notes-small --platform "$platform"
    done
    start "seats-$centre" "$build/test/stand_in_service" \
      --id "seats-$centre" --data-centre "$centre" \
      --service seats --platform "$platform"
  done
  for centre in dakar-a dakar-b dakar-c; do
    start_entry "entry-$centre" "$centre"
  done
  admin=$(value entry-dakar-a OPERATORS)
  export MIMOSADECK_ENTRY=$admin MIMOSADECK_OPERATOR_KEY=$operator_key
}

ctl() {
  "$build/apps/mimosadeckctl" "$@"
}

# retry SECONDS COMMAND...: repeats a command until it succeeds.
retry() {
  local i limit=$1
  shift
  for ((i = 0; i < limit * 5; i++)); do
    if "$@" >"$work/retry.out" 2>&1; then
      cat "$work/retry.out"
      return 0
    fi
    sleep 0.2
  done
  cat "$work/retry.out" >&2
  return 1
}
