#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# A crowd of clients that do not behave, at one daemon: it lives, its memory and descriptors stay bounded, and an ordinary request is
# answered. Called with: build folder, port base, case.
case_name=$3
. "$(dirname "$0")/prepareEntry.sh"

# The memory of the smallest instance that runs a daemon, in KiB.
memory_bound=163840
# Descriptors in addition to those before the crowd and to those of its connections.
other_descriptors=16
# A request that is whole has a connection to a replica as well.
descriptors_each=1
crowd_size=60
largest_body=4194304
unfinished_body=$((largest_body - 1024))

memory_peak() { sed -n 's/^VmHWM:[[:space:]]*\([0-9]*\) kB/\1/p' "/proc/$daemon/status"; }
descriptors() { find "/proc/$daemon/fd" -mindepth 1 | wc -l; }
lives() { kill -0 "$daemon"; }

# start_crowd ARGUMENTS...: starts the crowd and waits until it has sent what it sends.
start_crowd() {
    start crowd "$build/Tests/StandIns/clientCrowd" "$@"
    wait_for 90 "settled crowd" grep -q settled "$work/crowd.log"
}

stop_crowd() {
    kill -TERM "${pids[crowd]}" 2>/dev/null || true
    wait "${pids[crowd]}" || true
    unset 'pids[crowd]'
    echo "crowd: $(tail -n 1 "$work/crowd.log")"
}

# ordinary NAME: prints the answer to one ordinary request.
ordinary() { ask "$address" /fetch/record "$1"; }

is_answered() { ordinary before | grep -q '"end":true'; }

check_bounds() {
    lives || fail "the daemon ended $1"
    local memory count
    memory=$(memory_peak)
    count=$(descriptors)
    echo "$1: $memory KiB at the peak, $count descriptors ($descriptors_before before)"
    expect "memory $1" "$([ "$memory" -le "$memory_bound" ] && echo bounded || echo "$memory KiB")" bounded
    expect "descriptors $1" "$([ "$count" -le $((descriptors_before + descriptors_each * crowd_size + other_descriptors)) ] && echo bounded || echo "$count")" bounded
}

# run_crowd ARGUMENTS...: checks that the daemon bears a crowd, and that an ordinary request is answered beside it and after it.
run_crowd() {
    start_crowd --connections="$crowd_size" "$@"
    check_bounds "beside the crowd"
    expect "an ordinary request beside the crowd" "$(ordinary beside)" '"end":true'
    stop_crowd
    expect "an ordinary request after the crowd" "$(ordinary after)" '"end":true'
    check_bounds "after the crowd"
}

# run_slow_heads_at ADDRESS PATH: checks that the path is answered at one of the daemon's other addresses beside a crowd of slow heads there.
run_slow_heads_at() {
    start_crowd --connections="$crowd_size" --head=100 --trickle-ms=1000 --returns=100000 "$1"
    check_bounds "beside the crowd"
    expect "$2 beside the crowd" "$(curl -s -m 30 -o /dev/null -w '%{http_code}' "http://$1$2")" 200
    expect "an ordinary request beside the crowd" "$(ordinary beside)" '"end":true'
    stop_crowd
    check_bounds "after the crowd"
}

# start_one_entry: starts the stand-ins and one entry daemon.
start_one_entry() {
    start_stand_ins
    put_configuration 1
    start_entry 1
    wait_for 20 "ready entry daemon" is_entry_ready 1
    daemon=${pids[entry-1]}
    address=$(entry_callers 1)
    wait_for 20 "answer before the crowd" is_answered
    descriptors_before=$(descriptors)
}

case $case_name in
LargeChunks)
    start_one_entry
    run_crowd --key="$tenant_key" --body="$unfinished_body" "$address"
    ;;
TinyChunks)
    start_one_entry
    run_crowd --key="$tenant_key" --body="$unfinished_body" --chunk=1 "$address"
    ;;
Sized)
    start_one_entry
    run_crowd --key="$tenant_key" --body="$((largest_body - 1))" --sized "$address"
    ;;
NoKey)
    start_one_entry
    run_crowd --body="$unfinished_body" "$address"
    ;;
WholeBodies)
    descriptors_each=2
    start_one_entry
    run_crowd --key="$tenant_key" --body="$largest_body" --whole "$address"
    # One request at the limits is served; curl joins the parts of its body with a character.
    prompt_bytes=11
    head -c "$((largest_body - prompt_bytes))" /dev/zero | tr '\0' x >"$work/body"
    expect "a request at the limits" "$(ask "$address" /fetch/record largest --data-binary "@$work/body")" '"end":true'
    ;;
Returning)
    start_one_entry
    run_crowd --key="$tenant_key" --body="$unfinished_body" --returns=240 "$address"
    ;;
SlowHeads)
    connections=40
    start_one_entry
    run_crowd --head=100 --trickle-ms=1000 --returns=100000 "$address"
    ;;
UnfinishedHeads)
    connections=40
    start_one_entry
    run_crowd --head=12000 --returns=100000 "$address"
    ;;
SilentConnections)
    connections=40
    start_one_entry
    # The first byte of a request, and nothing else.
    run_crowd --head=1 --returns=100000 "$address"
    ;;
UnfinishedBodies)
    connections=40
    start_one_entry
    run_crowd --key="$tenant_key" --body=1000 --returns=100000 "$address"
    ;;
UnreadAnswers)
    descriptors_each=2
    start_one_entry
    run_crowd --key="$tenant_key" --body=1000 --whole --unread "$address"
    ;;
Readiness)
    start_one_entry
    run_slow_heads_at "$(entry_readiness 1)" /readyz
    ;;
Peers)
    start_one_entry
    run_slow_heads_at "$(entry_peers 1)" /metrics
    ;;
Stop)
    start_one_entry
    start_crowd --connections="$crowd_size" --key="$tenant_key" --body="$unfinished_body" --returns=100000 "$address"
    kill -TERM "$daemon"
    wait "$daemon" || fail "the daemon did not stop gracefully: $?"
    unset 'pids[entry-1]'
    passed=$((passed + 1))
    stop_crowd
    ;;
OwnInterface)
    # The other kind of daemon, whose bodies have at most a MiB.
    crowd_size=200
    start_small_cluster
    daemon=${pids[daemon-1]}
    descriptors_before=$(descriptors)
    start_crowd --connections="$crowd_size" --path=/v1/chat/completions --key="$okonjo_key" --body=983040 "$(callers_of 1)"
    check_bounds "beside the crowd"
    expect "an answer beside the crowd" "$(chat 1 beside)" '"finish_reason":"stop"'
    stop_crowd
    expect "an answer after the crowd" "$(chat 1 after)" '"finish_reason":"stop"'
    check_bounds "after the crowd"
    ;;
*) fail "no case $case_name" ;;
esac
