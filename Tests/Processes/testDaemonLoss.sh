#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Daemons stop gracefully, are killed, or are paused.
. "$(dirname "$0")/prepare.sh"
start_small_cluster

# SIGTERM during streams: the daemon reports not ready at once, and no stream is cut off.
tokens=120
whole=$(text_of "$(chat 1 "the long one")")
stopped=$(coordinator)
for stream in 1 2 3; do
    chat_stream "$stopped" "the long one" >"$work/stream-$stream" &
    streams[stream]=$!
done
sleep 0.3
kill -TERM "${pids[daemon-$stopped]}"
sleep 0.3
expect "a stopping daemon is not ready" "$(curl -s "http://$(callers_of "$stopped")/readyz")" '"kind":"stopping"'
for stream in 1 2 3; do
    wait "${streams[stream]}" || fail "stream $stream"
    expect "stream $stream was not cut off" "=$(stream_text <"$work/stream-$stream")=" "=$whole="
done
wait "${pids[daemon-$stopped]}" || fail "the stopped daemon exited with an error"
passed=$((passed + 1))
unset "pids[daemon-$stopped]"
tokens=24

# Another daemon takes over coordination, and the groups keep serving meanwhile.
other=$((stopped % 3 + 1))
third=$((other % 3 + 1))
expect "groups keep serving without a coordinator" "$(serving_groups "$other")" 2
wait_for 20 "another coordinator" has_coordinator "$other" "$stopped"
expect "requests are served after the stop" "$(chat "$other" "after the stop")" '"finish_reason":"stop"'

# The coordinator is killed: a remaining daemon serves and takes over coordination.
start_daemon "$stopped" ikeja "$other"
# The first request arrives before the restarted daemon knows any group.
until answer=$(chat "$stopped" "just after the start"); do sleep 0.02; done
expect "a daemon that has just started holds a request until it knows the groups" "$answer" '"finish_reason":"stop"'
wait_for 20 "ready daemon $stopped" is_ready "$stopped"
wait_for 20 "coordinator" has_coordinator "$stopped"
killed=$(coordinator "$stopped")
kill -9 "${pids[daemon-$killed]}"
unset "pids[daemon-$killed]"
left=$((killed % 3 + 1))
expect "requests are served after kill -9" "$(chat "$left" "after the kill")" '"finish_reason":"stop"'
wait_for 30 "coordinator after kill -9" has_coordinator "$left" "$killed"
expect "the groups still serve" "=$(serving_groups "$left")=" "=2="

# A paused coordinator whose lease has expired stops coordinating when it resumes, and does no harm.
paused=$(coordinator "$left" "$killed")
awake=$((6 - paused - killed))
kill -STOP "${pids[daemon-$paused]}"
wait_for 40 "coordinator while one is paused" is_coordinator "$awake" "$paused"
kill -CONT "${pids[daemon-$paused]}"
sleep 3
status=$(vetchpost status --daemon "$(operators_of "$awake")")
expect "one coordinator after the pause" "=$(grep -v "^daemon-$killed " <<<"$status" | grep -c coordinates)=" "=1="
expect "the resumed daemon serves" "$(chat "$paused" "after the pause")" '"finish_reason":"stop"'
