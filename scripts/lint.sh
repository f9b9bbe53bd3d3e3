#!/usr/bin/env bash
# Checks the format, the generated code and clang-tidy's rules.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t sources < <(git ls-files -co --exclude-standard '*.h' '*.cc' | grep -v '\.pb\.')
clang-format --dry-run --Werror "${sources[@]}"
scripts/generate.sh --check
[ -f build/compile_commands.json ] || cmake -S . -B build -G Ninja
# A file is checked again only if its object is newer than its last good check.
check() {
  local source=$1 object stamp
  stamp="build/tidy/$source.ok"
  object=$(find build -path "*${source#*/}.o" | head -1)
  if [ -n "$object" ] && [ "$stamp" -nt "$object" ] && [ "$stamp" -nt .clang-tidy ]; then
    return 0
  fi
  mkdir -p "$(dirname "$stamp")"
  if clang-tidy -p build --quiet "$source" >"$stamp.out" 2>/dev/null; then
    touch "$stamp"
  else
    grep -E 'error:' "$stamp.out"
    return 1
  fi
}
export -f check
git ls-files -co --exclude-standard '*.cc' | grep -v '\.pb\.' |
  xargs -P "$(nproc)" -I{} bash -c 'check {}'
echo "format, generated code and clang-tidy: clean"
