#!/usr/bin/env bash
# Demonstrates the node on the users' machines, as separate processes on loopback: one
# store, and six servers of three services with a node each. Shows normal load, an
# overload, a withdrawn key, a drained server, a lost response and a store outage, and
# explains one failed request. Prints the results; exits with code 1 if any is not as
# wanted.
set -u
cd "$(dirname "$0")/.."
command -v curl >/dev/null || { echo 'demo: install curl first' >&2; exit 1; }
bin=bin out=out/demo-platform base=${BASE:-18000} failed=0
rm -rf "$out" && mkdir -p "$out"
pids=() surge=()
trap 'kill "${pids[@]}" 2>/dev/null; wait' EXIT

# row WHAT WANTED SEEN prints a row of the table and marks a result that differs.
row() {
  local mark=ok
  [ "$2" = "$3" ] || { mark=OFF; failed=1; }
  printf '%-58s %-12s %-12s %s\n' "$1" "$2" "$3" "$mark"
}
address() { echo "127.0.0.1:$((base + 10 * $1 + $2))"; }
store=$(address 0 0)

# machine INDEX SERVICE ZONE SLOTS [server flags...] starts a node with its server.
machine() {
  local i=$1 service=$2 zone=$3 slots=$4
  shift 4
  cat >"$out/node$i.ini" <<INI
[node]
name = node-$i
service = $service
dataCentre = $zone
firstStart = true
[listen]
callers = $(address "$i" 0)
heartbeats = $(address "$i" 1)
readiness = $(address "$i" 2)
peers = $(address "$i" 3)
metrics = $(address "$i" 4)
[instance]
address = $(address "$i" 5)
[store]
address = $store
[bounds]
heartbeat = 500ms
revoke = 5s
grace = 4s
INI
  "$bin/plantainmesh" --settings "$out/node$i.ini" >"$out/node$i.log" 2>&1 &
  pids+=($!)
  "$bin/standin" --listen "$(address "$i" 5)" server --id "i-$i" --service "$service" --zone "$zone" --slots "$slots" \
    --control "$(address "$i" 1)" --outbound "$(address "$i" 0)" "$@" >"$out/server$i.log" 2>&1 &
  pids+=($!)
}

# configure VERSION KEY writes a configuration in which KEY belongs to dakar.
configure() {
  curl -s -X PUT --data-binary @- "http://$store/-/config" <<JSON
{"version":$1,"routes":[
{"name":"browse","host":"homes.example","path_prefix":"/homes/","kind":"idempotent","timeout":"2000ms","target_latency":"500ms","priority":2,"service":"showcase","max_attempts":2},
{"name":"commit","host":"homes.example","path_prefix":"/swaps/","kind":"non_idempotent","timeout":"2000ms","target_latency":"500ms","priority":0,"service":"desk","max_attempts":1},
{"name":"photo","host":"homes.example","path_prefix":"/photos/","kind":"upload","timeout":"2000ms","target_latency":"500ms","priority":1,"service":"desk","max_attempts":1},
{"name":"peek","host":"homes.example","path_prefix":"/days/","kind":"idempotent","timeout":"1000ms","target_latency":"300ms","priority":1,"service":"calendar","allow_anonymous":true}],
"services":[{"name":"showcase"},{"name":"desk"},{"name":"calendar"}],"limits":{"header_bytes":16384,"body_bytes":1048576},
"tenants":[{"name":"dakar","api_keys":["$2"],"rate_per_s":5000,"burst":5000}]}
JSON
}

