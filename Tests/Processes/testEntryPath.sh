#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Entry daemons on the stand-in of the users' platform: requests of each kind, keys, a lost member, invalid answers, and a client that
# disconnects.
. "$(dirname "$0")/prepareEntry.sh"
start_three_entries

for number in 1 2 3; do
    ask "$(entry_callers "$number")" /stream/x "path-$number" >"$work/stream"
    expect "a stream through daemon $number is complete" "$(is_whole_stream "$work/stream" "path-$number" 6 && echo whole)" whole
    expect "an idempotent request" "$(ask "$(entry_callers "$number")" /fetch/x "fetch-$number")" "{\"attempt\":\"fetch-$number\""
    expect "a request that must run at most once" "$(ask "$(entry_callers "$number")" /book/x "book-$number")" "{\"attempt\":\"book-$number\""
done
expect "the replica receives the tenant of a request" "$(events "$replica_control" | grep '"book-1"')" '"tenant":"hule930"'
expect "no route" "$(ask "$(entry_callers 1)" /elsewhere lost-1 -o /dev/null -w '%{http_code}')" 404
expect "an unknown key" "$(tenant_key=wrong ask "$(entry_callers 2)" /fetch/x lost-2 -o /dev/null -w '%{http_code}')" 401

# A member dies during a stream: another replica continues it, and the group is formed again.
tokens=300 ask "$(entry_callers 1)" /stream/long moved >"$work/moved" &
client=$!
wait_for 5 "running stream" runs moved
kill_member_of "$(head_of moved)"
wait "$client" || true
expect "a stream whose group lost a member completes" "$(is_whole_stream "$work/moved" moved 60 && echo whole)" whole
expect "a second replica continues it" "$([ "$(events "$replica_control" | grep '"moved"' | grep -c '"ran"')" -ge 2 ] && echo second)" second
fault "$replica_control" '{"revive":true}'
wait_for 20 "all groups again" has_places 5

# Invalid and lost answers of the plain service.
fault "$replica_control" '{"garble":1}'
expect "an invalid answer is reported as a failure" "$(ask "$(entry_callers 1)" /book/x garbled -o "$work/garbled" -w '%{http_code}')" 502
refuse "the failure does not claim that the request did not run" "$(cat "$work/garbled")" '"ran":"not_run"'
fault "$replica_control" '{"garble":0,"lose_answer":1}'
expect "a lost answer of a request that must run at most once is a failure" "$(ask "$(entry_callers 2)" /book/x lost-answer -o /dev/null -w '%{http_code}')" 502
expect "the request with the lost answer ran once" "$(events "$replica_control" | grep '"lost-answer"' | grep -c '"ran"')" 1
fault "$replica_control" '{"lose_answer":0,"extra_bytes":1}'
for number in 1 2 3; do
    expect "surplus bytes after an answer are not part of another one" "$(ask "$(entry_callers "$number")" /fetch/x "extra-$number")" "{\"attempt\":\"extra-$number\",\"path\":\"/fetch/x\",\"end\":true}"
done
fault "$replica_control" '{"extra_bytes":0}'

# A request whose client disconnects is cancelled at its replica.
tokens=2000 ask "$(entry_callers 3)" /stream/long left -m 1 >/dev/null || true
wait_for 2 "cancelled request" ended left cancelled
passed=$((passed + 1))

# An API key is replaced.
put_configuration 2 another-key
sleep 5
for number in 1 2 3; do
    expect "a withdrawn key is refused at daemon $number" "$(ask "$(entry_callers "$number")" /fetch/x "late-$number" -o /dev/null -w '%{http_code}')" 401
    expect "the new key is accepted" "$(tenant_key=another-key ask "$(entry_callers "$number")" /fetch/x "new-$number" -o /dev/null -w '%{http_code}')" 200
done
check_groups
