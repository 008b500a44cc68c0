#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# The command for developers and first-time users: run, test, lint, bench, sanitize, fuzz, soak.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
build=${VETCHPOST_BUILD:-$root/build}
cd "$root"

usage() {
    cat <<'EOF'
Usage: Meta/vetchpost.sh VERB

  run [--stay]     Install missing packages, build, start a small cluster on loopback, send it a request and a work order.
                   With --stay the cluster runs until Ctrl-C.
  run --platform [--stay]
                   The same for entry daemons on a stand-in of the users' platform; one daemon is stopped during a stream.
  test             Install missing packages, build, run all tests, including the process tests.
  lint             Check the formatting and run the linter.
  bench NAME       Run a benchmark: groups, requests, control, relay, assembly, repair, crashes, limits, dispatch, slots. The last lines are the results.
  fuzz [--seed N] [--steps N]
                   Run the fuzzers for longer, by default for 100000 steps.
  soak [--seed N] [--seconds S] [--daemons N] [--replicas N] [--clients N] [--deadly N] [--deadly-parts N] [--exit-ms N] [--notices N] [--evacuations N] [--outages N] [--isolations N] [--restores N] [--lost-withdrawals N] [--cold N] [--losses N] [--pauses N] [--pause-ms N] [--slots N] [--rejections N] [--waves] [--herd-kills N] [--rolls N] [--standstills N] [--cuts N] [--stale-settings] [--retry-slack N] [--heartbeat-ms N] [--calm] [--base-port N] [--keep DIR]
                   Run entry daemons under faults generated from the seed and check the promises; logs are kept in DIR.
  sanitize         Build and run the unit tests with the address, undefined-behaviour and thread sanitizers.
EOF
}