# ask NODE METHOD PATH ID KEY sends a request and prints the status.
ask() {
  curl -s -o /dev/null -w '%{http_code}' --max-time 5 -X "$2" -H 'Host: homes.example' -H "Authorization: Bearer $5" \
    -H "Plantainramp-Request-Id: $4" -H 'Plantainramp-Deadline-Remaining: 3000' "http://$(address "$1" 0)$3"
}
# upload NODE BYTES ID KEY sends a photo of the given size and prints the status.
upload() {
  head -c "$2" /dev/zero | curl -s -o /dev/null -w '%{http_code}' --max-time 5 --data-binary @- -H 'Host: homes.example' -H "Authorization: Bearer $4" \
    -H "Plantainramp-Request-Id: $3" -H 'Plantainramp-Deadline-Remaining: 3000' "http://$(address "$1" 0)/photos/1"
}
# runs ID prints how often the servers executed the request.
runs() { local sum=0 i; for i in 1 2 3 4 5 6; do sum=$((sum + $(curl -s "http://$(address "$i" 5)/-/runs/$1"))); done; echo $sum; }
ready() { local i; for i in 1 2 3 4 5 6; do [ "$(curl -s -o /dev/null -w '%{http_code}' "http://$(address "$i" 2)/readiness")" = 200 ] || return 1; done; }
known() { [ "$(ask 1 GET /homes/1 "probe$RANDOM$RANDOM" key-1)" = 200 ] && [ "$(ask 6 POST /swaps/1 "probe$RANDOM$RANDOM" key-1)" = 200 ]; }
await() { local end=$((SECONDS + $1)); shift; until "$@" >/dev/null 2>&1; do ((SECONDS < end)) || { echo "timed out waiting for: $*" >&2; exit 1; }; sleep 0.1; done; }

began=$SECONDS
"$bin/standin" --listen "$store" store >"$out/store.log" 2>&1 &
pids+=($!)
await 10 configure 1 key-1
for i in 1 2; do machine "$i" showcase "z$i" 40 --deeper '/homes/=homes.example/days/x*2'; done
for i in 3 4; do machine "$i" desk "z$((i - 2))" 40; done
for i in 5 6; do machine "$i" calendar "z$((i - 4))" 3 --work 20ms; done
await 15 ready
await 10 known

printf '%-58s %-12s %-12s\n' WHAT WANTED SEEN
served=0
for i in 1 2 3 4 5 6; do [ "$(ask "$i" GET /homes/7 "calm$i" key-1)" = 200 ] && served=$((served + 1)); done
row 'reads via a chain of two services, one at each node' 6 "$served"
row 'executions of one of them' 1 "$(runs calm3)"
row 'unknown key' 401 "$(ask 1 GET /homes/7 stranger key-0)"
row 'unknown path' 404 "$(ask 1 GET /elsewhere/7 nowhere key-1)"

row 'photo of 200 KB' 200 "$(upload 1 204800 photo key-1)"
row 'executions of the upload' 1 "$(runs photo)"
row 'photo of 2 MB, over the limit' 413 "$(upload 1 2097152 large key-1)"
row 'executions of that upload' 0 "$(runs large)"

curl -s -X POST "http://$(address 3 5)/-/break/1" >/dev/null
curl -s -X POST "http://$(address 4 5)/-/break/1" >/dev/null
row 'action whose response is lost' 502 "$(ask 2 POST /swaps/9 lost key-1)"
row 'executions of that action' 1 "$(runs lost)"
curl -s -X POST "http://$(address 3 5)/-/break/0" >/dev/null
curl -s -X POST "http://$(address 4 5)/-/break/0" >/dev/null

for n in $(seq 1 60); do
  for i in 1 2 3 4 5 6; do echo "$(ask "$i" GET /homes/7 "many$n.$i" key-1)" >>"$out/many"; done &
  surge+=($!)
done
wait "${surge[@]}"
row 'reads in a surge with a status other than 200 or 503' 0 "$(grep -cv '^200$\|^503$' "$out/many")"

configure 2 key-2
sleep 1
row 'withdrawn key after 1 s' 401 "$(ask 4 GET /homes/7 old key-1)"
row 'new key' 200 "$(ask 4 GET /homes/7 new key-2)"

curl -s -X POST "http://$store/-/fault/silent" >/dev/null
row 'drain acknowledged while the store does not respond' 200 "$(curl -s -o /dev/null -w '%{http_code}' -X POST "http://$(address 3 5)/-/drain")"
for i in 1 2 3 4 5 6; do ask "$i" POST /swaps/5 "after$i" key-2 >/dev/null; done
row 'actions executed by the drained server after that' 0 "$(for i in 1 2 3 4 5 6; do curl -s "http://$(address 3 5)/-/runs/after$i"; echo; done | grep -c '^1$')"
sleep 5
row 'request with a key that cannot be confirmed' 503 "$(ask 1 GET /homes/7 stale key-2)"
row 'request without a key meanwhile' 200 "$(ask 1 GET /days/7 open key-2)"
curl -s -X POST "http://$store/-/fault/none" >/dev/null
await 5 eval '[ "$(ask 1 GET /homes/7 back$RANDOM key-2)" = 200 ]'
row 'request with a key after the store has recovered' 200 "$(ask 1 GET /homes/7 back key-2)"

echo
echo 'plantainramp explain lost:'
"$bin/plantainramp" explain lost "$out"/node*.log | cut -c1-200
echo "took $((SECONDS - began)) s"
exit $failed
