#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Holds the table of log events in docs/OPERATIONS.md against the code: each event that an entry daemon writes has a row, and no row is left
# of an event that nobody writes.
set -euo pipefail
. "$(dirname "$0")/compareTable.sh"
cd "$1"

# The events of structured logs, and the names of a request's ends, which are events too.
written=$(grep -rhoPz --include='*.cpp' 'Log\.write(?:Essential)?\(\s*(\w+ \? )?"[a-z_]+"( : "[a-z_]+")?' Libraries/Entry Libraries/Feed Libraries/Assembly Libraries/Base Services |
    tr '\0' '\n' | grep -oE '"[a-z_]+"' | tr -d '"' | sort -u)
written=$(printf '%s\nanswered\ncaller_left\nlines_left_out\n' "$written" | sort -u)
documented=$(sed -n '/^| part | event/,/^$/p' docs/OPERATIONS.md | cut -d'|' -f3 | grep -oE '`[a-z_]+`' | tr -d '`' | sort -u)
compareTable events "$written" "$documented"
