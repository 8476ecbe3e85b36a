# Tasks for people; CI runs .ci/run.
.PHONY: help build test lint run

help:
	@echo "build  the release build of all programs"
	@echo "test   all tests"
	@echo "lint   formatting and clippy"
	@echo "run    one broker, CONFIG=path of its config file"

build:
	cargo build --release --locked

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

run: build
	EDGE_CONFIG=$(CONFIG) target/release/barleydrum
