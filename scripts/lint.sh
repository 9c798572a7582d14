#!/usr/bin/env bash
# Checks the format of all source files and lints them. Needs a configured build/.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files -- '*.h' '*.cc' | xargs -r clang-format --dry-run --Werror
echo "format: clean"
git ls-files -- '*.cc' |
  xargs -r -P "$(nproc)" -n 1 clang-tidy --quiet -p build 2>build/tidy.err || {
  grep -E 'error:' build/tidy.err | head -n 20
  exit 1
}
echo "lint: clean"
