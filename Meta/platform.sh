# SPDX-License-Identifier: Apache-2.0
# Functions that run a stand-in of the users' platform with entry daemons on loopback, for "run --platform" and the process tests.
# Sourced after Meta/cluster.sh, not run.

store=127.0.0.1:$((port_base))
store_control=127.0.0.1:$((port_base + 1))
replica_control=127.0.0.1:$((port_base + 2))
balancer=127.0.0.1:$((port_base + 3))
balancer_control=127.0.0.1:$((port_base + 4))
tenant_key=example-key-hule

entry_callers() { echo "127.0.0.1:$((port_base + 100 + $1 * 10))"; }
entry_readiness() { echo "127.0.0.1:$((port_base + 101 + $1 * 10))"; }
entry_dispatch() { echo "127.0.0.1:$((port_base + 103 + $1 * 10))"; }
entry_peers() { echo "127.0.0.1:$((port_base + 102 + $1 * 10))"; }

# fault ADDRESS JSON: sets the faults that a stand-in injects. facts ADDRESS: prints the state of a stand-in.
# events ADDRESS [AFTER]: prints the events of a stand-in after the given one.
fault() { curl -sf -m 20 -X POST -d "$2" "http://$1/faults" >/dev/null; }
facts() { curl -sf -m 10 "http://$1/facts"; }
events() { curl -sf -m 10 "http://$1/events?after=${2:-0}"; }

# start_stand_ins [OPTIONS OF THE REPLICAS...]: starts the store, 16 replicas with engines in two fabric domains and three
# replicas of a plain service. Fails if an address is in use.
start_stand_ins() {
    local address
    for address in "$store" "$store_control" "$replica_control" "$(entry_callers 1)" "$(entry_callers 2)" "$(entry_callers 3)"; do
        ! (exec 3<>"/dev/tcp/${address/:/\/}") 2>/dev/null || fail "another process listens at $address"
    done
    start store "$build/Tests/StandIns/standInStore" --listen="$store" --control="$store_control"
    wait_for 10 "store" facts "$store_control"
    start replicas "$build/Tests/StandIns/standInReplicas" --store="$store" --control="$replica_control" \
        --base-port="$((port_base + 500))" --models=m0:4,m1:2 --domains=2 --per-domain=8 --services=plain:3 "$@"
    wait_for 10 "replicas" facts "$replica_control"
}

# put_configuration VERSION [KEY]: writes the configuration to the store as the operator does, with one API key of the tenant.
put_configuration() {
    local version=$1 key=${2:-$tenant_key} value
    value=$(base64 -w0 <<JSON
{"Version":$version,"Routes":[
{"Name":"stream","Host":"desk.example","PathPrefix":"/stream/","RouteType":"streaming","TimeoutMs":20000,"SloMs":500,"Priority":1,"Service":"engines","MaxAttempts":3,"Public":false,"Sticky":true,"Resumable":true,"GapTargetMs":300},
{"Name":"fetch","Host":"desk.example","PathPrefix":"/fetch/","RouteType":"idempotent","TimeoutMs":4000,"SloMs":300,"Priority":2,"Service":"plain","MaxAttempts":2,"Public":false},
{"Name":"book","Host":"desk.example","PathPrefix":"/book/","RouteType":"non_idempotent","TimeoutMs":4000,"SloMs":300,"Priority":2,"Service":"plain","MaxAttempts":2,"Public":false}],
"Services":[{"Name":"engines","HealthPath":"/healthz","MaxConns":400,"Protocol":"h1","Tls":false,"Engine":{"Slots":26,"KvCapacity":1400000,"Stride":5,
"Models":[{"Name":"m0","size":4,"Share":0.67,"pace":1.0,"LoadS":0.3,"WarmS":0.1},{"Name":"m1","size":2,"Share":0.33,"pace":0.6,"LoadS":0.3,"WarmS":0.1}],
"LoadsPerS":4.0,"loads_at_once":6,"Contents":1,"far_x":3.0,"FormMs":50.0}},
{"Name":"plain","HealthPath":"/healthz","MaxConns":110,"Protocol":"h1","Tls":false}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"hule930","ApiKeys":["$key"],"Priority":1}]}
JSON
)
    curl -sf -m 5 -H 'X-Stand-In: yes' -d "{\"ExpectedRev\":[],\"SetKeys\":[{\"Key\":\"op/config\",\"Value\":\"$value\",\"Lease\":0}],\"Delete\":[]}" "http://$store/kv-txn" >/dev/null
}

