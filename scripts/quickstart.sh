#!/usr/bin/env bash
# Builds, starts a deployment on loopback and sends it three requests.
# With --stay it keeps running until Enter or a signal.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh >/dev/null
source scripts/deployment.sh
trap stop_all EXIT
trap 'exit 130' INT TERM

start_tamxaritu
retry 20 ctl import examples/tamxaritu.jsonc >/dev/null
key=$(ctl key issue saint-louis | sed -n 's/^KEY=//p')
first=$(value entry-dakar-a CALLERS)
has_entries() { curl -sf "http://$first/v1/entries" | grep -q '"entries":\[{.*},{.*},{'; }
retry 20 has_entries
entry=$(curl -sf -H "Authorization: Bearer $key" "http://$first/v1/entries" |
  sed -n 's/.*"entries":\[{"address":"\([^"]*\)".*/\1/p')

if [ "${1:-}" = --stay ]; then
  echo "ENTRY=$entry"
  echo "KEY=$key"
  echo "ADMIN=$admin (operator key: $operator_key)"
  read -r || true
  exit 0
fi

trace=4bf92f3577b34da6a3ce929d0e0e4736
ask() {
  curl -sS --fail-with-body -H "Authorization: Bearer $key" "$@"
}
echo "== A lookup"
retry 20 ask "http://$entry/v1/chat/completions" -d '{"model": "notes-small",
  "max_tokens": 8, "messages": [{"role": "user", "content": "When is the recital?"}]}'
echo
echo "== A draft, streamed"
ask -N "http://$entry/v1/chat/completions" -H "X-Request-Class: draft" \
  -H "traceparent: 00-$trace-00f067aa0ba902b7-01" -d '{"model": "notes-small",
  "stream": true, "max_tokens": 5,
  "messages": [{"role": "user", "content": "Programme notes, please."}]}'
echo "== A booking, and the same one again"
book() {
  ask "http://$entry/services/seats/book" -H "X-Request-Class: confirmation" \
    -H "Idempotency-Key: row-7-seat-3" -d '{"seat": "7-3"}'
}
retry 20 book
echo
book
echo
echo "== What was billed (the window closes after 5 s)"
billed() { ctl usage | grep saint-louis; }
retry 30 billed
echo "== Where the draft went"
cat "$work"/*.trace | grep "$trace" |
  sed -E 's/.*"name":"([^"]*)".*"duration_us":([0-9]+).*"tags":(\{[^}]*\}).*"process":"([^"]*)".*/\4 \1 \2us \3/'
