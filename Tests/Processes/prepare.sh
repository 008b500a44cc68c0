# SPDX-License-Identifier: Apache-2.0
# Shared setup and helpers of the tests with real processes. Sourced with: build folder, port base.
set -euo pipefail
build=$1
port_base=$2
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
work=$(mktemp -d)
lease_ms=4500
order_timeout_ms=500
# shellcheck source=Meta/cluster.sh
. "$root/Meta/cluster.sh"
passed=0

finish() {
    local code=$?
    stop_all
    if [ $code -ne 0 ]; then
        tail -n 15 "$work"/daemon-*.log "$work"/entry-*.log >&2 || true
    fi
    [ -z "${VETCHPOST_KEEP_LOGS:-}" ] || cp -r "$work" "$VETCHPOST_KEEP_LOGS"
    rm -rf "$work"
    echo "$passed checks passed"
    exit $code
}
trap finish EXIT

# expect TITLE ACTUAL EXPECTED-PART: fails the test unless ACTUAL contains EXPECTED-PART.
expect() {
    case $2 in
    *"$3"*) passed=$((passed + 1)) ;;
    *) fail "$1: expected \"$3\" in: $2" ;;
    esac
}

# refuse TITLE ACTUAL FORBIDDEN-PART: fails the test if ACTUAL contains FORBIDDEN-PART.
refuse() {
    case $2 in
    *"$3"*) fail "$1: did not expect \"$3\" in: $2" ;;
    *) passed=$((passed + 1)) ;;
    esac
}

# fault ADDRESS JSON: sets the faults of the stand-in at ADDRESS.
fault() { curl -sf -X POST -d "$2" "http://$1/faults" >/dev/null; }

# text_of ANSWER: prints the text of a complete answer. stream_text: prints the text of a stream of events on standard input.
text_of() { sed -n 's/.*"content":"\([^"]*\)".*/\1/p' <<<"$1"; }
stream_text() { sed -n 's/^data: .*"content":"\([^"]*\)".*/\1/p' | tr -d '\n'; }

# start_small_cluster: starts three daemons, two groups of four engines in two fabric domains, a standby and a plain service.
start_small_cluster() {
    start_platform
    local number
    for number in 1 2 3 4 9; do start_engine "$number" ikeja rack-a --load-ms 300 "$@"; done
    for number in 5 6 7 8; do start_engine "$number" ikeja rack-b --load-ms 300 "$@"; done
    start_service 1 ikeja
    for number in 1 2 3; do start_daemon "$number" ikeja; done
    wait_for 20 "daemon that accepts edits" vetchpost apply "$root/examples/configuration.yaml" --base 0 --edit-id first --daemon "$(operators_of 1)"
    for number in 1 2 3; do
        wait_for 30 "ready daemon $number" is_ready "$number"
        wait_for 60 "serving groups at daemon $number" has_serving "$number" 2
    done
}

# coordinator [ASKED [GONE]]: prints the number of the coordinating daemon according to daemon ASKED (default 1), leaving out daemon GONE.
coordinator() {
    vetchpost status --daemon "$(operators_of "${1:-1}")" | grep -v "^daemon-${2:-none} " | sed -n 's/^daemon-\([0-9]\).*alive .*coordinates.*/\1/p' | head -n 1
}
has_coordinator() { [ -n "$(coordinator "$@")" ]; }
is_coordinator() { [ "$(coordinator "$1" "$2")" = "$1" ]; }

in_force() { curl -sf -H "Authorization: Bearer $VETCHPOST_OPERATOR_TOKEN" -D - -o /dev/null "http://$(operators_of "$1")/v1/configuration" | sed -n 's/^ETag: "\([0-9]*\)".*/\1/p'; }
is_in_force() { [ "$(in_force "$1")" = "$2" ]; }
