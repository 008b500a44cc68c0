#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Engines die, freeze, resume and leave; answers stay complete.
. "$(dirname "$0")/prepare.sh"
start_small_cluster

# The head of a group dies during streams: every stream completes, with the text of an undisturbed one.
tokens=60
whole=$(text_of "$(chat 1 "the long one")")
for stream in 1 2 3 4 5 6; do
    chat_stream $((stream % 3 + 1)) "the long one" >"$work/stream-$stream" &
    streams[stream]=$!
done
sleep 0.5
leader=$(vetchpost groups --json --daemon "$(operators_of 1)" | grep -o '"members":\["engine-[0-9]*' | head -n 1 | grep -o 'engine-[0-9]*$')
kill -9 "${pids[$leader]}"
for stream in 1 2 3 4 5 6; do
    wait "${streams[stream]}" || fail "stream $stream"
    expect "stream $stream is complete" "$(tail -n 3 "$work/stream-$stream")" '[DONE]'
    expect "stream $stream has the right text" "=$(stream_text <"$work/stream-$stream")=" "=$whole="
done
tokens=24
# If the fabric domain of the broken group has the standby, the group takes it and serves again.
case $leader in
engine-[1-4] | engine-9)
    standby_taken() { vetchpost why '' --daemon "$(operators_of 1)" | grep -q use_standby; }
    wait_for 20 "decision to take the standby" standby_taken
    wait_for 20 "repaired group" has_serving 1 2
    passed=$((passed + 1))
    ;;
*)
    wait_for 20 "group out of service" has_serving 1 1
    ;;
esac
expect "requests are served after the loss" "$(chat 2 "after the loss")" '"finish_reason":"stop"'

# A frozen engine is taken out of routing within a few seconds, and requests sent to it continue elsewhere.
frozen=$(vetchpost groups --json --daemon "$(operators_of 1)" | grep -o '"members":\["engine-[0-9]*","engine-[0-9]*' | tail -n 1 | grep -o 'engine-[0-9]*$')
kill -STOP "${pids[$frozen]}"
sleep 4
expect "answers while an engine is frozen" "$(chat 3 "while frozen")$(chat 1 "while frozen")" '"finish_reason":"stop"'
groups=$(vetchpost groups --daemon "$(operators_of 2)")
expect "the group with the frozen engine does not serve" "$groups" "$frozen: to answer"
kill -CONT "${pids[$frozen]}"
wait_for 30 "group back in service" bash -c "! $build/Utilities/vetchpost/vetchpost groups --daemon $(operators_of 2) | grep -q '$frozen: to answer'"
passed=$((passed + 1))

# An engine that reports leaving gets no new work after a few seconds, although the instance list lags.
serving=$(vetchpost groups --json --daemon "$(operators_of 1)" | tr '{' '\n' | grep '"standing":"serving"' | head -n 1)
leaving=$(grep -o '"members":\["engine-[0-9]*' <<<"$serving" | grep -o 'engine-[0-9]*$')
fault "$(engine_address "${leaving#engine-}")" '{"leaving":true}'
sleep 3
before=$(curl -s "http://$(engine_address "${leaving#engine-}")/runs" | tr ',' '\n' | grep -c daemon- || true)
for i in 1 2 3 4 5 6; do chat $((i % 3 + 1)) "question $i" >"$work/leaving-$i" || true; done
after=$(curl -s "http://$(engine_address "${leaving#engine-}")/runs" | tr ',' '\n' | grep -c daemon- || true)
expect "no new work at a leaving engine" "=$after=" "=$before="
