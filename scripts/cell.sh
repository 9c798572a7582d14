#!/usr/bin/env bash
# Starts and stops a cell of jujubedyke on loopback.
#   scripts/cell.sh start DIR [ZONES] [ENTRY-HOSTS-PER-ZONE]
#   scripts/cell.sh standins DIR [WORKERS-PER-ZONE] [RUNNERS-PER-ZONE]
#   scripts/cell.sh restart DIR PROCESS
#   scripts/cell.sh stop DIR [PROCESS]
# ZONES is a comma-separated list. DIR receives the secrets, data and logs, the id
# (pid/) and the command line (command/) of each process, and the file "env" with
# the cell's addresses. Processes are named keeper-N, zone-ZONE-N,
# entry-ZONE-N, worker-ZONE and runner-ZONE.
set -euo pipefail
cd "$(dirname "$0")/.."
readonly BIN=${JUJUBE_BIN:-build/bin}
readonly BASE_PORT=${JUJUBE_BASE_PORT:-21000}

# run NAME PROGRAM ARGS...: starts a process and records its command line and id.
run() {
  local name=$1
  shift
  printf '%q ' "$@" >"$dir/command/$name"
  "$@" >>"$dir/log/$name.log" 2>&1 &
  echo $! >"$dir/pid/$name"
}

secret() {
  [ -s "$1" ] || (umask 077 && openssl rand -hex 24 >"$1")
}

start() {
  IFS=, read -r -a zones <<<"${1:-san-fernando,point-fortin,princes-town}"
  local per_zone=${2:-3}
  if [ $((per_zone % 2)) = 0 ]; then
    echo "ENTRY-HOSTS-PER-ZONE is $per_zone; give 1, 3 or 5" >&2
    exit 2
  fi
  mkdir -p "$dir"/{log,pid,command}
  secret "$dir/fleet.token"
  secret "$dir/operator.token"
  local keepers="" keeper_addresses="" k
  for k in 1 2 3; do
    keepers+=${keepers:+,}keeper-$k=127.0.0.1:$((BASE_PORT + k))
    keeper_addresses+=${keeper_addresses:+,}127.0.0.1:$((BASE_PORT + k))
  done
  for k in 1 2 3; do
    run "keeper-$k" "$BIN/jujube-keeper" --host "keeper-$k" --keepers "$keepers" \
      --data "$dir/keeper-$k" --fleet-token-file "$dir/fleet.token"
  done
  local z=0 zone servers=""
  for zone in "${zones[@]}"; do
    z=$((z + 1))
    local peers="" peer_addresses="" https="" i port
    for ((i = 1; i <= per_zone; i++)); do
      port=$((BASE_PORT + 100 * z + i))
      peers+=${peers:+,}$zone-$i=127.0.0.1:$port
      peer_addresses+=${peer_addresses:+,}127.0.0.1:$port
      https+=${https:+,}127.0.0.1:$((port + 50))
    done
    for ((i = 1; i <= per_zone; i++)); do
      port=$((BASE_PORT + 100 * z + i))
      run "zone-$zone-$i" "$BIN/jujube-zone" --host "$zone-$i" --zone "$zone" \
        --peers "$peers" --keepers "$keeper_addresses" \
        --fleet-token-file "$dir/fleet.token" --policy "${JUJUBE_POLICY:-waiting}"
      run "entry-$zone-$i" "$BIN/jujube-entry" --host "entry-$zone-$i" --zone "$zone" \
        --listen "127.0.0.1:$((port + 25))" --http "127.0.0.1:$((port + 50))" \
        --zone-peers "$peer_addresses" --keepers "$keeper_addresses" \
        --fleet-token-file "$dir/fleet.token" \
        --operator-token-file "$dir/operator.token"
    done
    servers+=${servers:+,}$https
    echo "$https" >"$dir/entries-$zone"
  done
  printf '%s\n' "${zones[@]}" >"$dir/zones"
  cat >"$dir/env" <<EOF
export JUJUBE_SERVER=$servers
export JUJUBE_OPERATOR_TOKEN_FILE=$dir/operator.token
export JUJUBE_FLEET_TOKEN_FILE=$dir/fleet.token
EOF
}

# Fails if a started process has exited, for example because of a wrong setting.
check() {
  sleep 0.5
  local file name
  for file in "$dir"/pid/*; do
    name=$(basename "$file")
    kill -0 "$(cat "$file")" 2>/dev/null || {
      echo "$name has exited: $(tail -n 1 "$dir/log/$name.log")" >&2
      exit 1
    }
  done
}

# Starts emulated workers, and runners of the entry yard-desk, in every zone.
# Writes their addresses for jujube-load --stats to the file "stats".
standins() {
  local workers=${1:-4} runners=${2:-3} z=0 zone entries stats=""
  while read -r zone; do
    z=$((z + 1))
    entries=$(cat "$dir/entries-$zone")
    run "worker-$zone" "$BIN/standin-worker" --entries "$entries" \
      --fleet-token-file "$dir/fleet.token" --name "w-$zone" \
      --count "$workers" --stats "127.0.0.1:$((BASE_PORT + 900 + z))"
    run "runner-$zone" "$BIN/standin-runner" --entries "$entries" \
      --fleet-token-file "$dir/fleet.token" --zone "$zone" --entry yard-desk \
      --name "r-$zone" --count "$runners" \
      --listen "127.0.0.1:$((BASE_PORT + 950 + z))"
    stats+=${stats:+,}127.0.0.1:$((BASE_PORT + 900 + z))
    stats+=,127.0.0.1:$((BASE_PORT + 950 + z))
  done <"$dir/zones"
  echo "$stats" >"$dir/stats"
}

# restart PROCESS: stops the process if it runs, then starts it with the same
# command line.
restart() {
  if [ ! -e "$dir/command/$1" ]; then
    echo "no process '$1'; give one of: $(cd "$dir/command" && echo *)" >&2
    exit 2
  fi
  stop "$1"
  local -a words
  eval "words=($(cat "$dir/command/$1"))"
  run "$1" "${words[@]}"
}

# stop [PROCESS]: stops the process, or every started process, and waits for it
# to exit.
stop() {
  local file pid
  local -a files=("$dir"/pid/*)
  [ $# = 0 ] || files=("$dir/pid/$1")
  for file in "${files[@]}"; do
    [ -e "$file" ] && kill "$(cat "$file")" 2>/dev/null &&
      kill -CONT "$(cat "$file")" 2>/dev/null || true # It may be paused.
  done
  for file in "${files[@]}"; do
    [ -e "$file" ] || continue
    pid=$(cat "$file")
    for _ in $(seq 300); do
      kill -0 "$pid" 2>/dev/null || break
      sleep 0.1
    done
    rm -f "$file"
  done
}

if [ $# -lt 2 ]; then
  sed -n '2,11p' "$0"
  exit 2
fi
command=$1
dir=$2
shift 2
case $command in
start)
  start "$@"
  check
  ;;
standins)
  standins "$@"
  check
  ;;
restart)
  restart "$@"
  check
  ;;
stop) stop "$@" ;;
*) sed -n '2,11p' "$0" && exit 2 ;;
esac
