#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Engines and services that reject requests and request a backoff.
. "$(dirname "$0")/prepare.sh"
start_small_cluster
every_engine() { local number; for number in 1 2 3 4 5 6 7 8 9; do fault "$(engine_address "$number")" "$1"; done; }
rejected_by() { curl -sf "http://$1/faults" | sed -n 's/.*"rejected":\([0-9]*\).*/\1/p'; }
engines_rejected() { local total=0 number; for number in 1 2 3 4 5 6 7 8 9; do total=$((total + $(rejected_by "$(engine_address "$number")"))); done; echo $total; }

# During the backoff of four seconds, the daemon sends one request to each of the two heads.
every_engine '{"refuse_with":503,"rest_seconds":4}'
for _ in 1 2 3 4 5 6; do
    curl -s -m 0.5 -H "Authorization: Bearer $okonjo_key" -d '{"model":"filing-assistant","messages":[{"role":"user","content":"question"}]}' "http://$(callers_of 1)/v1/chat/completions" >/dev/null || true
done
expect "each engine in backoff gets one request" "=$(engines_rejected)=" "=2="
every_engine '{}'
wait_for 10 "answer after the rest" chat 1 "the question"

# A request whose deadline is before the end of the first backoff is refused at once, with the time until that end.
every_engine '{"refuse_with":503,"rest_seconds":3}'
chat 1 "asks both" -m 0.5 >/dev/null || true
answer=$(chat 1 "too early" -H "X-Deadline-Ms: 300")
expect "a request whose deadline is within the backoff is refused" "$answer" '"ran":"not_run"'
after=$(sed -n 's/.*"retry_after_seconds":\([0-9.]*\).*/\1/p' <<<"$answer")
expect "its retry-after time is the end of the first backoff: $after s" "=$(awk -v after="$after" 'BEGIN { print (after > 2.1 && after <= 3) }')=" "=1="
every_engine '{}'
wait_for 10 "answer after the second rest" chat 1 "the question"

fault "$(service_address 1)" '{"refuse_with":503,"rest_seconds":3}'
for order in 1 2 3 4 5; do
    answer=$(work_order 1 "rest-$order")
    expect "an order during the service's backoff is refused" "$answer" '"ran":"not_run"'
    expect "the refusal has a retry-after time" "$answer" '"retry_after_seconds":'
    sleep 0.3
done
expect "a service in backoff gets one request" "=$(rejected_by "$(service_address 1)")=" "=1="
fault "$(service_address 1)" '{}'
sleep 3
expect "orders are accepted after the backoff" "$(work_order 1 rested)" '"work_order"'
