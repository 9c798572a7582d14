#!/usr/bin/env bash
# Installs what is missing, builds, and runs every test; prints a count last.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/packages.sh
scripts/build.sh
# Ends a test binary that hangs, so that its last lines tell where. The longest
# binary takes less than a tenth of it.
readonly HANG_LIMIT=900
total=0
failed=()
for binary in build/tests/*_test; do
  name=$(basename "$binary")
  printf '== %s\n' "$name"
  if ! RC_PARAMS="seed=20261204 max_success=${JUJUBE_FUZZ_RUNS:-100}" \
      timeout --signal=ABRT --kill-after=10 $HANG_LIMIT "$binary" \
      --log_level=test_suite --color_output=no >"build/$name.out" 2>&1; then
    if grep -q "^$name " KNOWN-RED.txt 2>/dev/null; then
      echo "known red: $name (KNOWN-RED.txt)"
    else
      failed+=("$name")
    fi
    tail -n 60 "build/$name.out"
  fi
  ran=$(grep -oE '^Running [0-9]+ test' "build/$name.out" | grep -oE '[0-9]+' || echo 0)
  total=$((total + ran))
done
echo "tests run: $total in $(ls build/tests/*_test | wc -l) binaries, failed binaries: ${#failed[@]} ${failed[*]:-}"
[ ${#failed[@]} -eq 0 ]
