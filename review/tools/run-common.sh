# Functions for the run.sh of the cases. Sourced, not run. The caller has set here to the folder of its case.
root=${REVIEW_ROOT:-$(cd "$here/../.." && pwd)}
built=$root/target/review
daemon=$root/target/Services/vetchpostd/vetchpostd
store_program=$built/stand-ins/Tests/StandIns/standInStore
work=$(mktemp -d)
pids=()

cannot_run() {
    echo "cannot run: $*" >&2
    exit 2
}

# Ends the processes that this script has started, by their ids.
end_all() {
    local pid
    for pid in "${pids[@]}"; do
        kill -CONT "$pid" 2>/dev/null
        kill -KILL "$pid" 2>/dev/null
    done
    { wait; } 2>/dev/null
    rm -rf "$work"
}
trap end_all EXIT
trap 'exit 2' HUP INT TERM

[ -x "$daemon" ] || cannot_run "the build of the deploy file is missing"
[ -x "$store_program" ] || cannot_run "review/build.sh has not run"

# is_free PORT: whether nothing listens there.
is_free() { ! (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }

# run_case PROGRAM ARGUMENTS...: runs the program of a case, in the background, so that a signal to this script is handled at once. Sets result
# to 0 or 1 as the program ends, and to 2 if it could not run.
run_case() {
    "$@" &
    pids+=($!)
    wait $!
    result=$?
    [ "$result" -le 1 ] || result=2
}

# find_ports COUNT: sets base to the first of COUNT free ports below 32768.
find_ports() {
    local try port
    for try in $(seq 1 50); do
        base=$((10000 + (RANDOM * 32768 + RANDOM) % 22000))
        for port in $(seq "$base" $((base + $1 - 1))); do is_free "$port" || continue 2; done
        return
    done
    cannot_run "no free ports"
}

# wait_for_port PORT: waits until something listens there.
wait_for_port() {
    local try
    for try in $(seq 1 100); do
        is_free "$1" || return 0
        sleep 0.1
    done
    cannot_run "nothing listens at port $1"
}

# start_store PORT CONTROL_PORT
start_store() {
    "$store_program" --listen="127.0.0.1:$1" --control="127.0.0.1:$2" >"$work/store.log" 2>&1 &
    pids+=($!)
    wait_for_port "$1"
}

# start_daemon NAME STORE_PORT FIRST_PORT FIRST_START: the command of the deploy file, with the settings that the template gives on a small
# deployment. Uses five ports from FIRST_PORT: callers, readiness, peers, dispatch. Sets daemon_pid.
start_daemon() {
    cat >"$work/$1.yaml" <<YAML
daemon: "$1"
data-centre: "ikeja"
key-value: "127.0.0.1:$2"
first-start: $4
connections: 400
listen:
  callers: "127.0.0.1:$3"
  readiness: "127.0.0.1:$(($3 + 1))"
  peers: "127.0.0.1:$(($3 + 2))"
  dispatch: "127.0.0.1:$(($3 + 3))"
timing:
  configuration-apply-ms: 2000
  key-revocation-ms: 5000
  key-revocation-is-strict: true
  replica-heartbeat-ms: 1200
  group-stall-ms: 5000
  lease-ms: 2000
retries:
  share: 0.2
  slack: 136
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "gangs"]
dispatch: off
processor-share: 0.25
YAML
    (cd "$root" && VETCHPOST_SETTINGS="$work/$1.yaml" exec target/Services/vetchpostd/vetchpostd entry) >>"$work/$1.log" 2>&1 &
    daemon_pid=$!
    pids+=("$daemon_pid")
    wait_for_port "$3"
}
