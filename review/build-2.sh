#!/usr/bin/env bash
# Builds the programs of the cases in review/N/ into target/review_2, with the
# libraries that the build of the deploy file left in target/.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review_2
rm -rf "$out"
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -Werror -Wno-mismatched-new-delete
  -I. -Isrc -Itest)
shared=(review/6/fleet.cc soak/link_proxy.cc test/platform/store_stand_in.cc
  test/platform/upstream_stand_in.cc test/system/deployment.cc)
objects=()
jobs=()
compile() {
  g++ "${flags[@]}" -c "$1" -o "$2" &
  jobs+=("$!")
}
for source in "${shared[@]}"; do
  object=$out/shared_$(basename "$source" .cc).o
  compile "$source" "$object"
  objects+=("$object")
done
programs=()
for source in $(grep -l '^int main' review/*/*.cc); do
  program=$out/case_$(basename "$(dirname "$source")")
  compile "$source" "$program.o"
  programs+=("$program")
done
for job in "${jobs[@]}"; do
  wait "$job"
done
for program in "${programs[@]}"; do
  g++ "$program.o" "${objects[@]}" -Ltarget/src -lmimosadeck_settings \
    -lmimosadeck_config -lmimosadeck_infra -lmimosadeck_net -lmimosadeck_base \
    -lboost_json -lboost_url -lcrypto -lxxhash -lpthread -o "$program"
done
