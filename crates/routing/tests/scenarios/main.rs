//! Runs the scenarios in this directory; their notation is described in `README.md` next to this file.

mod configuration;
mod events;
mod expectations;
mod runner;
mod words;

use routing::TimeSpan;
use rstest::rstest;
use runner::ScenarioRunner;
use std::path::PathBuf;
use words::Words;

/// How long a scenario continues after its last statement.
const SETTLE_TIME: TimeSpan = TimeSpan(100_000);

#[rstest]
fn scenario(#[files("tests/scenarios/*.txt")] path: PathBuf) {
    let text = std::fs::read_to_string(&path).unwrap();
    let mut runner = ScenarioRunner::new();
    for statement in text.lines().flat_map(|line| line.split('#').next().unwrap_or("").split(';')) {
        let words: Words = statement.split_whitespace().collect();
        if !words.is_empty() {
            runner.execute(words);
        }
    }
    // Every query must have been closed by then.
    runner.advance(runner.now + SETTLE_TIME);
    assert!(runner.open.is_empty(), "queries without a final response: {:?}", runner.open);
}
