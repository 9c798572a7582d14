#!/usr/bin/env bash
# Runs every test binary of a folder, then prints the number of tests run.
#   scripts/run_tests.sh [FOLDER [LIST]]
# A line of LIST that begins with `BINARY_test Suite/Case` names a case that is
# known to fail: the case runs separately and must fail.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=${1:-build/tests}
list=${2:-KNOWN-RED.txt}
# Time limit of a test binary in seconds, so that the last output of a hanging
# binary shows where it hangs. The slowest binary takes less than a tenth of the
# limit.
readonly HANG_LIMIT=900
# Exit status of Boost.Test if the filter selects no case.
readonly NOTHING_TO_RUN=200
# Matches exactly one case; a pattern could exclude several.
readonly CASE='^[A-Za-z0-9_]+(/[A-Za-z0-9_]+)+$'
total=0
known=0
failed=()

# known_cases BINARY: prints the cases of a binary that are known to fail.
known_cases() {
  [ -f "$list" ] || return 0
  awk -v name="$1" -v pattern="$CASE" '$1 == name && $2 ~ pattern { print $2 }' "$list"
}

# run_cases NAME OUTPUT [FILTER...]: runs a binary and returns its exit status.
run_cases() {
  local name=$1 output=$2
  shift 2
  RC_PARAMS="seed=20261204 max_success=${JUJUBE_FUZZ_RUNS:-100}" \
    timeout --signal=ABRT --kill-after=10 $HANG_LIMIT "$folder/$name" \
    --log_level=test_suite --color_output=no "$@" >"$output" 2>&1
}

# run_known NAME CASE: runs a case that is known to fail.
run_known() {
  local status=0
  run_cases "$1" "$folder/$1.known.out" "--run_test=$2" || status=$?
  case $status in
  0)
    echo "known red: $1 $2 passes now, remove it"
    failed+=("$1 $2")
    ;;
  "$NOTHING_TO_RUN")
    echo "known red: $1 $2 does not exist, remove it"
    failed+=("$1 $2")
    ;;
  *)
    echo "known red: $1 $2 still fails"
    known=$((known + 1))
    tail -n 20 "$folder/$1.known.out"
    ;;
  esac
}

# run_others NAME [CASE...]: runs a binary without the given cases.
run_others() {
  local name=$1 status=0 ran
  shift
  run_cases "$name" "$folder/$name.out" "${@/#/--run_test=!}" || status=$?
  if [ $status -eq $NOTHING_TO_RUN ] && [ $# -gt 0 ]; then
    return
  fi
  if [ $status -ne 0 ]; then
    failed+=("$name")
    tail -n 60 "$folder/$name.out"
  fi
  ran=$(grep -oE '^Running [0-9]+ test' "$folder/$name.out" | grep -oE '[0-9]+' || echo 0)
  total=$((total + ran))
}

binaries=("$folder"/*_test)
for binary in "${binaries[@]}"; do
  name=$(basename "$binary")
  printf '== %s\n' "$name"
  mapfile -t cases < <(known_cases "$name")
  run_others "$name" ${cases[@]+"${cases[@]}"}
  for case in ${cases[@]+"${cases[@]}"}; do
    run_known "$name" "$case"
  done
done
# Reports an entry whose binary does not exist, because it would never run.
if [ -f "$list" ]; then
  while read -r name case; do
    [ -x "$folder/$name" ] && continue
    echo "known red: $name $case does not exist, remove it"
    failed+=("$name $case")
  done < <(awk -v pattern="$CASE" '$1 ~ /_test$/ && $2 ~ pattern { print $1, $2 }' "$list")
fi
echo "tests run: $total in ${#binaries[@]} binaries, known red: $known, failed: ${#failed[@]}"
[ ${#failed[@]} -eq 0 ] || {
  printf '  %s\n' "${failed[@]}"
  exit 1
}
