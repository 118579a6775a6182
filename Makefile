# What people do with this repository. `make test` is what CI runs.
.PHONY: build test lint run example-servers conform measure-front soak

build:
	cargo build --release --locked

lint:
	cargo fmt --all -- --check
	cargo clippy --workspace --all-targets --locked -- -D warnings
	RUSTDOCFLAGS="-D warnings" cargo doc --workspace --no-deps --locked --quiet
	.ci/check-docs

test: lint build
	.ci/test

# A router with the example configuration; `make example-servers` in another terminal gives it servers.
run: build
	target/release/cranetack serve --config examples/config.json --inference deploy/inference.toml

example-servers:
	cargo run --release --locked -p cranetack-router --example example_servers

# The conformance suite, against `make example-servers` and `make run`.
conform: build
	target/release/cranetack conform --base http://127.0.0.1:8090

# The inference API beside an earlier version, which is built once under target/.
measure-front: build
	cargo build --release --locked -p cranetack-bench
	target/release/measure-front --baseline "$$(crates/bench/baseline.sh 3d14c4c)"

# Real routers on loopback, through overlapping faults drawn from seeds; the rules are the oracle. Bounded: two minutes.
soak: build
	cargo build --release --locked -p cranetack-soak -p cranetack-syscall-fault-shim
	target/release/soak --seeds 4
