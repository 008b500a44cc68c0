# SPDX-License-Identifier: Apache-2.0
# The benchmarks that need real processes. Sourced by Meta/vetchpost.sh, which sets root and build.

prepare_bench() {
    work=$(mktemp -d)
    port_base=${1:-30000}
    # shellcheck source=Meta/cluster.sh
    . "$root/Meta/cluster.sh"
    trap 'stop_all; rm -rf "$work"' EXIT
    start_platform
}

apply_example() {
    wait_for 20 "daemon that accepts edits" vetchpost apply "$root/examples/configuration.yaml" --base 0 --edit-id bench --daemon "$(operators_of 1)"
}

# ticks PID: prints the processor time of a process in clock ticks. resident PID: prints its resident memory in KB.
# metric DAEMON PREFIX: prints the sum of a daemon's metrics whose lines begin with PREFIX.
ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
resident() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }
metric() { curl -s "http://$(operators_of "$1")/metrics" | awk -v name="$2" 'index($0, name) == 1 {sum += $2} END {printf "%.0f", sum}'; }

# Measures one daemon that relays 300, 700 and 1100 concurrent streams from two groups of four engines, with a token every 70 ms.
bench_relay() {
    prepare_bench
    local number
    for number in 1 2 3 4; do start_engine "$number" ikeja rack-a --token-gap-ms 70 --load-ms 100; done
    for number in 5 6 7 8; do start_engine "$number" ikeja rack-b --token-gap-ms 70 --load-ms 100; done
    local streams
    # Start a new daemon for each number of streams: otherwise memory left by an earlier run would distort the next result.
    for streams in 300 700 1100; do
        start_daemon 1 ikeja
        [ $streams != 300 ] || apply_example
        wait_for 60 "ready daemon" is_ready 1
        wait_for 60 "serving groups" has_serving 1 2
        local suffix=(--name "_$streams")
        [ $streams != 1100 ] || suffix=()
        "$build/Benchmarks/benchRelay" "$(callers_of 1)" "${pids[daemon-1]}" "$okonjo_key" --streams $streams "${suffix[@]}"
        kill -9 "${pids[daemon-1]}"
        wait "${pids[daemon-1]}" 2>/dev/null || true
    done
}

# Measures, from outside the processes, what the control plane costs each of nine idle daemons in three data centres with two groups.
bench_control_processes() {
    prepare_bench
    local number data_centres=(ikeja lekki yaba)
    for number in 1 2 3 4 9; do start_engine "$number" ikeja rack-a --load-ms 100; done
    for number in 5 6 7 8; do start_engine "$number" lekki rack-b --load-ms 100; done
    for number in 1 2 3 4 5 6 7 8 9; do start_daemon "$number" "${data_centres[$((number % 3))]}" 1; done
    apply_example
    for number in 1 2 3 4 5 6 7 8 9; do wait_for 60 "revision 1 at daemon $number" is_in_force_at "$number" 1; done
    sleep 10
    local seconds=20 clock
    clock=$(getconf CLK_TCK)
    declare -A before bytes calls
    local kv_before kv_after
    kv_before=$(curl -s "http://$key_value/calls" | tr -dc 0-9)
    for number in 1 2 3 4 5 6 7 8 9; do
        before[$number]=$(ticks "${pids[daemon-$number]}")
        bytes[$number]=$(metric "$number" vetchpost_peer_bytes_total)
        calls[$number]=$(metric "$number" vetchpost_peer_calls_total)
    done
    sleep $seconds
    kv_after=$(curl -s "http://$key_value/calls" | tr -dc 0-9)
    local worst_cpu=0 worst_bytes=0 worst_memory=0 worst_calls=0 value
    for number in 1 2 3 4 5 6 7 8 9; do
        value=$(($(ticks "${pids[daemon-$number]}") - before[$number]))
        [ $value -le $worst_cpu ] || worst_cpu=$value
        value=$(($(metric "$number" vetchpost_peer_bytes_total) - bytes[$number]))
        [ $value -le $worst_bytes ] || worst_bytes=$value
        value=$(($(metric "$number" vetchpost_peer_calls_total) - calls[$number]))
        [ $value -le $worst_calls ] || worst_calls=$value
        value=$(resident "${pids[daemon-$number]}")
        [ "$value" -le $worst_memory ] || worst_memory=$value
    done
    awk -v cpu=$worst_cpu -v clock="$clock" -v s=$seconds -v bytes=$worst_bytes -v memory=$worst_memory -v kv=$((kv_after - kv_before)) -v calls=$worst_calls 'BEGIN {
        printf "figure=control_cpu_percent_9_processes value=%.3g unit=percent_of_a_core bound=4.1\n", 100 * cpu / clock / s
        printf "figure=control_message_kb_per_s_9_processes value=%.3g unit=KB/s bound=25\n", bytes / s / 1024
        printf "figure=control_calls_per_s_9_processes value=%.3g unit=calls/s\n", calls / s
        printf "figure=control_memory_mb_9_processes value=%.3g unit=MB bound=64\n", memory / 1024
        printf "figure=kv_calls_per_s_9_processes value=%.3g unit=calls/s\n", kv / s
    }'
    # Measure ten times how long an accepted edit takes until it is in force on all nine daemons.
    local edit started now worst=0 times=()
    for edit in 1 2 3 4 5 6 7 8 9 10; do
        sed "s/weight: 4/weight: $((4 + edit))/" "$root/examples/configuration.yaml" >"$work/edit.yaml"
        vetchpost apply "$work/edit.yaml" --base "$edit" --daemon "$(operators_of $((edit % 9 + 1)))" >/dev/null
        started=$(date +%s%N)
        for number in 1 2 3 4 5 6 7 8 9; do wait_for 14 "revision $((edit + 1)) at daemon $number" is_in_force_at "$number" $((edit + 1)); done
        now=$((($(date +%s%N) - started) / 1000000))
        times+=("$now")
        [ $now -le $worst ] || worst=$now
        sleep 1
    done
    printf 'figure=in_force_s_9_processes value=%s unit=s bound=14\n' "$(awk -v ms=$worst 'BEGIN {print ms / 1000}')"
    printf 'figure=in_force_median_s_9_processes value=%s unit=s bound=1\n' "$(printf '%s\n' "${times[@]}" | sort -n | sed -n 5p | awk '{print $1 / 1000}')"
}

is_in_force_at() {
    curl -sf -H "Authorization: Bearer $VETCHPOST_OPERATOR_TOKEN" -D - -o /dev/null "http://$(operators_of "$1")/v1/configuration" | grep -q "^ETag: \"$2\""
}
