#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# The key-value service comes back from an older copy, without the latest edits, claims and leases.
. "$(dirname "$0")/prepare.sh"
start_small_cluster

sed 's/weight: 4/weight: 6/' "$root/examples/configuration.yaml" >"$work/a.yaml"
sed 's/weight: 4/weight: 8/' "$root/examples/configuration.yaml" >"$work/b.yaml"
fault "$key_value" '{"save_copy":true}'
expect "an edit that the copy lacks" "$(vetchpost apply "$work/a.yaml" --base 1 --edit-id lost-edit --daemon "$(operators_of 1)")" "revision 2"
for number in 1 2 3; do wait_for 14 "revision 2 at daemon $number" is_in_force "$number" 2; done
work_order 2 lost-claim -H 'Idempotency-Key: lost-claim' >/dev/null
fault "$key_value" '{"restore_copy":true}'

# An accepted edit stays in force, and further edits are based on it.
expect "an edit based on the lost one" "$(vetchpost apply "$work/b.yaml" --base 2 --edit-id next --daemon "$(operators_of 3)" 2>&1 || true)" "revision 3"
for number in 1 2 3; do wait_for 14 "revision 3 at daemon $number" is_in_force "$number" 3; done
expect "the history still has the lost edit" "$(vetchpost history --daemon "$(operators_of 2)")" "lost-edit"

# An order whose claim was lost is not booked again by the daemon that claimed it.
work_order 2 lost-claim -H 'Idempotency-Key: lost-claim' >/dev/null
expect "an order with a lost claim is booked once" "$(curl -s "http://$(service_address 1)/booked")" '"lost-claim":1'

# The groups of before serve on, and a coordinator is there again.
wait_for 30 "coordinator after the return" has_coordinator
for number in 1 2 3; do
    wait_for 30 "serving groups at daemon $number" has_serving "$number" 2
    expect "daemon $number serves" "$(chat "$number" "after the return")" '"finish_reason":"stop"'
done
