#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They use the standard library alone, so nothing is fetched.
cd "$(dirname "$0")/lib-2" || exit 1
exec cargo build --release --locked --offline
