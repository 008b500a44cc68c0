#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Checks that the fuzzers and the fault soak detect known defects. Applies each patch of Meta/defects to a scratch copy and reports the step
# at which a fuzzer finds the defect. Defects of the entry daemon (entry-*) run in the soak instead, with one seed after another until it
# reports a broken promise.
# Usage: Meta/bite.sh [PREFIX] [STEPS]
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
prefix=${1:-}
steps=${2:-60000}
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
git -C "$root" archive HEAD | tar -x -C "$scratch"
cmake -S "$scratch" -B "$scratch/build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null

# The seed that CI uses and the two after it.
soak_seeds="4 5 6"
soak_port=${SOAK_PORT:-31000}
retry_load=(--calm --retry-slack 136 --daemons 8 --replicas 24)

# find_by_soak [OPTIONS...]: prints the first seed with which the soak fails, with the number of times that each promise was broken.
find_by_soak() {
    cmake --build "$scratch/build" --target vetchpostd soak standInStore standInReplicas -- --quiet
    local seed found
    for seed in $soak_seeds; do
        found=$("$scratch/build/Tests/Soak/soak" "$@" --seed "$seed" --base-port "$soak_port" --keep "$scratch/soak" \
            --daemon-binary "$scratch/build/Services/vetchpostd/vetchpostd" --stand-ins "$scratch/build/Tests/StandIns" |
            grep '^BROKEN' | cut -d: -f2 | sort | uniq -c | sort -rn | tr -s ' \n' ' ' || true)
        [ -z "$found" ] || { echo "seed $seed:$found"; return; }
    done
    echo "NOT FOUND with seeds $soak_seeds"
}

for patch in "$root"/Meta/defects/"$prefix"*.patch; do
    name=$(basename "$patch" .patch)
    part=${name%%-*}
    test=test${part^}
    patch -s -p1 -d "$scratch" <"$patch"
    if [ "$part" = entry ]; then
        options=(--daemons 3 --clients 12)
        # These show only where the store comes back from an older copy.
        case $name in *-the-era-* | *-older-copy*) options+=(--restores 3) ;; esac
        # These show only under loads that use up the bound of retries.
        case $name in
        *-repeats-for-each-*) options=("${retry_load[@]}" --rejections 45 --clients 60) ;;
        *-part-of-the-slack-*) options=("${retry_load[@]}" --rolls 2 --rejections 45 --clients 60) ;;
        *-counts-alone) options=("${retry_load[@]}" --waves --cuts 1 --seconds 64 --rejections 90 --clients 24) ;;
        esac
        echo "$name: $(find_by_soak "${options[@]}")"
        patch -s -R -p1 -d "$scratch" <"$patch"
        continue
    fi
    cmake --build "$scratch/build" --target "$test" -- --quiet
    output=$(VETCHPOST_FUZZ_STEPS=$steps RC_PARAMS="seed=1 verbose_progress=0" timeout 300 "$scratch/build/Tests/$test" '[fuzz]' 2>&1 | tr '\n' ' ' | tr -s ' ' || true)
    found=$(grep -oE '[a-zA-Z ,-]+[a-z0-9 :.-]*\(step [0-9]+\)' <<<"$output" | head -n 1 || true)
    [ -n "$found" ] || found=$(grep -E 'serving [0-9]+ of|Falsifiable' <<<"$output" | head -n 1 || true)
    echo "$name: ${found:-NOT FOUND in $steps steps}"
    patch -s -R -p1 -d "$scratch" <"$patch"
done
