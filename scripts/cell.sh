#!/usr/bin/env bash
# Starts and stops a cell of jujubedyke on loopback.
#   scripts/cell.sh start DIR [ZONES] [ENTRY-HOSTS-PER-ZONE]
#   scripts/cell.sh stop DIR
# ZONES is a list separated by commas. DIR gets the secrets, data, logs, one
# PID file per process, and the file "env" with the cell's addresses.
set -euo pipefail
cd "$(dirname "$0")/.."
readonly BIN=${JUJUBE_BIN:-build/bin}
readonly BASE_PORT=${JUJUBE_BASE_PORT:-21000}

# run NAME PROGRAM ARGS...: starts a process and notes its id.
run() {
  local name=$1
  shift
  "$@" >>"$dir/log/$name.log" 2>&1 &
  echo $! >"$dir/pid/$name"
}

secret() {
  [ -s "$1" ] || (umask 077 && openssl rand -hex 24 >"$1")
}

start() {
  IFS=, read -r -a zones <<<"${1:-san-fernando,point-fortin,princes-town}"
  local per_zone=${2:-3}
  mkdir -p "$dir"/{log,pid}
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
  cat >"$dir/env" <<EOF
export JUJUBE_SERVER=$servers
export JUJUBE_OPERATOR_TOKEN_FILE=$dir/operator.token
export JUJUBE_FLEET_TOKEN_FILE=$dir/fleet.token
EOF
}

# Ends every process that start noted, and waits for it.
stop() {
  local file pid
  for file in "$dir"/pid/*; do
    [ -e "$file" ] && kill "$(cat "$file")" 2>/dev/null || true
  done
  for file in "$dir"/pid/*; do
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
  sed -n '2,6p' "$0"
  exit 2
fi
command=$1
dir=$2
shift 2
case $command in
start) start "$@" ;;
stop) stop ;;
*) sed -n '2,6p' "$0" && exit 2 ;;
esac
