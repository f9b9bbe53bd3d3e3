#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review, with the
# libraries that the build of the deploy file left in target/.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
flags=(-std=c++20 -O1 -Wall -Wextra -Werror -Wno-mismatched-new-delete
  -Isrc -Itest)
sources=(review/fleet.cc review/scenario.cc
  test/platform/store_stand_in.cc test/platform/raw_upstream.cc
  test/platform/upstream_stand_in.cc test/system/deployment.cc)
objects=()
for source in "${sources[@]}"; do
  object=target/review/$(basename "$source" .cc).o
  g++ "${flags[@]}" -c "$source" -o "$object" &
  objects+=("$object")
done
wait
libraries=(settings config infra net base)
grep -l '^int main' review/*.cc | while read -r source; do
  program=$(basename "$source" .cc)
  g++ "${flags[@]}" "$source" "${objects[@]}" \
    -Ltarget/src "${libraries[@]/#/-lmimosadeck_}" \
    -lboost_json -lboost_url -lcrypto -lxxhash -lpthread \
    -o "target/review/$program"
done
