# Tasks for people; CI runs .ci/run.
.PHONY: help build test lint run measure-control measure-fleet-size measure-lean measure-rehearsal measure-trace

help:
	@echo "build  the release build of all programs"
	@echo "test   formatting, lints and all tests, as CI does"
	@echo "lint   formatting and clippy"
	@echo "run    one broker, CONFIG=path of its config file"
	@echo "measure-rehearsal   every scenario of scripted faults, simulated; SIZE=small for a short run"
	@echo "measure-trace       reading speed of cluster traces, and an overload day; SIZE=small for a short run"
	@echo "measure-control     how fast brokers converge on a configuration; SIZE=small for a short run"
	@echo "measure-lean        CPU and memory of a query, beside an earlier build: AGAINST=path of its program"
	@echo "measure-fleet-size  what a broker needs among 200 and 3,200 nodes; SIZE=small for a short run"

build:
	cargo build --release --locked

test:
	bash .ci/check

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

run: build
	EDGE_CONFIG=$(CONFIG) target/release/shard-broker

measure-control:
	cargo build --release --locked --package broker-bench
	target/release/broker-bench measure rollout --size $(or $(SIZE),full)

# AGAINST=path of an earlier build of the broker program.
measure-lean:
	cargo build --release --locked --package broker --package broker-bench
	target/release/broker-bench measure footprint --against $(AGAINST)

measure-fleet-size:
	cargo build --release --locked --package broker --package broker-bench
	target/release/broker-bench measure fleet-size --size $(or $(SIZE),full)

measure-trace:
	cargo build --release --locked --package broker-bench
	target/release/broker-bench measure trace --size $(or $(SIZE),full)

measure-rehearsal:
	cargo build --release --locked --package broker-bench
	target/release/broker-bench measure simulation --size $(or $(SIZE),full)
