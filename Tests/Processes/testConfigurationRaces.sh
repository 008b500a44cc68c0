#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Operators edit the configuration concurrently, and daemons pause and restart. Accepted edits stay in force.
. "$(dirname "$0")/prepare.sh"
start_small_cluster

# Of two concurrent edits of the same revision through two daemons, one is accepted, and the conflict error of the other names it.
sed 's/weight: 4/weight: 6/' "$root/examples/configuration.yaml" >"$work/a.yaml"
sed 's/weight: 4/weight: 8/' "$root/examples/configuration.yaml" >"$work/b.yaml"
vetchpost apply "$work/a.yaml" --base 1 --edit-id edit-a --author ada --daemon "$(operators_of 1)" >"$work/a.out" 2>&1 &
a=$!
vetchpost apply "$work/b.yaml" --base 1 --edit-id edit-b --author ben --daemon "$(operators_of 2)" >"$work/b.out" 2>&1 &
b=$!
code_a=0 code_b=0
wait $a || code_a=$?
wait $b || code_b=$?
expect "one is accepted and one conflicts" " $code_a$code_b " "3"
expect "one is accepted and one conflicts" " $code_a$code_b " "0"
both=$(cat "$work/a.out" "$work/b.out")
expect "the conflict names the other edit" "$both" "accepted meanwhile: revision 2 by"
for number in 1 2 3; do wait_for 14 "revision 2 at daemon $number" is_in_force "$number" 2; done
winner=$([ $code_a = 0 ] && echo "weight: 6" || echo "weight: 8")
expect "the accepted edit is in force" "$(vetchpost show --daemon "$(operators_of 3)")" "$winner"

# A rejected edit changes nothing.
echo "nonsense: true" >"$work/bad.yaml"
code=0
vetchpost apply "$work/bad.yaml" --daemon "$(operators_of 1)" >/dev/null 2>&1 || code=$?
expect "an invalid file is rejected" "=$code=" "=2="
expect "the history does not contain it" "=$(vetchpost history --daemon "$(operators_of 1)" | wc -l)=" "=2="

# A paused daemon catches up after it resumes.
kill -STOP "${pids[daemon-3]}"
vetchpost apply "$work/a.yaml" --base 2 --edit-id while-paused --daemon "$(operators_of 1)" >/dev/null || vetchpost apply "$work/b.yaml" --base 2 --daemon "$(operators_of 1)" >/dev/null
wait_for 14 "revision 3 at daemon 2" is_in_force 2 3
kill -CONT "${pids[daemon-3]}"
wait_for 14 "revision 3 at the woken daemon" is_in_force 3 3
passed=$((passed + 1))

# All daemons are restarted one after another; the configuration never reverts.
for number in 1 2 3; do
    kill -9 "${pids[daemon-$number]}"
    unset "pids[daemon-$number]"
    start_daemon "$number" ikeja $((number % 3 + 1))
    wait_for 30 "ready daemon $number" is_ready "$number"
    expect "revision after the restart of daemon $number" "=$(in_force "$number")=" "=3="
done

# A revoked key is refused by every daemon.
expect "the key is accepted before its revocation" "$(chat 3 "with a good key")" '"finish_reason":"stop"'
sed "s/key-digests: \[[0-9a-f]*\]/key-digests: []/" "$work/a.yaml" >"$work/revoked.yaml"
vetchpost apply "$work/revoked.yaml" --base 3 --daemon "$(operators_of 2)" >/dev/null
for number in 1 2 3; do
    wait_for 14 "revision 4 at daemon $number" is_in_force "$number" 4
    sleep 0.2
    expect "the revoked key is refused at daemon $number" "$(chat "$number" "with a revoked key")" '"kind":"unauthorised"'
done
