#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Shows that the fuzzers bite: puts each defect of Meta/defects back into a scratch copy and reports at which step it is found.
# Usage: Meta/bite.sh [PREFIX] [STEPS]
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
prefix=${1:-}
steps=${2:-60000}
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
git -C "$root" archive HEAD | tar -x -C "$scratch"
cmake -S "$scratch" -B "$scratch/build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
for patch in "$root"/Meta/defects/"$prefix"*.patch; do
    name=$(basename "$patch" .patch)
    part=${name%%-*}
    test=test${part^}
    patch -s -p1 -d "$scratch" <"$patch"
    cmake --build "$scratch/build" --target "$test" -- --quiet
    output=$(VETCHPOST_FUZZ_STEPS=$steps RC_PARAMS="seed=1 verbose_progress=0" timeout 300 "$scratch/build/Tests/$test" '[fuzz]' 2>&1 | tr '\n' ' ' | tr -s ' ' || true)
    found=$(grep -oE '[a-zA-Z ,-]+[a-z0-9 :.-]*\(step [0-9]+\)' <<<"$output" | head -n 1 || true)
    [ -n "$found" ] || found=$(grep -E 'serving [0-9]+ of|Falsifiable' <<<"$output" | head -n 1 || true)
    echo "$name: ${found:-NOT FOUND in $steps steps}"
    patch -s -R -p1 -d "$scratch" <"$patch"
done
