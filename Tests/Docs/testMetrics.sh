#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Holds the table of metrics in docs/OPERATIONS.md against the code: each metric that an entry daemon has stands in a row, and no row is left
# of a metric that is not there.
set -euo pipefail
. "$(dirname "$0")/compareTable.sh"
cd "$1"

# The client of the own key-value service is not part of an entry daemon.
written=$(grep -rhoE '"vetchpost_[a-z_]+"' --include='*.cpp' --exclude=key_value_client.cpp \
    Libraries/Base Libraries/Http Libraries/Platform Libraries/Requests Libraries/Routing Libraries/Assembly Libraries/Feed Libraries/Entry platform |
    tr -d '"' | sort -u)
documented=$(sed -n '/^| metric | labels/,/^$/p' docs/OPERATIONS.md | cut -d'|' -f2 | grep -oE '`vetchpost_[a-z_]+`' | tr -d '`' | sort -u)
compareTable metrics "$written" "$documented"
