#!/bin/bash
# Configures and builds everything into build/ (or $BUILD_DIR).
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${BUILD_DIR:-build}
cmake -S . -B "$build_dir" -G Ninja -DCRANBERRYSHUNT_WARNINGS_AS_ERRORS=ON >/dev/null
cmake --build "$build_dir" -j "${BUILD_JOBS:-$(nproc)}" "$@"
