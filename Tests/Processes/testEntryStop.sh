#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# A graceful stop of an entry daemon, with clients that keep using their open connections until the process has exited.
. "$(dirname "$0")/prepareEntry.sh"
start_three_entries
start_balancer 1 2 3
for number in 1 2 3; do wait_for 5 "daemon $number at the balancer" is_in "$number"; done

# steady_client NAME COUNT RATE: sends COUNT bookings one after another over one connection, at the given rate.
steady_client() {
    local number
    for number in $(seq 1 "$2"); do
        [ "$number" = 1 ] || echo next
        cat <<CURL
url = "http://$balancer/book/x"
header = "Host: desk.example"
header = "Attempt-Id: $1-$number"
header = "Authorization: Bearer $tenant_key"
header = "Deadline-Ms: 4000"
data = "order"
silent
max-time = 6
output = "$work/$1-$number"
CURL
    done >"$work/$1.curl"
    curl --rate "$3" -K "$work/$1.curl" &
    clients+=($!)
}

# stop_under_clients NUMBER: stops a daemon while twelve clients book steadily and eight more send a second request after a pause.
stop_under_clients() {
    local number=$1 client
    clients=()
    tokens=400 ask "$(entry_callers "$number")" /stream/long "stream-$number" >"$work/stream" &
    clients+=($!)
    for client in $(seq 1 12); do steady_client "steady-$number-$client" 40 5/s; done
    # Each of these sends its second request 2.2 to 3.6 seconds after the signal: around and after the time when idle connections are closed.
    for client in $(seq 1 8); do
        steady_client "rested-$number-$client" 2 15/m
        sleep 0.2
    done
    kill -TERM "${pids[entry-$number]}"
    local told=$SECONDS
    wait "${pids[entry-$number]}" || fail "daemon $number did not stop gracefully: $?"
    unset "pids[entry-$number]"
    expect "daemon $number stops within its grace period" "$([ $((SECONDS - told)) -le 8 ] && echo inside)" inside
    for client in "${clients[@]}"; do wait "$client" || true; done
    expect "its stream completes" "$(is_whole_stream "$work/stream" "stream-$number" 80 && echo whole)" whole
    for client in $(seq 1 12); do
        for request in $(seq 1 40); do check_truth "steady-$number-$client-$request" "$work/steady-$number-$client-$request"; done
    done
    for client in $(seq 1 8); do
        for request in 1 2; do check_truth "rested-$number-$client-$request" "$work/rested-$number-$client-$request"; done
    done
}

stop_under_clients 2
expect "the balancer has removed it" "$(is_out 2 && echo out)" out
start_entry 2
wait_for 20 "ready entry daemon 2" is_entry_ready 2
wait_for 5 "daemon 2 at the balancer" is_in 2
stop_under_clients 1
check_groups
