#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3/. The build of
# the deploy file comes first: it leaves the libraries in target/src/.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags=(-std=c++20 -O1 -g1 -Wall -Wextra -Werror -Isrc)
g++ "${flags[@]}" -c review/11/src/bed.cc -o "$out/bed.o"
for source in review/1[1-5]/src/main.cc; do
  name=$(basename "$(dirname "$(dirname "$source")")")
  g++ "${flags[@]}" "$source" "$out/bed.o" target/src/libmimosadeck_base.a \
    -lboost_json -lcrypto -lxxhash -pthread -o "$out/$name"
done
echo "built: $out"
