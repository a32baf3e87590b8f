#!/bin/bash
# Configures the project and builds it in build/ (or $BUILD_DIR). Arguments are passed to cmake --build.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${BUILD_DIR:-build}
cmake -S . -B "$build_dir" -G Ninja -DCRANBERRYSHUNT_WARNINGS_AS_ERRORS=ON >/dev/null
cmake --build "$build_dir" -j "${BUILD_JOBS:-$(nproc)}" "$@"
