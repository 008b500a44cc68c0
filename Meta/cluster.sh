# SPDX-License-Identifier: Apache-2.0
# Functions that run a small cluster of real processes on loopback, for the run command and the process tests. Sourced, not run.
# The caller sets build (the build folder) and work (a separate folder for settings and logs).

export VETCHPOST_OPERATOR_TOKEN=operators-example-token
export VETCHPOST_PEER_TOKEN=peers-example-token
okonjo_key=example-key-okonjo
refractarios_key=example-key-refractarios

port_base=${port_base:-18000}
key_value=127.0.0.1:$((port_base))
instance_list=127.0.0.1:$((port_base + 1))
weight_store=127.0.0.1:$((port_base + 2))
declare -gA pids=()

# start NAME PROGRAM ARGUMENTS...: starts a process in the background, logs to the work folder and stores its id in pids[NAME].
start() {
    local name=$1
    shift
    "$@" >"$work/$name.log" 2>&1 &
    pids[$name]=$!
}

# stop_all: kills every process that start has started, by its id.
stop_all() {
    local name
    for name in "${!pids[@]}"; do
        kill -CONT "${pids[$name]}" 2>/dev/null || true
        kill -KILL "${pids[$name]}" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    pids=()
}

fail() {
    echo "FAILED: $*" >&2
    exit 1
}

# wait_for SECONDS WHAT COMMAND...: repeats the command until it succeeds; fails with the text WHAT after the given time.
wait_for() {
    local seconds=$1 what=$2
    shift 2
    local end=$((SECONDS + seconds))
    until "$@" >/dev/null 2>&1; do
        [ "$SECONDS" -lt "$end" ] || fail "no $what within $seconds s"
        sleep 0.1
    done
}

callers_of() { echo "127.0.0.1:$((port_base + 100 + $1 * 10))"; }
operators_of() { echo "127.0.0.1:$((port_base + 101 + $1 * 10))"; }
peers_of() { echo "127.0.0.1:$((port_base + 102 + $1 * 10))"; }
engine_address() { echo "127.0.0.1:$((port_base + 500 + $1))"; }
service_address() { echo "127.0.0.1:$((port_base + 700 + $1))"; }

start_platform() {
    start platform "$build/Tests/StandIns/standInPlatform" "$key_value" "$instance_list" "$weight_store"
    wait_for 10 "platform" curl -sf "http://$instance_list/v1/instances?data_centre=ikeja"
}

# list_instance JSON: adds an instance to the instance list, or updates it.
list_instance() {
    curl -sf -X POST -d "$1" "http://$instance_list/v1/instances" >/dev/null
}

# start_engine NUMBER DATA_CENTRE DOMAIN [OPTIONS...]: starts a stand-in engine and adds it to the instance list.
start_engine() {
    local number=$1 data_centre=$2 domain=$3
    shift 3
    start "engine-$number" "$build/Tests/StandIns/standInEngine" "$@" "engine-$number" "$(engine_address "$number")"
    list_instance "{\"id\":\"engine-$number\",\"address\":\"$(engine_address "$number")\",\"data_centre\":\"$data_centre\",\"fabric_domain\":\"$domain\",\"accelerators\":8,\"state\":\"live\"}"
}

# start_service NUMBER DATA_CENTRE: starts a stand-in of the maintenance service and adds it to the instance list.
start_service() {
    start "service-$1" "$build/Tests/StandIns/standInService" "service-$1" "$(service_address "$1")"
    list_instance "{\"id\":\"service-$1\",\"address\":\"$(service_address "$1")\",\"data_centre\":\"$2\",\"service\":\"maintenance\",\"state\":\"live\"}"
}

# start_daemon NUMBER DATA_CENTRE [FIRST_PEER_NUMBER]: starts a daemon and waits until it is healthy.
start_daemon() {
    local number=$1 data_centre=$2 first=${3:-1}
    cat >"$work/daemon-$number.yaml" <<EOF
daemon: daemon-$number
data-centre: $data_centre
listen:
  callers: $(callers_of "$number")
  operators: $(operators_of "$number")
  peers: $(peers_of "$number")
platform:
  key-value: $key_value
  instance-list: $instance_list
  weight-store: $weight_store
first-peers: [$(peers_of "$first"), $(peers_of 2)]
operator-token-variable: VETCHPOST_OPERATOR_TOKEN
peer-token-variable: VETCHPOST_PEER_TOKEN
timing:
  lease-ms: ${lease_ms:-9000}
  order-timeout-ms: ${order_timeout_ms:-2000}
EOF
    start "daemon-$number" "$build/Services/vetchpostd/vetchpostd" "$work/daemon-$number.yaml"
    wait_for 10 "daemon $number" curl -sf "http://$(callers_of "$number")/healthz"
}

vetchpost() {
    "$build/Utilities/vetchpost/vetchpost" "$@"
}

# serving_groups DAEMON: prints the number of groups that the daemon reports as serving.
serving_groups() {
    vetchpost groups --daemon "$(operators_of "$1")" | grep -c ' serving ' || true
}

has_serving() { [ "$(serving_groups "$1")" = "$2" ]; }
is_ready() { curl -sf "http://$(callers_of "$1")/readyz"; }

# chat DAEMON TEXT [CURL OPTIONS...]: sends one chat request without streaming.
chat() {
    local daemon=$1 text=$2
    shift 2
    curl -s -m 60 "$@" -H "Authorization: Bearer $okonjo_key" -H 'Content-Type: application/json' \
        -d "{\"model\":\"filing-assistant\",\"messages\":[{\"role\":\"user\",\"content\":\"$text\"}],\"max_tokens\":${tokens:-24}}" \
        "http://$(callers_of "$daemon")/v1/chat/completions"
}

# chat_stream DAEMON TEXT: sends one chat request and prints the answer as a stream of events.
chat_stream() {
    curl -sN -m 120 -H "Authorization: Bearer $okonjo_key" -H 'Content-Type: application/json' \
        -d "{\"model\":\"filing-assistant\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"$2\"}],\"max_tokens\":${tokens:-24}}" \
        "http://$(callers_of "$1")/v1/chat/completions" || true
}

# work_order DAEMON ORDER [CURL OPTIONS...]: sends one work order to the maintenance service.
work_order() {
    local daemon=$1 order=$2
    shift 2
    curl -s -m 60 "$@" -H "Authorization: Bearer $refractarios_key" -H 'Content-Type: application/json' \
        -d "{\"order\":\"$order\"}" "http://$(callers_of "$daemon")/services/maintenance/orders"
}
