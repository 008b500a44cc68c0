# SPDX-License-Identifier: Apache-2.0
# compareTable WHAT WRITTEN DOCUMENTED: both are sorted lists with one name per line; fails if either has a name that the other lacks.
compareTable() {
    [ "$(wc -l <<<"$2")" -ge 20 ] || { echo "FAILED: only $(wc -l <<<"$2") $1 were found in the code"; return 1; }
    local undocumented absent
    undocumented=$(comm -23 <(echo "$2") <(echo "$3"))
    absent=$(comm -13 <(echo "$2") <(echo "$3"))
    [ -z "$undocumented" ] || echo "FAILED: $1 without a row in docs/OPERATIONS.md: $(tr '\n' ' ' <<<"$undocumented")"
    [ -z "$absent" ] || echo "FAILED: $1 in docs/OPERATIONS.md that are not in the code: $(tr '\n' ' ' <<<"$absent")"
    [ -z "$undocumented$absent" ] || return 1
    echo "All $(wc -l <<<"$2") $1 stand in the table."
}
