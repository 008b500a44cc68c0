#!/usr/bin/env bash
# Builds what the scripts of review/4 to review/6 start beside the daemon of the deploy file: the project's stand-ins of the store and the replicas, and the
# drivers of the cases. Run from anywhere after the build of the deploy file; needs only the packages that the deploy file names.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
cmake -S . -B "$out" -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build "$out" -j4 --target standInStore standInReplicas
for driver in review/[456]/*.cpp; do
    [ -e "$driver" ] || continue
    g++ -std=c++20 -O1 -Wall -Wextra -I/usr/include/jsoncpp "$driver" -o "$out/$(basename "$driver" .cpp)" -ljsoncpp -pthread
done
