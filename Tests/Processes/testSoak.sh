#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Nine daemons in three data centres serve under load while daemons and engines are killed in turn: no request is lost or runs twice.
. "$(dirname "$0")/prepare.sh"
data_centres=(ikeja lekki yaba)
start_platform
for number in 1 2 3 4 9 10; do start_engine "$number" ikeja rack-a --load-ms 300; done
for number in 5 6 7 8 11 12; do start_engine "$number" lekki rack-b --load-ms 300; done
start_service 1 yaba
for number in 1 2 3 4 5 6 7 8 9; do start_daemon "$number" "${data_centres[$((number % 3))]}"; done
wait_for 20 "daemon that accepts edits" vetchpost apply "$root/examples/configuration.yaml" --base 0 --edit-id first --daemon "$(operators_of 1)"
has_answer() { chat "$1" warm | grep -q '"finish_reason":"stop"'; }
for number in 1 2 3 4 5 6 7 8 9; do
    wait_for 30 "ready daemon $number" is_ready "$number"
    wait_for 60 "answer through daemon $number" has_answer "$number"
done
# Every daemon gets to know the daemons of its own data centre, even if its seed peers are in other data centres.
knows_neighbours() { [ "$(vetchpost status --daemon "$(operators_of "$1")" | grep -c " ${data_centres[$(($1 % 3))]} .* alive ")" = 3 ]; }
for number in 1 2 3 4 5 6 7 8 9; do wait_for 20 "three daemons of its data centre at daemon $number" knows_neighbours "$number"; done
whole=$(text_of "$(chat 1 "the question")")
touch "$work/run"

# A client of the model: each answer is complete and correct, or a correct error, or its daemon was killed meanwhile.
ask_model() {
    local worker=$1 count=0 daemon answer
    while [ -e "$work/run" ]; do
        count=$((count + 1))
        daemon=$(((worker + count) % 9 + 1))
        answer=$(chat $daemon "the question" || true)
        case $answer in
        *"$whole"*) echo whole ;;
        *'"error"'*'"ran"'*) echo "refused $answer" ;;
        '') echo cut ;;
        *) echo "wrong $answer" ;;
        esac
    done >"$work/model-$worker"
}

# A client of the service: retries an order with its key through other daemons until it gets the outcome.
ask_service() {
    local worker=$1 count=0 order try answer
    while [ -e "$work/run" ]; do
        count=$((count + 1))
        order=order-$worker-$count
        for try in 1 2 3 4 5 6; do
            answer=$(work_order $(((worker + count + try) % 9 + 1)) "$order" -H "Idempotency-Key: $order" || true)
            case $answer in
            *work_order*) echo "$order done"; break ;;
            *claim_unknown*) echo "$order unknown"; break ;;
            esac
            sleep 0.3
        done
    done >"$work/service-$worker"
}

for worker in 1 2 3 4; do
    ask_model $worker &
    workers+=($!)
    ask_service $worker &
    workers+=($!)
done
# Kills daemons and engines in turn and restarts each a few seconds later.
for turn in 1 2; do
    daemon=$((turn * 3))
    kill -9 "${pids[daemon-$daemon]}"
    sleep 3
    start_daemon "$daemon" "${data_centres[$((daemon % 3))]}"
    engine=$((turn * 4 - 2))
    kill -9 "${pids[engine-$engine]}"
    sleep 5
    data_centre=ikeja rack=rack-a
    [ $engine -lt 5 ] || { data_centre=lekki rack=rack-b; }
    start_engine "$engine" $data_centre $rack --load-ms 300
    sleep 4
done
rm "$work/run"
for worker in "${workers[@]}"; do wait "$worker" || true; done

results=$(cat "$work"/model-*)
echo "model: $(grep -c '^whole' <<<"$results") whole, $(grep -c '^refused' <<<"$results" || true) refused, $(grep -c '^cut' <<<"$results" || true) cut off by a killed daemon, $(grep -c '^wrong' <<<"$results" || true) wrong"
grep '^refused' <<<"$results" | grep -o '"kind":"[a-z_]*"' | sort | uniq -c || true
expect "no answer is incorrect or lost" "=$(grep -c '^wrong' <<<"$results" || true)=" "=0="
expect "most answers are complete" "$([ "$(grep -c '^whole' <<<"$results")" -gt "$(grep -vc '^whole' <<<"$results" || true)" ] && echo yes)" yes
booked=$(curl -s "http://$(service_address 1)/booked")
orders=$(cat "$work"/service-*)
echo "service: $(grep -c done <<<"$orders") done, $(grep -c unknown <<<"$orders" || true) unknown"
refuse "no order is booked twice" "$(tr ',' '\n' <<<"$booked" | grep -vE ':1[}]*$' || echo none)" ':'
for order in $(sed -n 's/ done$//p' <<<"$orders"); do
    case $booked in *"\"$order\":1"*) ;; *) fail "$order was reported as done and is not booked" ;; esac
done
passed=$((passed + 1))
