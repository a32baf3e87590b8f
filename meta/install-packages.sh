#!/bin/bash
# Installs the Debian packages that the build and the tests need.
set -euo pipefail
packages=(
  g++ cmake ninja-build pkg-config ccache clang-format clang-tidy python3 git
  libulfius-dev libthrift-dev libboost-dev libcli11-dev liblog4cxx-dev libexpected-dev libcriterion-dev
  libtomlplusplus-dev libjansson-dev libcurl4-gnutls-dev libgnutls28-dev libyaml-cpp-dev librapidcheck-dev libfmt-dev zlib1g-dev
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -eq 0 ]; then
  exit 0
fi
run=()
[ "$(id -u)" -eq 0 ] || run=(sudo)
"${run[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive "${run[@]}" apt-get install -y -qq "${missing[@]}" >/dev/null
