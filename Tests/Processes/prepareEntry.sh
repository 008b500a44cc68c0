# SPDX-License-Identifier: Apache-2.0
# Shared helpers of the tests with entry daemons, in addition to prepare.sh. Sourced with: build folder, port base.
# shellcheck source=Tests/Processes/prepare.sh
. "$(dirname "${BASH_SOURCE[0]}")/prepare.sh"
# shellcheck source=Meta/platform.sh
. "$root/Meta/platform.sh"

# ended ATTEMPT HOW: succeeds if the request has ended in the given way.
ended() { events "$replica_control" | grep -F "\"attempt\":\"$1\"" | grep '"ended"' | grep -q "\"how\":\"$2\""; }
runs() { events "$replica_control" | grep -F "\"attempt\":\"$1\"" | grep -q '"ran"'; }
runs_of() { events "$replica_control" | grep -F "\"attempt\":\"$1\"" | grep -c '"ran"' || true; }
# head_of ATTEMPT: prints the head that last ran the request.
head_of() { events "$replica_control" | grep -F "\"attempt\":\"$1\"" | sed -n 's/.*"replica":"\([^"]*\)".*"ran".*/\1/p' | tail -n 1; }

# coordinating: prints the number of the daemon that last took over coordination.
coordinating() { grep -h '"coordination_taken"' "$work"/entry-*.log | sort -t: -k3,3n | tail -n 1 | sed -n 's/.*"daemon":"entry-\([0-9]\)".*/\1/p'; }

# kill_member_of HEAD: kills the replica after the head in its group.
kill_member_of() {
    local group member
    group=$(events "$replica_control" | grep '"joined"' | grep -F "\"replica\":\"$1\"" | sed -n 's/.*"group":"\([^"]*\)".*/\1/p' | tail -n 1)
    member=$(events "$replica_control" | grep '"joined"' | grep -F "\"group\":\"$group\"" | grep -vF "\"replica\":\"$1\"" | sed -n 's/.*"replica":"\([^"]*\)".*/\1/p' | head -n 1)
    fault "$replica_control" "{\"kill\":[\"$member\"]}"
}

# check_groups: checks that no request ran in a group that lacked a member, and that no replica was taken out of a group in use.
check_groups() {
    refuse "no group serves without all its members" "$(events "$replica_control" | grep '"partial":true')" partial
    refuse "no replica is in two groups" "$(events "$replica_control" | grep '"while_open":true')" while_open
}

# check_truth ATTEMPT FILE: checks that the request ran at most once, and that FILE contains its complete answer, or a refusal stating that
# it did not run, which is true.
check_truth() {
    local count
    count=$(runs_of "$1")
    expect "$1 ran at most once" "$([ "$count" -le 1 ] && echo "$count" || echo "ran $count times")" "$count"
    [ "$count" -le 1 ] || fail "$1 ran $count times"
    case $(cat "$2" 2>/dev/null) in
    "{\"attempt\":\"$1\",\"path\":"*'"end":true}') expect "$1 ran" "$count" 1 ;;
    *'"ran":"not_run"'*) expect "$1 was refused and did not run" "$count" 0 ;;
    *) fail "$1 has neither its answer nor a correct refusal: $(cat "$2" 2>/dev/null) (ran $count times)" ;;
    esac
}
