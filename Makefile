# The commands for work on this repository. CI runs `make test`.
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

# Runs a router with the example configuration. Its endpoints are started by `make example-servers` in another terminal.
run: build
	target/release/cranetack serve --config examples/config.json --inference deploy/inference.toml

example-servers:
	cargo run --release --locked -p cranetack-router --example example_servers

# Runs the conformance suite. `make example-servers` and `make run` must be running.
conform: build
	target/release/cranetack conform --base http://127.0.0.1:8090

# Measures the inference API and an earlier version of it, which is built once under target/.
measure-front: build
	cargo build --release --locked -p cranetack-bench
	target/release/measure-front --baseline "$$(crates/bench/baseline.sh 3d14c4c)"

# Runs real routers on loopback under overlapping faults, which are drawn from seeds. The oracle checks the rules. Takes two
# minutes at most.
soak: build
	cargo build --release --locked -p cranetack-soak -p cranetack-syscall-fault-shim
	target/release/soak --seeds 4
