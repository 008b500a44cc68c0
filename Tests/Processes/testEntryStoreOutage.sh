#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# The platform's store stops answering, refuses calls, loses answers and discards its history while entry daemons serve.
. "$(dirname "$0")/prepareEntry.sh"
start_three_entries
is_refusing() { ! is_entry_ready "$1"; }
status_at() { ask "$(entry_callers "$1")" /fetch/x "$2" -o "$work/answer" -w '%{http_code}' || true; }

# A short outage of the store affects neither running nor new requests.
tokens=300 ask "$(entry_callers 1)" /stream/long over-silence >"$work/stream" &
client=$!
fault "$store_control" '{"silent":true}'
for number in 1 2 3; do expect "requests are served in a short outage of the store, daemon $number" "$(status_at "$number" "short-$number")" 200; done
sleep 1.5
for number in 1 2 3; do expect "requests are still served, daemon $number" "$(status_at "$number" "still-$number")" 200; done
# In a long outage keys may have been withdrawn, so all requests are refused, and the refusals state correctly that nothing ran.
for number in 1 2 3; do wait_for 10 "not-ready daemon $number" is_refusing "$number"; done
sleep 2
for number in 1 2 3; do
    expect "keys that may be out of date are refused, daemon $number" "$(status_at "$number" "long-$number")" 503
    expect "the refusal says that the request did not run" "$(cat "$work/answer")" '"ran":"not_run"'
    expect "the refused request did not run" "$(runs_of "long-$number")" 0
done
wait "$client" || true
expect "a stream that ran during the outage completes" "$(is_whole_stream "$work/stream" over-silence 60 && echo whole)" whole
fault "$store_control" '{"silent":false}'
for number in 1 2 3; do
    wait_for 5 "ready daemon $number after the silence" is_entry_ready "$number"
    expect "requests are served after the outage" "$(status_at "$number" "after-$number")" 200
done

# The first listing of a new coordinator gets no answer: it lists again, and continues to form groups.
fault "$store_control" '{"lose_listings":1}'
first=$(coordinating)
kill -KILL "${pids[entry-$first]}"
has_successor() { [ "$(coordinating)" != "$first" ]; }
wait_for 10 "successor" has_successor
fault "$replica_control" '{"kill":["i-4-1"]}'
sleep 1
fault "$replica_control" '{"revive":true}'
first_start=false start_entry "$first"
wait_for 20 "all groups again under the successor" has_places 5
wait_for 10 "ready entry daemon $first" is_entry_ready "$first"
passed=$((passed + 1))

# Writes and reads lose their answers while a member dies and its group has to be formed again.
fault "$store_control" '{"lose_answers":0.3}'
fault "$replica_control" '{"kill":["i-1-1"]}'
sleep 3
fault "$replica_control" '{"revive":true}'
fault "$store_control" '{"lose_answers":0}'
wait_for 20 "all groups again" has_places 5
for number in 1 2 3; do wait_for 10 "streams at daemon $number" serves "$number" m0; done
passed=$((passed + 1))

# The store discards its history right after a change that no daemon has read.
fault "$store_control" '{"hold_watches_ms":1000}'
put_configuration 2 another-key
fault "$store_control" '{"forget_history":true,"hold_watches_ms":0}'
sleep 5
for number in 1 2 3; do
    expect "the change is in force, daemon $number" "$(tenant_key=another-key status_at "$number" "new-$number")" 200
    expect "the old key is refused" "$(status_at "$number" "old-$number")" 401
done

# The store refuses a third of all calls.
tenant_key=another-key
fault "$store_control" '{"deny":0.3}'
sleep 4
for number in 1 2 3; do expect "requests are served while the store refuses calls, daemon $number" "$(status_at "$number" "denied-$number")" 200; done
fault "$store_control" '{"deny":0}'
check_groups