install_packages() {
    local missing=()
    local package
    while read -r package; do
        dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
    done <Meta/packages.txt
    [ ${#missing[@]} -gt 0 ] || return 0
    echo "Installing: ${missing[*]}"
    local sudo=
    [ "$(id -u)" = 0 ] || sudo=sudo
    $sudo apt-get update -qq
    DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq "${missing[@]}" >/dev/null
}

build_all() {
    install_packages
    cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo "$@" >/dev/null
    cmake --build "$build" -- --quiet
}

run_cluster() {
    build_all
    work=$(mktemp -d)
    # shellcheck source=Meta/cluster.sh
    . Meta/cluster.sh
    trap stop_all EXIT
    echo "== Starting the stand-ins for the platform, 9 engines in two fabric domains and one plain service"
    start_platform
    local number
    for number in 1 2 3 4 9; do start_engine "$number" ikeja rack-a; done
    for number in 5 6 7 8; do start_engine "$number" ikeja rack-b; done
    start_service 1 ikeja
    echo "== Starting three daemons"
    for number in 1 2 3; do start_daemon "$number" ikeja; done
    echo "== Applying examples/configuration.yaml"
    wait_for 20 "daemon that accepts edits" vetchpost apply examples/configuration.yaml --base 0 --edit-id first-run --daemon "$(operators_of 1)"
    vetchpost history --daemon "$(operators_of 1)"
    for number in 1 2 3; do
        wait_for 30 "ready daemon $number" is_ready "$number"
        wait_for 60 "serving groups at daemon $number" has_serving "$number" 2
    done
    vetchpost status --daemon "$(operators_of 2)"
    vetchpost groups --daemon "$(operators_of 2)"
    echo "== A streamed request through daemon 1"
    VETCHPOST_KEY=$okonjo_key vetchpost ask filing-assistant "Explain the assessment notice." --stream --callers "$(callers_of 1)"
    echo "== A work order through daemon 3, and a repeat with the same idempotency key through daemon 2"
    work_order 3 lining-4711 -i -H 'Idempotency-Key: order-4711' | grep -Ei '^(HTTP|X-Request-Id|\{)'
    work_order 2 lining-4711 -i -H 'Idempotency-Key: order-4711' | grep -Ei '^(HTTP|Idempotent|\{)'
    echo "booked: $(curl -s "http://$(service_address 1)/booked")"
    echo "== Metrics that are not zero"
    curl -s "http://$(operators_of 1)/metrics" | grep -E '^vetchpost_(requests|tokens|claims|orders|takeovers|key_value_calls)[a-z_]*(\{[^}]*\})? [1-9]' || true
    if [ "${1:-}" = --stay ]; then
        cat <<EOF
== Running until Ctrl-C. Logs: $work
  curl -H 'Authorization: Bearer $okonjo_key' http://$(callers_of 1)/v1/models
  curl -N -H 'Authorization: Bearer $okonjo_key' -d '{"model":"filing-assistant","stream":true,"messages":[{"role":"user","content":"Hello"}]}' http://$(callers_of 2)/v1/chat/completions
  VETCHPOST_OPERATOR_TOKEN=$VETCHPOST_OPERATOR_TOKEN $build/Utilities/vetchpost/vetchpost groups --daemon $(operators_of 1)
  curl http://$(operators_of 1)/metrics
  kill -9 ${pids[daemon-1]}   # a daemon
  kill -9 ${pids[engine-2]}   # an engine
EOF
        trap 'exit 0' INT TERM
        while :; do sleep 1; done
    fi
    echo "== Done"
}

run_platform() {
    build_all
    work=$(mktemp -d)
    # shellcheck source=Meta/cluster.sh
    . Meta/cluster.sh
    # shellcheck source=Meta/platform.sh
    . Meta/platform.sh
    trap stop_all EXIT
    echo "== Starting the platform's store, 16 replicas with engines in two fabric domains, three of a plain service, and three entry daemons"
    start_three_entries
    start_balancer 1 2 3
    echo "== Groups that have opened"
    events "$replica_control" | grep '"opened"'
    echo "== A streamed request through the balancer"
    ask "$balancer" /stream/notice 09ba869c4ef70cfa
    echo "== A work order"
    ask "$balancer" /book/order 4711
    echo
    echo "== A stream of 40 events through daemon 2, which is stopped during the stream"
    tokens=200 ask "$(entry_callers 2)" /stream/report 6bd2c1 >"$work/stream" &
    local client=$!
    sleep 0.7
    kill -TERM "${pids[entry-2]}"
    echo "when the daemon was signalled to stop: $(grep -c '^id: ' "$work/stream") events"
    wait "$client" || true
    is_whole_stream "$work/stream" 6bd2c1 40 || fail "the stream is incomplete or out of order"
    echo "at the end: 40 events, each once and in order"
    wait "${pids[entry-2]}" && echo "daemon 2 has exited cleanly"
    unset 'pids[entry-2]'
    echo "== The timeline of that request"
    vetchpost explain 6bd2c1 "$work"/entry-*.log
    echo "== New connections go to the other daemons"
    ask "$balancer" /fetch/record 6bd2c2
    echo
    if [ "${1:-}" = --stay ]; then
        cat <<EOF
== Running until Ctrl-C. Decisions: $work/entry-*.log
  curl -N -H 'Host: desk.example' -H 'Authorization: Bearer $tenant_key' -H 'Attempt-Id: mine' -H 'Model: m0' -d prompt http://$balancer/stream/hello
  $build/Utilities/vetchpost/vetchpost explain mine $work/entry-*.log
  curl http://$replica_control/facts
  curl -d '{"kill":["i-1-1"]}' http://$replica_control/faults   # a replica
  curl -d '{"refuse_503":true}' http://$store_control/faults    # the store
  kill -9 ${pids[entry-1]}   # a daemon
EOF
        trap 'exit 0' INT TERM
        while :; do sleep 1; done
    fi
    echo "== Done"
}

run_tests() {
    build_all
    ctest --test-dir "$build" --output-on-failure -j 4
}

source_files() {
    git ls-files --cached --others --exclude-standard 'Libraries/*.h' 'Libraries/*.cpp' 'platform/*.h' 'platform/*.cpp' 'Services/*.cpp' 'Utilities/*.h' 'Utilities/*.cpp' 'Tests/*.h' 'Tests/*.cpp' 'Benchmarks/*.h' 'Benchmarks/*.cpp'
}

lint() {
    install_packages
    source_files | xargs clang-format --dry-run --Werror
    cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
    # One translation unit is C++14 (the JSON-RPC library); the linter takes its flags from the build like all others.
    source_files | grep '\.cpp$' | xargs -P "$(nproc)" -n 4 clang-tidy -p "$build" --quiet 2>/dev/null
    echo "lint: clean"
}

sanitize() {
    install_packages
    local kind
    for kind in address,undefined thread; do
        local folder=$root/build-${kind%%,*}
        cmake -S . -B "$folder" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo -DVETCHPOST_SANITIZE="$kind" >/dev/null
        cmake --build "$folder" -- --quiet
        ctest --test-dir "$folder" --output-on-failure -j 4 -LE processes
    done
}

bench() {
    build_all
    # shellcheck source=Meta/bench.sh
    . Meta/bench.sh
    local name=$1
    shift
    case $name in
    groups) "$build/Benchmarks/benchGroups" "$@" ;;
    requests) "$build/Benchmarks/benchRequests" ;;
    control) "$build/Benchmarks/benchControl" && bench_control_processes ;;
    relay) bench_relay ;;
    assembly) "$build/Benchmarks/benchAssembly" ;;
    repair) "$build/Benchmarks/benchRepair" ;;
    crashes) "$build/Benchmarks/benchCrashes" ;;
    limits) "$build/Benchmarks/benchLimits" ;;
    dispatch) "$build/Benchmarks/benchDispatch" ;;
    slots) "$build/Benchmarks/benchSlotCosts" ;;
    *) echo "no benchmark $name" >&2; exit 2 ;;
    esac
}

fuzz() {
    build_all
    local seed=1 steps=100000
    while [ $# -gt 0 ]; do
        case $1 in
        --seed) seed=$2 ;;
        --steps) steps=$2 ;;
        *) usage; exit 2 ;;
        esac
        shift 2
    done
    local name
    for name in Groups Requests Peers; do
        echo "== test$name: seed $seed, $steps steps"
        VETCHPOST_FUZZ_STEPS=$steps RC_PARAMS="seed=$seed verbose_progress=0" "$build/Tests/test$name" '[fuzz]'
    done
}

soak() {
    build_all
    local keep=()
    [[ " $* " == *" --keep"* ]] || keep=(--keep "$(mktemp -d)")
    "$build/Tests/Soak/soak" "$@" "${keep[@]}" --daemon-binary "$build/Services/vetchpostd/vetchpostd" \
        --stand-ins "$build/Tests/StandIns" --explain "$build/Utilities/vetchpost/vetchpost"
}

verb=${1:-}
shift || true
case $verb in
run)
    if [ "${1:-}" = --platform ]; then
        shift
        run_platform "$@"
    else
        run_cluster "$@"
    fi
    ;;
test) run_tests ;;
lint) lint ;;
bench) bench "$@" ;;
fuzz) fuzz "$@" ;;
sanitize) sanitize ;;
soak) soak "$@" ;;
*) usage; exit 2 ;;
esac
