#!/usr/bin/env bash
# Measures live requests through one whole entry host over real sockets: starts a
# cell of one availability zone with one entry host, stand-in runners and
# jujube-load, and prints requests a second, processor time and memory of the
# entry host.
#   bench/entry_host.sh [CALLS-PER-MS] [SECONDS] [RUN-MS] [SENDERS]
set -euo pipefail
cd "$(dirname "$0")/.."
readonly CALLS=${1:-2} SECONDS_LONG=${2:-10} RUN_MS=${3:-1} SENDERS=${4:-64}
readonly BASE_PORT=${JUJUBE_BASE_PORT:-21000}
readonly RUNNERS=17
dir=$(mktemp -d)
readonly dir
trap 'scripts/cell.sh stop "$dir"; echo "logs are in $dir"' EXIT
scripts/cell.sh start "$dir" san-fernando 1
# shellcheck source=/dev/null
source "$dir/env"
until_ok() {
  for _ in $(seq 60); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.5
  done
  "$@"
}
until_ok build/bin/jujubectl catalogue apply traces/day.catalogue.json
echo "events $(build/bin/jujubectl key issue events)" >"$dir/keys"
build/bin/standin-runner --entries "$(cat "$dir/entries-san-fernando")" \
  --zone san-fernando --entry yard-desk --name r --count "$RUNNERS" --threads 200 \
  --listen "127.0.0.1:$((BASE_PORT + 950))" \
  --fleet-token-file "$dir/fleet.token" >"$dir/log/runner.log" 2>&1 &
echo $! >"$dir/pid/runner"
until_ok build/bin/jujubectl call yard-desk --payload run_ms=1 --timeout 10000 \
  --key "$(awk '{print $2}' "$dir/keys")"

for ((i = 0; i < CALLS; i++)); do
  echo "0 call name=c$i entry=yard-desk team=events run_ms=$RUN_MS" \
    "every=1 until=$((SECONDS_LONG * 1000))"
done >"$dir/trace"
entry=$(cat "$dir/pid/entry-san-fernando-1")
readonly entry
# ticks: processor time of the entry host so far, in clock ticks.
ticks() { awk '{print $14 + $15}' "/proc/$entry/stat"; }
before=$(ticks)
start=$(date +%s%N)
build/bin/jujube-load --trace "$dir/trace" --keys-file "$dir/keys" \
  --operator-token-file "$dir/operator.token" --senders "$SENDERS" \
  --stats "127.0.0.1:$((BASE_PORT + 950))" \
  --processes "entry=$entry" --report "$dir/report" >"$dir/load.log" 2>&1 || true
end=$(date +%s%N)
after=$(ticks)
cat "$dir/report/report.txt"
awk -v ticks=$((after - before)) -v hz="$(getconf CLK_TCK)" \
  -v ns=$((end - start)) -v calls=$((CALLS * SECONDS_LONG * 1000)) 'BEGIN {
    printf "%d calls in %.1f s; entry host: %.2f s of processor time, " \
      "%.0f requests a second per core\n",
      calls, ns / 1e9, ticks / hz, calls * hz / ticks }'
grep -E "VmRSS|VmHWM|Threads" "/proc/$entry/status"
