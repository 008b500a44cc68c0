#!/usr/bin/env bash
# Builds every stand-in that the cases start, into target/review/ (the project's own store, and the programs of the cases). Needs only the
# packages of deploy/system.toml and no network. Run after the build of the deploy file.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/.." && pwd)
out=$root/target/review
mkdir -p "$out"
cmake -S "$root" -B "$out/stand-ins" -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build "$out/stand-ins" -j4 --target standInStore standInReplicas standInBalancer
for source in "$here"/*/case.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++17 -O1 -Wall -Wextra -I/usr/include/jsoncpp "$source" -o "$out/case-$number" -ljsoncpp -lpthread
done
echo "built in target/review"
