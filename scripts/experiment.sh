#!/usr/bin/env bash
# Runs a scenario alternately with the policy on and off, PAIRS times each, against a
# fleet of separate processes of the size in the scenario, and compares the runs.
#   scripts/experiment.sh teranga-slow
# KILL=INSTANCE kills that node 12 s after the measurement starts.
set -u
cd "$(dirname "$0")/.."
scenario=$1
: "${PAIRS:=5}" "${KILL:=}" "${POLICIES:=on off}"
bin=bin out=out/experiment/$scenario${KILL:+-kill} BASE=${BASE:-23000} LEVEL=error
. scripts/mesh.sh
trap mesh_kill_all EXIT
rm -rf "$out" && mkdir -p "$out"

fleet_teranga() {
  local i
  for i in 1 2 3 4; do mesh_node "$i" "showcase-$i" showcase "cap-vert-$((i % 3))" --slots 15 --service-time 40ms --deeper '/homes=GET:/calendar/days' --deeper '/offers=GET:/agreements/held'; done
  for i in 5 6 7; do mesh_node "$i" "agreements-$i" agreements "cap-vert-$((i % 3))" --slots 20 --service-time 60ms --deeper '/confirm=GET:/calendar/held'; done
  for i in 8 9 10; do mesh_node "$i" "handover-$i" handover "cap-vert-$((i % 3))" --slots 20 --service-time 60ms; done
  for i in 11 12 13; do mesh_node "$i" "calendar-$i" calendar "cap-vert-$((i % 3))" --slots 5 --service-time 40ms; done
  size=13
}
routes_teranga() {
  cat <<T
[service "showcase"]
against = 0
route = GET /homes/* normal idempotent
route = GET /offers/* normal idempotent
[service "agreements"]
against = 0
route = GET /held high idempotent
route = POST /confirm/* critical
[service "handover"]
against = 0
route = POST /* critical
[service "calendar"]
against = 0
route = GET /held high idempotent
route = GET /days normal idempotent
T
}
fleet_escalera() {
  local i
  for i in 1 2 3 4 5; do mesh_node "$i" "standings-$i" standings "mexico-$((i % 3))" --slots 8 --service-time 80ms; done
  for i in 6 7 8 9; do mesh_node "$i" "ledger-$i" ledger "mexico-$((i % 3))" --slots 10 --service-time 60ms --deeper '/result=GET:/standings/lookup'; done
  for i in 10 11 12; do mesh_node "$i" "challenges-$i" challenges "mexico-$((i % 3))" --slots 13 --service-time 60ms; done
  for i in 13 14 15; do mesh_node "$i" "scheduling-$i" scheduling "mexico-$((i % 3))" --slots 4 --service-time 40ms; done
  size=15
}
routes_escalera() {
  cat <<T
[service "standings"]
against = 0
route = GET /lookup high idempotent
route = GET /table/* normal idempotent
[service "ledger"]
against = 0
route = POST /result/* critical
[service "challenges"]
against = 0
route = POST /* critical
[service "scheduling"]
against = 0
route = GET /tables/* high idempotent
T
}

# tickets writes ticket 1, and the keys of the organisations in the scenario.
tickets() {
  printf '[ticket]\nnumber = 1\nauthor = experiment\nreason = %s\n' "$scenario" >"$out/1.ticket"
  local name
  for name in $(sed -n 's/^\[organisation "\(.*\)"\]/\1/p' "scenarios/$scenario.ini"); do
    "$bin/plantainramp" key new "$name-1" >"$out/$name.key"
    awk -v section="[organisation \"$name\"]" '$0==section{print; print "against = 0"; on=1; next} /^\[/{on=0} on' "scenarios/$scenario.ini" >>"$out/1.ticket"
    printf '[key "%s-1"]\nagainst = 0\norganisation = %s\ndigest = %s\n' "$name" "$name" "$(awk '$1=="digest"{print $2}' "$out/$name.key")" >>"$out/1.ticket"
    printf '[key "%s"]\nkey = %s\n' "$name" "$(awk '$1=="key"{print $2}' "$out/$name.key")" >>"$out/mesh.ini"
  done
  "routes_$fleet" >>"$out/1.ticket"
}

# play POLICY PAIR runs the scenario once on a new fleet.
play() {
  local policy=$1 pair=$2 name i
  OFF=
  [ "$policy" = off ] && OFF=rate,retries,admission
  instances=()
  mesh_log
  await 10 curl -s "http://$(log_address)/stats"
  "fleet_$fleet"
  await 30 members_are "$size" || return 1
  printf '[mesh]\npolicy = %s\nlog = http://%s\n' "$policy" "$(log_address)" >"$out/mesh.ini"
  for name in "${!instances[@]}"; do
    i=${instances[$name]}
    [ "$name" = "$KILL" ] && continue
    printf '[instance "%s"]\ncallers = http://%s\nupstream = http://%s\n' "$name" "$(port "$i" 0)" "$(port "$i" 4)" >>"$out/mesh.ini"
  done
  tickets
  "$bin/plantainramp" --log "http://$(log_address)" --node "http://$(port 1 3)" ticket file "$out/1.ticket" >/dev/null || return 1
  sleep 4 # until the rate slots are distributed over the nodes
  if [ -n "$KILL" ]; then (sleep 20; kill -KILL "${pids[$KILL]}") & fi
  "$bin/plantainramp" load run "scenarios/$scenario.ini" --mesh "$out/mesh.ini" --json >"$out/$policy-$pair.json" || return 1
  mesh_kill_all
  pids=()
}

fleet=${scenario%%-*}
for pair in $(seq "$PAIRS"); do
  for policy in $POLICIES; do play "$policy" "$pair" || { echo "run $policy-$pair failed" >&2; exit 1; }; done
done
"$bin/plantainramp" load compare "$out"/o*-*.json --chart "$out/goodput.svg"
