#!/usr/bin/env bash
# Builds the libFuzzer targets and runs each over its corpus and a fixed number
# of mutations with a fixed seed; with 0 RUNS over its corpus only.
#   scripts/fuzz.sh [RUNS]
set -euo pipefail
cd "$(dirname "$0")/.."
readonly RUNS=${1:-20000}
readonly SEED=20261204
cmake -S . -B build-fuzz -G Ninja -DJUJUBE_FUZZ=ON \
  -DCMAKE_CXX_COMPILER=clang++-14 >/dev/null
targets=()
for source in fuzz/*_fuzz.cc; do
  targets+=("$(basename "$source" .cc)")
done
cmake --build build-fuzz --target "${targets[@]}" write_wire_seeds | tail -n 1
for target in "${targets[@]}"; do
  work=$(mktemp -d)
  if [ "$target" = wire_fuzz ]; then
    build-fuzz/fuzz/write_wire_seeds "$work"
  fi
  build-fuzz/fuzz/"$target" -seed=$SEED -runs="$RUNS" -max_len=4096 \
    -timeout=10 -rss_limit_mb=1024 -print_final_stats=1 \
    -artifact_prefix=build-fuzz/"$target"- "$work" \
    "fuzz/corpus/${target%_fuzz}" >build-fuzz/"$target".out 2>&1 || {
    rm -rf "$work"
    if grep -q "^$target " KNOWN-RED.txt; then
      echo "known red: $target (KNOWN-RED.txt)"
      continue
    fi
    tail -n 40 build-fuzz/"$target".out
    echo "$target: failed, see build-fuzz/$target-*"
    exit 1
  }
  rm -rf "$work"
  echo "$target: $(grep -o 'number_of_executed_units: [0-9]*' build-fuzz/"$target".out), no failure"
done
