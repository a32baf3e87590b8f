#!/bin/bash
# Fails when a source file is not formatted; with --fix, formats the files in place.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cc' '*.h' | grep -v generated/)
if [ "${1:-}" = --fix ]; then
  clang-format -i "${files[@]}"
else
  clang-format --dry-run --Werror "${files[@]}"
fi
