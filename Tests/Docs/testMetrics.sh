#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Compares the table of metrics in docs/OPERATIONS.md with the code: each metric that an entry daemon has is listed in a row, and there is no
# row for a metric that does not exist.
set -euo pipefail
. "$(dirname "$0")/compareTable.sh"
cd "$1"

# The client of the project's own key-value service is not part of an entry daemon.
written=$(grep -rhoE '"vetchpost_[a-z_]+"' --include='*.cpp' --exclude=key_value_client.cpp \
    Libraries/Base Libraries/Http Libraries/Platform Libraries/Requests Libraries/Routing Libraries/Assembly Libraries/Feed Libraries/Entry platform |
    tr -d '"' | sort -u)
documented=$(sed -n '/^| metric | labels/,/^$/p' docs/OPERATIONS.md | cut -d'|' -f2 | grep -oE '`vetchpost_[a-z_]+`' | tr -d '`' | sort -u)
compareTable metrics "$written" "$documented"
