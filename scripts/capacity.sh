#!/usr/bin/env bash
# Measures the cost of an idle node, for fleets of several sizes on this machine:
# processor time, memory, bytes on the loopback device, reads and appends of the log.
# Prints one tab-separated row per size. SIZES (numbers of nodes) and SECONDS_EACH (the
# measured time) override the defaults.
set -u
cd "$(dirname "$0")/.."
bin=bin out=out/capacity BASE=21000 LEVEL=warning
. scripts/mesh.sh
trap mesh_kill_all EXIT
: "${SIZES:=10 50 150}" "${SECONDS_EACH:=30}"

loopback() { awk '$1=="lo:"{print $2}' /proc/net/dev; }
ticks() { local sum=0 p; for p in "${node_pids[@]}"; do sum=$((sum + $(awk '{print $14+$15}' "/proc/$p/stat"))); done; echo $sum; }
resident() { local sum=0 p; for p in "${node_pids[@]}"; do sum=$((sum + $(awk '$1=="VmRSS:"{print $2}' "/proc/$p/status"))); done; echo $sum; }
stat() { curl -s "http://$(log_address)/stats" | grep -o "\"$1\":[0-9]*" | cut -d: -f2; }
listed() { [ "$("$bin/plantainramp" --node "http://$(port 1 3)" member list | wc -l)" = "$1" ]; }

measure() {
  local n=$1 i
  rm -rf "$out" && mkdir -p "$out"
  mesh_log
  await 10 curl -s "http://$(log_address)/stats"
  node_pids=()
  for i in $(seq "$n"); do
    mesh_settings "$i" "calendar-$i" calendar "dc$((i % 12))"
    "$bin/plantainnode" --settings "$out/calendar-$i.ini" >"$out/calendar-$i.log" 2>&1 &
    pids[n$i]=$!
    node_pids+=($!)
  done
  for i in $(seq "$n"); do
    await 20 curl -sf -X PUT -d '{"state":"serving","slots":45,"started":"x"}' "http://$(port "$i" 1)/-/upstream" || return 1
  done
  await 60 listed "$n" || return 1
  sleep 40 # until the rate slots are distributed over the nodes
  local t0 b0 r0 a0 t1 b1 r1 a1
  t0=$(ticks) b0=$(loopback) r0=$(stat reads) a0=$(stat appends)
  sleep "$SECONDS_EACH"
  t1=$(ticks) b1=$(loopback) r1=$(stat reads) a1=$(stat appends)
  awk -v n="$n" -v s="$SECONDS_EACH" -v t=$((t1 - t0)) -v b=$((b1 - b0)) -v r=$((r1 - r0)) -v a=$((a1 - a0)) -v m="$(resident)" 'BEGIN{
    printf "%d\t%.2f\t%.1f\t%.2f\t%.2f\t%.2f\n", n, t/s/n, m/1024/n, b/1024/s/n, r/s, a/s}'
  mesh_kill_all
  pids=()
  instances=()
}

printf 'nodes\tprocessor %%/node\tresident MB/node\tKB/s/node\tlog reads/s\tlog appends/s\n'
for n in $SIZES; do measure "$n"; done
