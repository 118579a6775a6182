#!/usr/bin/env bash
# Builds an earlier version of the router, for measurements beside the present one. Usage: baseline.sh COMMIT
set -euo pipefail
cd "$(dirname "$0")/../.."
commit=$(git rev-parse --short=12 "$1")
at=target/baseline/$commit
if [ ! -x "$at/target/release/cranetack" ]; then
    mkdir -p "$at"
    git archive "$commit" | tar -x -C "$at"
    echo "building $commit" >&2
    (cd "$at" && cargo build --quiet --release --locked -p cranetack-router --target-dir target)
fi
echo "$at"
