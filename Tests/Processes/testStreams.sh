#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Streams that break off, carry another's id, or end without their marker.
. "$(dirname "$0")/prepare.sh"
start_small_cluster
whole=$(text_of "$(chat 1 "the question")")
every_engine() { local number; for number in 1 2 3 4 5 6 7 8 9; do fault "$(engine_address "$number")" "$1"; done; }
counted() { local total=0 number; for number in 1 2 3; do total=$((total + $(curl -s "http://$(operators_of "$number")/metrics" | sed -n "s/^$1 \([0-9]*\).*/\1/p" | head -n 1))); done; echo $total; }

every_engine '{"break_after":7}'
expect "a stream that breaks off is taken up" "=$(chat_stream 1 "the question" | stream_text)=" "=$whole="
expect "and the resumptions are counted" "$([ "$(counted 'vetchpost_retries_total{reason="resume"}')" -ge 1 ] && echo yes)" yes

every_engine '{"break_after":7,"refuse_resume":true}'
chat_stream 2 "the question" >"$work/continued"
every_engine '{}'
text=$(stream_text <"$work/continued")
expect "what was delivered is a prefix of the answer" "=$whole" "=$text"
if grep -q DONE "$work/continued"; then
    expect "a stream called whole is whole" "=$text=" "=$whole="
else
    expect "a stream that stays incomplete says so" "$(cat "$work/continued")" '"kind":"backend_'
fi

every_engine '{"foreign_id":true}'
foreign=$(chat 3 "the question")
every_engine '{}'
expect "another's answer is never passed on" "$foreign" '"kind":"backend_mismatch"'

every_engine '{"omit_end":true}'
truncated=$(chat_stream 1 "the question")
every_engine '{}'
refuse "an answer without its end marker is not called whole" "$truncated" '[DONE]'
expect "and the caller is told" "$truncated" '"kind":"backend_'

every_engine '{"refuse_with":503}'
sleep 3
refused=$(chat 2 "the question")
every_engine '{}'
expect "engines that refuse" "$refused" '"error"'
expect "with when to come back" "$refused" '"retry_after_seconds"'
wait_for 20 "serving groups" has_serving 2 2
expect "afterwards all is well" "$(text_of "$(chat 2 "the question")")" "$whole"

# A caller that leaves: the engine is told to stop.
tokens=2000
curl -sN -m 1 -H "Authorization: Bearer $okonjo_key" -d '{"model":"filing-assistant","stream":true,"messages":[{"role":"user","content":"long"}],"max_tokens":2000}' "http://$(callers_of 1)/v1/chat/completions" >/dev/null || true
sleep 2
expect "a caller that leaves is counted" "$(curl -s "http://$(operators_of 1)/metrics")" 'vetchpost_refusals_total{kind="caller_left"} 1'
idle() { local number; for number in 1 2 3 4 5 6 7 8 9; do curl -sf "http://$(engine_address "$number")/v1/state" | grep -q '"running":0' || return 1; done; }
wait_for 5 "engines without work" idle
passed=$((passed + 1))
