#!/bin/bash
# Builds the programs of the second review's cases, with the packages that
# deploy/system.toml names.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
for it in review/support-2/*.cc; do
  name=$(basename "$it" .cc)
  [ "$name" = rig ] && continue
  g++ -std=c++20 -O1 -Wall -Wextra -Ireview/support-2 \
    "$it" review/support-2/rig.cc -o "$out/$name" -ljansson -pthread
done
