#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Slot dispatch with three entry daemons: the coordinator names dispatchers, which place the requests of all daemons; a dispatcher that is
# frozen or killed delays no request for long, and another one is named.
. "$(dirname "$0")/prepareEntry.sh"
contracts='[pressure, unheard-of]'
start_three_entries

# metric NUMBER LINE: prints the value of a metric of a daemon; the line is its name and labels.
metric() { curl -sf -m 5 "http://$(entry_peers "$1")/metrics" | sed -n "s/^$2 \([0-9]*\).*/\1/p"; }
answers() { metric "$1" "vetchpost_slot_requests_total{answer=\"$2\"}"; }
# dispatchers_of MODEL: prints the dispatchers that a daemon last learned.
dispatchers_of() { grep -h '"dispatchers_named"' "$work"/entry-*.log | grep "\"model\":\"$1\"" | sort -t: -k3,3n | tail -n 1 | sed -n 's/.*"dispatchers":"\([^"]*\)".*/\1/p'; }
is_named_everywhere() { for number in 1 2 3; do grep -q '"dispatchers_named"' "$work/entry-$number.log" || return 1; done; }

wait_for 10 "list of dispatchers at all daemons" is_named_everywhere
expect "an unknown contract is logged" "$(cat "$work/entry-1.log")" '"contract_unknown"'
for number in 1 2 3; do
    before=$(answers "$number" granted)
    for count in 1 2 3 4 5; do
        ask "$(entry_callers "$number")" /stream/x "placed-$number-$count" >"$work/stream"
        expect "a placed stream is complete" "$(is_whole_stream "$work/stream" "placed-$number-$count" 6 && echo whole)" whole
    done
    expect "daemon $number got slots" "$(($(answers "$number" granted) - before))" 5
done
sleep 1
for number in 1 2 3; do expect "the slots at daemon $number are released" "$(metric "$number" vetchpost_slots_granted)" 0; done

# A frozen dispatcher: the other daemons place requests without it after two of them have waited.
frozen=$(dispatchers_of m0)
number=${frozen#entry-}
other=$((number % 3 + 1))
kill -STOP "${pids[entry-$number]}"
for count in 1 2 3 4 5 6; do
    expect "a request while the dispatcher is frozen" "$(ask "$(entry_callers "$other")" /stream/x "frozen-$count" -o /dev/null -w '%{http_code} %{time_starttransfer}')" "200 0."
done
expect "the frozen dispatcher is silent" "$(cat "$work/entry-$other.log")" '"dispatcher_silent"'
is_replaced() { [ "$(dispatchers_of m0)" != "$frozen" ]; }
wait_for 20 "another dispatcher" is_replaced
kill -CONT "${pids[entry-$number]}"
before=$(answers "$other" granted)
is_granted_again() { ask "$(entry_callers "$other")" /stream/x "again-$RANDOM" -o /dev/null && [ "$(answers "$other" granted)" -gt "$before" ]; }
wait_for 10 "slots from another dispatcher" is_granted_again
check_groups
