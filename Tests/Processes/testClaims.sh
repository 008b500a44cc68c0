#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Requests that may run only once.
. "$(dirname "$0")/prepare.sh"
start_small_cluster
booked() { curl -s "http://$(service_address 1)/booked"; }

# The same key through every daemon at the same time: one work order.
for daemon in 1 2 3 1 2 3; do
    work_order $daemon same-time -H 'Idempotency-Key: same-time' >>"$work/same-time" &
    asks+=($!)
done
for ask in "${asks[@]}"; do wait "$ask"; done
expect "six asks at the same time book once" "$(booked)" '"same-time":1'
expect "a later ask gets the first answer" "$(work_order 3 same-time -i -H 'Idempotency-Key: same-time')" 'Idempotent-Replay: true'
expect "the same key with another body" "$(work_order 1 another -H 'Idempotency-Key: same-time')" '"kind":"claim_reused"'
expect "another organisation's key is another key" "$(chat 1 "question" -H 'Idempotency-Key: same-time')" '"finish_reason":"stop"'

# The service books the order and its reply is lost: the caller is told that it may have run, and a repeat books nothing.
fault "$(service_address 1)" '{"lose_replies":1}'
lost=$(work_order 1 lost-reply -H 'Idempotency-Key: lost-reply')
expect "a lost reply" "$lost" '"ran":"may_have_run"'
sleep 0.5
expect "a repeat elsewhere" "$(work_order 2 lost-reply -H 'Idempotency-Key: lost-reply')" '"kind":"claim_unknown"'
expect "it was booked once" "$(booked)" '"lost-reply":1'

# Without a key a call that may not be repeated is sent once.
fault "$(service_address 1)" '{"lose_replies":1}'
expect "an order without a key whose reply is lost" "$(work_order 1 no-key)" '"ran":"may_have_run"'
expect "it was booked once" "$(booked)" '"no-key":1'

# The daemon dies with the order under way; the caller repeats through another daemon.
fault "$(service_address 1)" '{"delay_ms":3000}'
work_order 1 daemon-died -H 'Idempotency-Key: daemon-died' >/dev/null &
sleep 1
kill -9 "${pids[daemon-1]}"
unset 'pids[daemon-1]'
repeat=$(work_order 2 daemon-died -H 'Idempotency-Key: daemon-died')
expect "a repeat after the daemon died" "$repeat" '"ran":"may_have_run"'
sleep 3
fault "$(service_address 1)" '{}'
expect "it was booked once" "$(booked)" '"daemon-died":1'

# The service's writes lose their replies while keys are claimed.
fault "$key_value" '{"lose_replies":3}'
for i in 1 2 3 4; do work_order 2 "doubt-$i" -H "Idempotency-Key: doubt-$i" >"$work/doubt-$i" & doubts[i]=$!; done
for i in 1 2 3 4; do wait "${doubts[i]}"; done
for i in 1 2 3 4; do
    expect "an order whose claim was in doubt" "$(cat "$work/doubt-$i")" '"work_order"'
    expect "it was booked once" "$(booked)" "\"doubt-$i\":1"
done
