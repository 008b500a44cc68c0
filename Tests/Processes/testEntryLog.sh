#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# An entry daemon whose key-value service is unreachable: its log and metrics, reloaded settings, a log reader that exits, and a stop.
. "$(dirname "$0")/prepare.sh"

settings=$work/entry.yaml
log=$work/daemon-1.log
write_settings() {
    cat >"$settings" <<EOF
daemon: d1
data-centre: ikeja
key-value: 127.0.0.1:$((port_base + 1))
listen:
  callers: 127.0.0.1:$((port_base + 2))
  readiness: 127.0.0.1:$((port_base + 3))
  peers: 127.0.0.1:$((port_base + 4))
timing:
  stop-grace-ms: 4000
$1
EOF
}
lines_with() { grep -c "$1" "$log" || true; }
has_lines() { [ "$(lines_with "$1")" -ge "$2" ]; }
answers() { curl -s -o "$work/answer" "http://127.0.0.1:$((port_base + 2))/nowhere" -H "Attempt-Id: $1"; }

write_settings "log: on"
"$build/Services/vetchpostd/vetchpostd" entry --settings="$settings" >"$log" 2>"$work/errors" &
daemon=$!
trap 'kill "$daemon" 2>/dev/null || true; finish' EXIT
wait_for 20 "a start" has_lines '"event":"started"' 1
expect "the log line of the start names the settings" "$(grep '"event":"started"' "$log")" '"settings":"'
wait_for 20 "an answer" answers r1
wait_for 20 "the refusal's line" has_lines '"event":"refused".*"request":"r1"' 1
metrics=$(curl -s "http://127.0.0.1:$((port_base + 4))/metrics")
expect "the metrics show that there is no configuration" "$metrics" "vetchpost_configuration_age_seconds -1"
expect "the metrics count the refusal" "$metrics" 'vetchpost_refusals_total{kind="no_configuration"} 1'
expect "the metrics count the calls to the store" "$metrics" 'vetchpost_key_value_seconds_count{call="get",outcome="no_answer"}'

# Invalid settings change nothing.
write_settings "log: perhaps"
kill -HUP "$daemon"
wait_for 20 "bad settings" has_lines '"event":"settings_read","good":false' 1
answers r2
wait_for 20 "a log that is still on" has_lines '"request":"r2"' 1

# The log is turned off and on again without a restart.
write_settings "log: off"
kill -HUP "$daemon"
wait_for 20 "settings without the log" has_lines '"event":"settings_read","good":true' 1
answers r3
write_settings "log: on"
kill -HUP "$daemon"
wait_for 20 "settings with the log" has_lines '"event":"settings_read","good":true' 2
answers r4
wait_for 20 "a log that is on again" has_lines '"request":"r4"' 1
expect "requests are not logged while the log is off" "=$(lines_with '"request":"r3"')=" "=0="

kill -TERM "$daemon"
wait "$daemon"
expect "the log line of the stop" "$(grep '"event":"stopped"' "$log")" '"log_lines_left_out":0'

# The daemon goes on when the reader of its log exits.
{ "$build/Services/vetchpostd/vetchpostd" entry --settings="$settings" 2>"$work/errors" & echo $! >"$work/pid"; wait; } | head -n 1 >"$log" &
wait_for 20 "a line for the reader" has_lines '"event":"started"' 1
daemon=$(cat "$work/pid")
for number in 5 6 7; do wait_for 20 "an answer without a reader" answers "r$number"; done
kill -0 "$daemon"
passed=$((passed + 1))
kill -TERM "$daemon"
