#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Requests with a part of a prompt that crashes replicas, whose ports outlive their connections by a moment.
. "$(dirname "$0")/prepareEntry.sh"

ends_for_refusal=3
ends_until_known=5
contact_seconds=3
most_late=3

ends() { events "$replica_control" | grep -c '"ended_replica"' || true; }
# send_deadly NUMBER: sends a request that shares only its deadly part with the others, at one of the daemons.
send_deadly() {
    ask "$(entry_callers $(($1 % 3 + 1)))" /stream/report "deadly-$1" -m 8 -H "Prompt-Prefix: dead:300,$(printf '%x' $((4096 + $1))):400" \
        -d "question $1" >/dev/null || true
}

start_three_entries
fault "$replica_control" "{\"deadly_part\":\"dead\",\"exit_ms\":${EXIT_MS:-20}}"
number=0
while [ "$(ends)" -lt "$ends_until_known" ] && [ "$number" -lt 20 ]; do
    number=$((number + 1))
    send_deadly "$number"
    sleep 1
done
sleep "$contact_seconds"
known=$(ends)
for number in $(seq 101 115); do
    send_deadly "$number"
    sleep 1
done
all=$(ends)
echo "$known ends when the part must be known, $all in all"
[ "$known" -ge "$ends_for_refusal" ] && [ "$known" -le "$ends_until_known" ] || fail "$known replicas have ended"
passed=$((passed + 1))
for number in 201 202 203; do
    ask "$(entry_callers $((number % 3 + 1)))" /stream/report "deadly-$number" -m 8 -o /dev/null -w '%{http_code}\n' -H "Prompt-Prefix: dead:300,$number:400" \
        -d "question $number"
done | grep -cx 503 | grep -qx 3 || fail "not all daemons refuse the part"
passed=$((passed + 1))
[ $((all - known)) -le "$most_late" ] || fail "$((all - known)) requests reached replicas after the part had to be known"
passed=$((passed + 1))
