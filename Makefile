# Tasks for people; CI runs .ci/run.
.PHONY: help build test lint run measure-control measure-fleet-size measure-lean measure-rehearsal measure-trace

help:
	@echo "build  the release build of all programs"
	@echo "test   formatting, lints and all tests, as CI does"
	@echo "lint   formatting and clippy"
	@echo "run    one broker, CONFIG=path of its config file"
	@echo "measure-trace    how fast traces are read; SIZE=small for a short one"
	@echo "measure-rehearsal  the simulation benchmark: every scripted fault scenario; SIZE=small for a short one"
	@echo "measure-lean     what a query costs beside AGAINST=path of an earlier build"
	@echo "measure-fleet-size  what a broker needs among 200 and 3,200 nodes; SIZE=small for a short one"
	@echo "measure-control  many brokers' versions in virtual time; SIZE=small for a short one"

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
	target/release/broker-bench measure control --size $(or $(SIZE),full)

# AGAINST=path of an earlier build of the program.
measure-lean:
	cargo build --release --locked --package broker --package broker-bench
	target/release/broker-bench measure lean --against $(AGAINST)

# One broker among 200 nodes and among 3,200; SIZE=small for a short one.
measure-fleet-size:
	cargo build --release --locked --package broker --package broker-bench
	target/release/broker-bench measure fleet-size --size $(or $(SIZE),full)

measure-trace:
	cargo build --release --locked --package broker-bench
	target/release/broker-bench measure trace --size $(or $(SIZE),full)

measure-rehearsal:
	cargo build --release --locked --package broker-bench
	target/release/broker-bench measure rehearsal --size $(or $(SIZE),full)
