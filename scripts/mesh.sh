# Functions that start a small mesh as separate processes on loopback. The scripts that
# source this file may set out (directory of settings and logs), bin (directory of the
# programs) and BASE (first port). Node i listens on BASE+10*i: callers +0, outgoing
# calls +1, peers +2, admin +3; its upstream listens on +4. The log listens on BASE+5.

: "${BASE:=17000}" "${bin:=bin}" "${out:=out/mesh}"
declare -A pids=()
declare -A instances=()

port() { echo "127.0.0.1:$((BASE + 10 * $1 + $2))"; }
log_address() { echo "127.0.0.1:$((BASE + 5))"; }

# mesh_log starts the log and writes the secret of the peers.
mesh_log() {
  mkdir -p "$out"
  head -c 32 /dev/urandom >"$out/peer.secret"
  "$bin/standin" --listen "$(log_address)" log >"$out/log.out" 2>&1 &
  pids[log]=$!
}

# mesh_settings INDEX INSTANCE SERVICE DATACENTRE writes the settings of a node.
mesh_settings() {
  cat >"$out/$2.ini" <<INI
[node]
instance = $2
service = $3
dataCentre = $4
region = ${REGION:-demo}
[listen]
callers = $(port "$1" 0)
callsOut = $(port "$1" 1)
peers = $(port "$1" 2)
admin = $(port "$1" 3)
[upstream]
address = $(port "$1" 4)
[log]
url = http://$(log_address)
retention = ${RETENTION:-1h}
[peers]
secretFile = $out/peer.secret
seeds = ${SEEDS:-}
[policy]
off = ${OFF:-}
drain = ${DRAIN:-500ms}
[logs]
level = ${LEVEL:-info}
INI
}

# mesh_node INDEX INSTANCE SERVICE DATACENTRE [upstream flags...] starts a node with
# its upstream.
mesh_node() {
  local index=$1 instance=$2
  mesh_settings "$1" "$2" "$3" "$4"
  shift 4
  "$bin/plantainnode" --settings "$out/$instance.ini" >"$out/$instance.log" 2>&1 &
  pids[$instance]=$!
  "$bin/standin" --listen "$(port "$index" 4)" upstream --name "$instance" --node "http://$(port "$index" 1)" "$@" >"$out/$instance.upstream" 2>&1 &
  pids[$instance.upstream]=$!
  instances[$instance]=$index
}

# await SECONDS COMMAND... retries the command until it succeeds, and returns 1 after
# the timeout.
await() {
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    if ((SECONDS >= end)); then
      echo "timed out waiting for: $*" >&2
      return 1
    fi
    sleep 0.1
  done
}

# members_are N succeeds if every node lists N members.
members_are() {
  local i
  for i in "${instances[@]}"; do
    [ "$("$bin/plantainramp" --node "http://$(port "$i" 3)" member list | wc -l)" = "$1" ] || return 1
  done
}

# stop NAME... stops processes with SIGTERM, and returns 1 if one does not exit with
# code 0.
stop() {
  local name code=0
  for name in "$@"; do kill -TERM "${pids[$name]}"; done
  for name in "$@"; do
    wait "${pids[$name]}" || { echo "$name exited with $?" >&2; code=1; }
    unset "pids[$name]"
  done
  return $code
}

# mesh_kill_all kills all processes.
mesh_kill_all() {
  disown -a
  local pid
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
  sleep 0.3
}
