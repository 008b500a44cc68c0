#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Streams that break off, carry the id of another request, or end without the end marker.
. "$(dirname "$0")/prepare.sh"
start_small_cluster
whole=$(text_of "$(chat 1 "the question")")
every_engine() { local number; for number in 1 2 3 4 5 6 7 8 9; do fault "$(engine_address "$number")" "$1"; done; }
counted() { local total=0 number; for number in 1 2 3; do total=$((total + $(curl -s "http://$(operators_of "$number")/metrics" | sed -n "s/^$1 \([0-9]*\).*/\1/p" | head -n 1))); done; echo $total; }

every_engine '{"break_after":7}'
expect "a stream that breaks off is resumed" "=$(chat_stream 1 "the question" | stream_text)=" "=$whole="
expect "resumptions are counted" "$([ "$(counted 'vetchpost_retries_total{reason="resume"}')" -ge 1 ] && echo yes)" yes

every_engine '{"break_after":7,"refuse_resume":true}'
chat_stream 2 "the question" >"$work/continued"
every_engine '{}'
text=$(stream_text <"$work/continued")
expect "the delivered text is a prefix of the answer" "=$whole" "=$text"
if grep -q DONE "$work/continued"; then
    expect "a stream reported as complete is complete" "=$text=" "=$whole="
else
    expect "a stream that stays incomplete ends with an error" "$(cat "$work/continued")" '"kind":"backend_'
fi

every_engine '{"foreign_id":true}'
foreign=$(chat 3 "the question")
every_engine '{}'
expect "the answer to another request is never relayed" "$foreign" '"kind":"backend_mismatch"'

every_engine '{"omit_end":true}'
truncated=$(chat_stream 1 "the question")
every_engine '{}'
refuse "an answer without its end marker is not reported as complete" "$truncated" '[DONE]'
expect "the client gets an error" "$truncated" '"kind":"backend_'

every_engine '{"refuse_with":503}'
sleep 3
refused=$(chat 2 "the question")
every_engine '{}'
expect "requests are refused while the engines refuse" "$refused" '"error"'
expect "the refusal has a retry-after time" "$refused" '"retry_after_seconds"'
wait_for 20 "serving groups" has_serving 2 2
expect "requests are served after the faults" "$(text_of "$(chat 2 "the question")")" "$whole"

# A client disconnects: the request is cancelled at the engine.
tokens=2000
curl -sN -m 1 -H "Authorization: Bearer $okonjo_key" -d '{"model":"filing-assistant","stream":true,"messages":[{"role":"user","content":"long"}],"max_tokens":2000}' "http://$(callers_of 1)/v1/chat/completions" >/dev/null || true
sleep 2
expect "a client that disconnects is counted" "$(curl -s "http://$(operators_of 1)/metrics")" 'vetchpost_refusals_total{kind="caller_left"} 1'
idle() { local number; for number in 1 2 3 4 5 6 7 8 9; do curl -sf "http://$(engine_address "$number")/v1/state" | grep -q '"running":0' || return 1; done; }
wait_for 5 "engines without work" idle
passed=$((passed + 1))
