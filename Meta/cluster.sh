# SPDX-License-Identifier: Apache-2.0
# A small cluster of real processes on loopback, for the run command and for the tests with processes. Sourced, not run.
# The caller sets: build (the build folder), work (a folder of its own for settings and logs).

export VETCHPOST_OPERATOR_TOKEN=operators-example-token
export VETCHPOST_PEER_TOKEN=peers-example-token
okonjo_key=example-key-okonjo
refractarios_key=example-key-refractarios

port_base=${port_base:-18000}
key_value=127.0.0.1:$((port_base))
instance_list=127.0.0.1:$((port_base + 1))
weight_store=127.0.0.1:$((port_base + 2))
declare -gA pids=()

# start NAME PROGRAM ARGUMENTS...: runs a process with its log in the work folder, and remembers its id by the name.
start() {
    local name=$1
    shift
    "$@" >"$work/$name.log" 2>&1 &
    pids[$name]=$!
}

# stop_all: ends every process that was started here, by its id.
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

# wait_for SECONDS WHAT COMMAND...: until the command succeeds.
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

# list_instance JSON: tells the instance list of an instance.
list_instance() {
    curl -sf -X POST -d "$1" "http://$instance_list/v1/instances" >/dev/null
}

# start_engine NUMBER DATA_CENTRE DOMAIN [OPTIONS...]
start_engine() {
    local number=$1 data_centre=$2 domain=$3
    shift 3
    start "engine-$number" "$build/Tests/StandIns/standInEngine" "$@" "engine-$number" "$(engine_address "$number")"
    list_instance "{\"id\":\"engine-$number\",\"address\":\"$(engine_address "$number")\",\"data_centre\":\"$data_centre\",\"fabric_domain\":\"$domain\",\"accelerators\":8,\"state\":\"live\"}"
}

# start_service NUMBER DATA_CENTRE
start_service() {
    start "service-$1" "$build/Tests/StandIns/standInService" "service-$1" "$(service_address "$1")"
    list_instance "{\"id\":\"service-$1\",\"address\":\"$(service_address "$1")\",\"data_centre\":\"$2\",\"service\":\"maintenance\",\"state\":\"live\"}"
}

# start_daemon NUMBER DATA_CENTRE [FIRST_PEER_NUMBER]
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

# serving_groups DAEMON: how many groups this daemon sees serving.
serving_groups() {
    vetchpost groups --daemon "$(operators_of "$1")" | grep -c ' serving ' || true
}

has_serving() { [ "$(serving_groups "$1")" = "$2" ]; }
is_ready() { curl -sf "http://$(callers_of "$1")/readyz"; }

# chat DAEMON TEXT [CURL OPTIONS...]: one request for the model, not streamed.
chat() {
    local daemon=$1 text=$2
    shift 2
    curl -s -m 60 "$@" -H "Authorization: Bearer $okonjo_key" -H 'Content-Type: application/json' \
        -d "{\"model\":\"filing-assistant\",\"messages\":[{\"role\":\"user\",\"content\":\"$text\"}],\"max_tokens\":${tokens:-24}}" \
        "http://$(callers_of "$daemon")/v1/chat/completions"
}

# chat_stream DAEMON TEXT: the same as a stream of events.
chat_stream() {
    curl -sN -m 120 -H "Authorization: Bearer $okonjo_key" -H 'Content-Type: application/json' \
        -d "{\"model\":\"filing-assistant\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"$2\"}],\"max_tokens\":${tokens:-24}}" \
        "http://$(callers_of "$1")/v1/chat/completions" || true
}

# work_order DAEMON ORDER [CURL OPTIONS...]: books one work order.
work_order() {
    local daemon=$1 order=$2
    shift 2
    curl -s -m 60 "$@" -H "Authorization: Bearer $refractarios_key" -H 'Content-Type: application/json' \
        -d "{\"order\":\"$order\"}" "http://$(callers_of "$daemon")/services/maintenance/orders"
}
