#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Compares the table of log events in docs/OPERATIONS.md with the code: each event that an entry daemon writes has a row, and there is no row
# for an event that is never written.
set -euo pipefail
. "$(dirname "$0")/compareTable.sh"
cd "$1"

# The events of structured logs, and the names of the ways in which a request ends, which are events too.
written=$(grep -rhoPz --include='*.cpp' 'Log\.write(?:Essential)?\(\s*(\w+ \? )?"[a-z_]+"( : "[a-z_]+")?' Libraries/Entry Libraries/Feed Libraries/Assembly Libraries/Base Services |
    tr '\0' '\n' | grep -oE '"[a-z_]+"' | tr -d '"' | sort -u)
written=$(printf '%s\nanswered\ncaller_left\nlines_left_out\n' "$written" | sort -u)
documented=$(sed -n '/^| part | event/,/^$/p' docs/OPERATIONS.md | cut -d'|' -f3 | grep -oE '`[a-z_]+`' | tr -d '`' | sort -u)
compareTable events "$written" "$documented"
