#!/usr/bin/env bash
# Builds an earlier version of the router, for comparison with the present one, and prints its folder. Usage: baseline.sh COMMIT
set -euo pipefail
cd "$(dirname "$0")/../.."
commit=$(git rev-parse --short=12 "$1")
folder=target/baseline/$commit
if [ ! -x "$folder/target/release/cranetack" ]; then
    mkdir -p "$folder"
    git archive "$commit" | tar -x -C "$folder"
    echo "building $commit" >&2
    (cd "$folder" && cargo build --quiet --release --locked -p cranetack-router --target-dir target)
fi
echo "$folder"
