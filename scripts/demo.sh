#!/usr/bin/env bash
# Installs missing packages, builds, starts a cell of three availability zones on
# loopback, runs a mixed workload on it, prints fates and waiting times per team
# and class, and stops every process that it started.
#   scripts/demo.sh [--full] [--faults]
# --full: uses as many workers and runners as the Breezeguard deployment.
# --faults: kills a zone's leader and a keeper, and pauses an entry host.
set -euo pipefail
cd "$(dirname "$0")/.."
readonly ZONES=(san-fernando point-fortin princes-town)
readonly HOSTS_PER_ZONE=3
workers=4
runners=3
with_faults=0
for flag in "$@"; do
  case $flag in
  --full) workers=17 runners=17 ;;
  --faults) with_faults=1 ;;
  *) sed -n '2,8p' "$0" && exit 2 ;;
  esac
done

scripts/packages.sh
cmake -S . -B build -G Ninja >/dev/null
cmake --build build --target jujube-keeper jujube-zone jujube-entry jujubectl \
  jujube-load standin-worker standin-runner | tail -n 1

dir=$(mktemp -d)
readonly dir
finish() {
  scripts/cell.sh stop "$dir"
  echo "stopped; logs and report are in $dir"
}
trap finish EXIT
scripts/cell.sh start "$dir" "$(IFS=,; echo "${ZONES[*]}")" "$HOSTS_PER_ZONE"
# shellcheck source=/dev/null
source "$dir/env"
ctl() { build/bin/jujubectl "$@"; }

# until_ok COMMAND...: retries a command until it succeeds, for at most 30 s.
until_ok() {
  for _ in $(seq 60); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.5
  done
  "$@" || { echo "command still fails after 30 s: $*"; return 1; }
}

echo "== catalogue"
until_ok ctl catalogue list
ctl catalogue apply traces/day.catalogue.json | tail -n 1
ctl catalogue list
(umask 077 && : >"$dir/keys")
for team in events farms billing; do
  echo "$team $(ctl key issue "$team")"
done >"$dir/keys"

scripts/cell.sh standins "$dir" "$workers" "$runners"
# count TEXT: prints how often the fleet's status contains the text.
count() { ctl status --json | grep -o "$1" | wc -l; }
fleet_is_complete() {
  [ "$(count '"runner":"')" -ge "$runners" ] &&
    [ "$(count "\"workers\":$workers\b")" -ge ${#ZONES[@]} ]
}
until_ok fleet_is_complete
# The slots of a new runner are granted as credits only after a delay.
events_key=$(awk '$1 == "events" {print $2}' "$dir/keys")
for zone in "${ZONES[@]}"; do
  until_ok ctl call yard-desk --server "$(cat "$dir/entries-$zone")" \
    --key "$events_key" --payload "run_ms=5" --timeout 2000
done
echo "== fleet"
ctl status

processes=""
for file in "$dir"/pid/{keeper,zone,entry}-*; do
  processes+=${processes:+,}$(basename "$file")=$(cat "$file")
done
faults=""
if [ "$with_faults" = 1 ]; then
  pid() { cat "$dir/pid/$1"; }
  faults="5000:kill:$(pid zone-san-fernando-1)"
  faults+=",8000:pause:$(pid entry-point-fortin-1)"
  faults+=",11000:resume:$(pid entry-point-fortin-1)"
  faults+=",12000:kill:$(pid keeper-1)"
fi
echo "== a mixed day"
status=0
build/bin/jujube-load --trace traces/day.load --keys-file "$dir/keys" \
  --stats "$(cat "$dir/stats")" --processes "$processes" --faults "$faults" \
  --report "$dir/report" || status=$?
echo "== one fate"
request=$(ctl submit plans --key "$(awk '$1 == "farms" {print $2}' "$dir/keys")" \
  --payload "run_ms=300;answer=done" --wait 20000)
echo "$request"
echo "== histograms"
ctl histogram --team events | head -n 20
exit "$status"