# start_entry NUMBER: starts an entry daemon, which logs its decisions to entry-NUMBER.log. The variable contracts sets the names of the
# platform's contracts, as a list in YAML.
start_entry() {
    cat >"$work/entry-$1.yaml" <<YAML
daemon: entry-$1
data-centre: ikeja
key-value: $store
first-start: ${first_start:-true}
connections: ${connections:-400}
listen:
  callers: $(entry_callers "$1")
  readiness: $(entry_readiness "$1")
  peers: $(entry_peers "$1")
  dispatch: $(entry_dispatch "$1")
contracts: ${contracts:-[]}
timing:
  replica-heartbeat-ms: 400
retries:
  # A daemon has its part of the slack once it has run for a window, and here replicas are lost within seconds of its start.
  window-ms: 1000
YAML
    start "entry-$1" "$build/Services/vetchpostd/vetchpostd" entry --settings="$work/entry-$1.yaml"
}

is_entry_ready() { curl -sf -m 2 "http://$(entry_readiness "$1")/readyz"; }

# ask ADDRESS PATH ATTEMPT [CURL OPTIONS...]: sends one client request. The variables model and tokens set a stream's model and length.
ask() {
    local address=$1 path=$2 attempt=$3
    shift 3
    curl -sN -m 30 -H 'Host: desk.example' -H "Attempt-Id: $attempt" -H "Authorization: Bearer $tenant_key" -H 'Deadline-Ms: 20000' \
        -H "Model: ${model:-m0}" -H "Token-Counts: 40,${tokens:-30}" -d 'the prompt' "$@" "http://$address$path"
}

# serving_places: prints the number of groups whose head serves, as the replicas report it.
serving_places() { facts "$replica_control" | grep -o '"State":"open"' | wc -l; }
has_places() { [ "$(serving_places)" -ge "$1" ]; }

# is_whole_stream FILE ATTEMPT EVENTS: checks that the file holds each event of the attempt's stream exactly once and in order.
is_whole_stream() {
    local number
    for number in $(seq 1 "$3"); do printf 'id: %s\ndata: {"attempt":"%s","event":%s,"of":%s}\n\n' "$number" "$2" "$number" "$3"; done | cmp -s - "$1"
}

# start_three_entries: starts the stand-ins and three entry daemons, and waits until they are ready and groups of both models serve.
start_three_entries() {
    local number
    start_stand_ins "$@"
    put_configuration 1
    for number in 1 2 3; do start_entry "$number"; done
    for number in 1 2 3; do wait_for 20 "ready entry daemon $number" is_entry_ready "$number"; done
    wait_for 30 "serving groups" has_places 4
    for number in 1 2 3; do
        wait_for 20 "backend for m0 at daemon $number" serves "$number" m0
        wait_for 20 "backend for m1 at daemon $number" serves "$number" m1
    done
}

# serves NUMBER MODEL: checks that the daemon answers a streamed request for the model.
serves() { model=$2 tokens=5 ask "$(entry_callers "$1")" /stream/serves "serves-$RANDOM" -f; }

# start_balancer NUMBER...: starts a load balancer in front of these entry daemons. is_in and is_out check whether it sends to a daemon.
start_balancer() {
    local number list=
    for number in "$@"; do list+=${list:+,}$(entry_callers "$number")=$(entry_readiness "$number"); done
    start balancer "$build/Tests/StandIns/standInBalancer" --listen="$balancer" --control="$balancer_control" --daemons="$list"
    wait_for 10 "balancer" facts "$balancer_control"
}
is_in() { facts "$balancer_control" | grep -qF "\"$(entry_callers "$1")\":{\"in\":true"; }
is_out() { facts "$balancer_control" | grep -qF "\"$(entry_callers "$1")\":{\"in\":false"; }
