#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Requests that must run at most once.
. "$(dirname "$0")/prepare.sh"
start_small_cluster
booked() { curl -s "http://$(service_address 1)/booked"; }

# Concurrent requests with the same key through all daemons create one work order.
for daemon in 1 2 3 1 2 3; do
    work_order $daemon same-time -H 'Idempotency-Key: same-time' >>"$work/same-time" &
    asks+=($!)
done
for ask in "${asks[@]}"; do wait "$ask"; done
expect "six concurrent requests book once" "$(booked)" '"same-time":1'
expect "a later request gets the first answer" "$(work_order 3 same-time -i -H 'Idempotency-Key: same-time')" 'Idempotent-Replay: true'
expect "the same key with another body" "$(work_order 1 another -H 'Idempotency-Key: same-time')" '"kind":"claim_reused"'
expect "the same key of another organisation is independent" "$(chat 1 "question" -H 'Idempotency-Key: same-time')" '"finish_reason":"stop"'

# The service books the order and its reply is lost: the client's error says that it may have run, and a retry books nothing.
fault "$(service_address 1)" '{"lose_replies":1}'
lost=$(work_order 1 lost-reply -H 'Idempotency-Key: lost-reply')
expect "a lost reply" "$lost" '"ran":"may_have_run"'
sleep 0.5
expect "a retry through another daemon" "$(work_order 2 lost-reply -H 'Idempotency-Key: lost-reply')" '"kind":"claim_unknown"'
expect "it was booked once" "$(booked)" '"lost-reply":1'

# A request that is not repeatable and has no key is sent once.
fault "$(service_address 1)" '{"lose_replies":1}'
expect "an order without a key whose reply is lost" "$(work_order 1 no-key)" '"ran":"may_have_run"'
expect "it was booked once" "$(booked)" '"no-key":1'

# The daemon dies while the order is in flight; the client retries through another daemon.
fault "$(service_address 1)" '{"delay_ms":3000}'
work_order 1 daemon-died -H 'Idempotency-Key: daemon-died' >/dev/null &
sleep 1
kill -9 "${pids[daemon-1]}"
unset 'pids[daemon-1]'
repeat=$(work_order 2 daemon-died -H 'Idempotency-Key: daemon-died')
expect "a retry after the daemon died" "$repeat" '"ran":"may_have_run"'
sleep 3
fault "$(service_address 1)" '{}'
expect "it was booked once" "$(booked)" '"daemon-died":1'

# The key-value service loses the replies to writes while keys are claimed.
fault "$key_value" '{"lose_replies":3}'
for i in 1 2 3 4; do work_order 2 "doubt-$i" -H "Idempotency-Key: doubt-$i" >"$work/doubt-$i" & doubts[i]=$!; done
for i in 1 2 3 4; do wait "${doubts[i]}"; done
for i in 1 2 3 4; do
    expect "an order whose claim write lost its reply" "$(cat "$work/doubt-$i")" '"work_order"'
    expect "it was booked once" "$(booked)" "\"doubt-$i\":1"
done
