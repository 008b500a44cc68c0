#!/usr/bin/env bash
# See claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../tools/run-common.sh"
[ -x "$built/case-1" ] || cannot_run "review/build.sh has not run"
find_ports 20
start_store "$base" $((base + 1))
start_daemon edge-1 "$base" $((base + 5)) true
run_case "$built/case-1" "$base" $((base + 5)) $((base + 6)) $((base + 12)) "$here/record.txt" "${TROUBLE:-1}"
exit "$result"
