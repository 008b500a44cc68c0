#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# The key-value service is unreachable, or its replies are lost.
. "$(dirname "$0")/prepare.sh"
start_small_cluster

# The reply to a write is lost after it took effect: the edit is accepted once.
sed 's/replicas: 2, /replicas: 1, /' "$root/examples/configuration.yaml" >"$work/one.yaml"
fault "$key_value" '{"lose_replies":1}'
expect "an edit whose reply was lost" "$(vetchpost apply "$work/one.yaml" --base 1 --edit-id lost --daemon "$(operators_of 2)")" "revision 2"
expect "the history contains it once" "=$(vetchpost history --daemon "$(operators_of 2)" | grep -c 'edit lost')=" "=1="
expect "sending the same edit again returns the same revision" "$(vetchpost apply "$work/one.yaml" --base 1 --edit-id lost --daemon "$(operators_of 1)")" "revision 2"
for number in 1 2 3; do wait_for 14 "revision 2 at daemon $number" is_in_force "$number" 2; done
wait_for 20 "one group" has_serving 1 1

# An edit accepted right before an outage still reaches all daemons.
expect "an edit right before the outage" "$(vetchpost apply "$root/examples/configuration.yaml" --base 2 --daemon "$(operators_of 3)")" "revision 3"
fault "$key_value" '{"refuse_with":503}'
for number in 1 2 3; do wait_for 14 "revision 3 at daemon $number" is_in_force "$number" 3; done
passed=$((passed + 1))

# During the outage requests are served, requests with a key are refused as not run, edits are refused, and nothing reverts.
sleep 5
expect "requests are served during the outage" "$(chat 1 "during the outage")" '"finish_reason":"stop"'
keyed=$(work_order 2 outage-1 -H 'Idempotency-Key: outage-1')
expect "an order with a key is refused during the outage" "$keyed" '"kind":"claim_unavailable"'
expect "the refusal says that the order did not run" "$keyed" '"ran":"not_run"'
refuse "the refused order did not run" "$(curl -s "http://$(service_address 1)/booked")" 'outage-1'
expect "an edit is refused during the outage" "$(vetchpost apply "$work/one.yaml" --base 3 --daemon "$(operators_of 1)" 2>&1 || true)" "platform_unavailable"

# A daemon that starts during the outage gets the configuration and the groups from its peers. Whether one or both groups serve depends on
# whether the second one had already ended when the edit that wants it again was accepted.
serving_names() { vetchpost groups --daemon "$(operators_of "$1")" | awk '$3 == "serving" {print $1, $2}' | sort; }
has_groups_of() { [ -n "$(serving_names "$2")" ] && [ "$(serving_names "$1")" = "$(serving_names "$2")" ]; }
start_daemon 4 ikeja 1
wait_for 20 "ready daemon that started during the outage" is_ready 4
wait_for 20 "groups at the daemon that started during the outage" has_groups_of 4 1
expect "the new daemon has the configuration in force" "=$(in_force 4)=" "=3="
expect "the new daemon serves" "$(chat 4 "from a new daemon")" '"finish_reason":"stop"'

# The group of an engine that dies during the outage is taken out of routing at once.
fault "$key_value" '{}'
wait_for 30 "two groups after the outage" has_serving 4 2
again=$(work_order 2 outage-1 -H 'Idempotency-Key: outage-1')
expect "the refused key can be used after the outage" "$again" '"work_order"'
expect "the order ran once" "$(curl -s "http://$(service_address 1)/booked")" '"outage-1":1'
