# What people do with this repository. `make test` is what CI runs.
.PHONY: build test lint run toy

build:
	cargo build --release --locked

lint:
	cargo fmt --all -- --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

test: lint build
	cargo test --workspace --locked

# A router with the example configuration; `make toy` in another terminal gives it workers.
run: build
	target/release/cranetack serve --config examples/config.json --inference deploy/inference.toml

toy:
	cargo run --release --locked -p cranetack-router --example toy
