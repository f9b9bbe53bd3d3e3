#!/usr/bin/env bash
# Installs the Debian packages that the build and the scripts need.
set -euo pipefail
packages=(g++ cmake ninja-build pkg-config clang-format clang-tidy
  libboost1.81-dev libboost-json1.81-dev libboost-url1.81-dev
  libboost-test1.81-dev libzmq3-dev cppzmq-dev libprotobuf-dev
  protobuf-compiler prometheus-cpp-dev libtclap-dev liblog4cplus-dev
  libxxhash-dev librapidcheck-dev libopentracing-dev libssl-dev
  libzstd-dev curl)
if dpkg -s "${packages[@]}" >/dev/null 2>&1; then
  exit 0
fi
sudo=()
[ "$(id -u)" = 0 ] || sudo=(sudo)
"${sudo[@]}" apt-get update -q
DEBIAN_FRONTEND=noninteractive "${sudo[@]}" apt-get install -y -q \
  --no-install-recommends "${packages[@]}"
