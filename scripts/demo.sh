#!/usr/bin/env bash
# Demonstrates a small mesh as separate processes: 2 data centres, 3 services with 2
# nodes each and their upstreams, and one log. Prints the results; exits with code 1 if
# any is not as wanted.
set -u
cd "$(dirname "$0")/.."
command -v curl >/dev/null || { echo 'demo: install curl first' >&2; exit 1; }
bin=bin out=out/demo
rm -rf "$out" && mkdir -p "$out"
. scripts/mesh.sh
trap mesh_kill_all EXIT
failed=0
began=$SECONDS

# row WHAT WANTED SEEN prints a row of the table and marks a result that differs.
row() {
  local mark=ok
  [ "$2" = "$3" ] || { mark=OFF; failed=1; }
  printf '%-58s %-12s %-12s %s\n' "$1" "$2" "$3" "$mark"
}
admin="$bin/plantainramp --log http://$(log_address) --node http://$(port 1 3)"
# ask NODE KEY METHOD PATH [curl flags...] sends a request and prints the status.
ask() {
  local node=$1 key=$2 method=$3 path=$4
  shift 4
  curl -s -o "$out/body" -w '%{http_code}' --max-time 10 -X "$method" -H "Authorization: Bearer $key" "$@" "http://$(port "$node" 0)$path"
}
# runs INDEX PATTERN counts the requests received by an upstream whose URI matches.
runs() { curl -s "http://$(port "$1" 4)/-/received" | grep -o "\"uri\":\"[^\"]*$2[^\"]*\"" | wc -l; }

mesh_log
await 10 curl -s "http://$(log_address)/stats"
mesh_node 1 showcase-1 showcase cap-vert-1 --deeper '/homes=GET:/calendar/days'
mesh_node 2 showcase-2 showcase cap-vert-2 --deeper '/homes=GET:/calendar/days'
mesh_node 3 calendar-1 calendar cap-vert-1 --deeper '/days=GET:/agreements/held'
mesh_node 4 calendar-2 calendar cap-vert-2 --deeper '/days=GET:/agreements/held'
mesh_node 5 agreements-1 agreements cap-vert-1
mesh_node 6 agreements-2 agreements cap-vert-2
await 20 members_are 6 || { tail -5 "$out"/*.log; exit 1; }

$admin key new dakar-1 >"$out/dakar.key"
$admin key new thies-1 >"$out/thies.key"
dakar=$(awk '$1=="key"{print $2}' "$out/dakar.key")
thies=$(awk '$1=="key"{print $2}' "$out/thies.key")
cat >"$out/1.ticket" <<T
[ticket]
number = 1
author = awa
reason = first organisations and services
[organisation "dakar"]
against = 0
rate = 200
burst = 100
[organisation "thies"]
against = 0
rate = 5
burst = 10
[key "dakar-1"]
against = 0
organisation = dakar
digest = $(awk '$1=="digest"{print $2}' "$out/dakar.key")
[key "thies-1"]
against = 0
organisation = thies
digest = $(awk '$1=="digest"{print $2}' "$out/thies.key")
[service "showcase"]
against = 0
route = GET /homes/* normal idempotent
[service "calendar"]
against = 0
route = GET /days normal idempotent
[service "agreements"]
against = 0
route = GET /held normal idempotent
route = POST /confirm critical
T
cat >"$out/2.ticket" <<T
[ticket]
number = 2
author = moussa
reason = key dakar-1 was seen in a mail
[key "dakar-1"]
against = 1
organisation = dakar
digest = $(awk '$1=="digest"{print $2}' "$out/dakar.key")
state = withdrawn
T
sed 's/reason = .*/reason = the same number again/' "$out/1.ticket" >"$out/1b.ticket"

printf '%-58s %-12s %-12s %s\n' 'WHAT' 'WANTED' 'SEEN' ''
$admin ticket file "$out/1.ticket" >/dev/null; row 'ticket 1 filed' 0 $?
$admin ticket file "$out/1.ticket" >/dev/null; row 'ticket 1 filed again, same verdict' 0 $?
$admin ticket file "$out/1b.ticket" 2>/dev/null; row 'different ticket with number 1 rejected' 3 $?
in_force() { [ "$("$bin/plantainramp" --node "http://$(port "$1" 3)" state show organisation | wc -l)" = 2 ]; }
for i in 1 2 3 4 5 6; do await 5 in_force $i; row "ticket 1 in effect at node $i within 5 s" 0 $?; done

good=0
for n in $(seq 60); do
  [ "$(ask $((n % 6 + 1)) "$dakar" GET "/showcase/homes/$n")" = 200 ] && good=$((good + 1))
done
row 'reads via a chain of 3 services, at all nodes' 60 $good
deep=$(($(runs 5 /held) + $(runs 6 /held)))
row 'requests received by the deepest service for them' 60 $deep
row 'no key' 401 "$(curl -s -o /dev/null -w '%{http_code}' "http://$(port 1 0)/showcase/homes/1")"
row 'unknown service' 404 "$(ask 1 "$dakar" GET /nowhere/x)"
row 'path with dot segments' 400 "$(ask 1 "$dakar" GET /showcase/homes/../x --path-as-is)"
row 'key in the query' 400 "$(ask 1 "$dakar" GET "/showcase/homes/1?k=$dakar")"

confirm() { ask "$1" "$dakar" POST /agreements/confirm -H 'Idempotency-Key: "swap-17"' -d 'swap 17'; }
row 'confirmation' 200 "$(confirm 1)"
row 'confirmation repeated at another node' 200 "$(confirm 4)"
row 'executions of the confirmation' 1 $(($(runs 5 /confirm) + $(runs 6 /confirm)))

limited=0
for n in $(seq 40); do [ "$(ask 1 "$thies" GET "/showcase/homes/$n")" = 429 ] && limited=$((limited + 1)); done
row 'thies (rate 5, burst 10): over 10 of 40 calls rejected' yes "$([ $limited -gt 10 ] && echo yes || echo "no: $limited")"

curl -s -X PUT -d '{"leaving":true}' "http://$(port 5 4)/-/behaviour"
before=$(runs 5 /held)
good=0
for n in $(seq 30); do [ "$(ask $((n % 6 + 1)) "$dakar" GET "/showcase/homes/$n")" = 200 ] && good=$((good + 1)); done
row 'reads while agreements-1 is leaving' 30 $good
row 'new requests at the leaving upstream' 0 $(($(runs 5 /held) - before))

$admin ticket file "$out/2.ticket" >/dev/null; row 'key withdrawn by ticket 2' 0 $?
withdrawn() { [ "$(ask "$1" "$dakar" GET /showcase/homes/1)" = 401 ]; }
for i in 1 2 3 4 5 6; do await 5 withdrawn $i; row "withdrawn key rejected at node $i within 5 s" 0 $?; done
keys=$(grep -l -e "$dakar" -e "$thies" "$out"/*.log "$out"/*.upstream "$out"/*.ticket 2>/dev/null | wc -l)
row 'logs and tickets that contain a key' 0 "$keys"

for i in "${!instances[@]}"; do stop "$i"; row "$i stopped with SIGTERM, exit code" 0 $?; done
for i in "${!instances[@]}"; do stop "$i.upstream"; done; row 'upstreams stopped, exit code' 0 $?
stop log; row 'log stopped, exit code' 0 $?
row 'demo completed in under 60 s' yes "$([ $((SECONDS - began)) -lt 60 ] && echo yes || echo no)"
exit $failed
