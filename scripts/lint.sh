#!/usr/bin/env bash
# Checks the format of all source files and lints them. Needs a configured build/.
# Sources that were clean before and have not changed are not linted again, see
# scripts/lint.py.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files -- '*.h' '*.cc' | xargs -r clang-format --dry-run --Werror
echo "format: clean"
git ls-files -- '*.cc' | xargs -r scripts/lint.py --build build
echo "lint: clean"
