#!/bin/bash
# Installs packages, checks format and lint, builds with warnings as errors and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
./meta/install-packages.sh
./meta/check-format.sh
./meta/build.sh
./meta/check-lint.py
ctest --test-dir "${BUILD_DIR:-build}" --output-on-failure -j 4
