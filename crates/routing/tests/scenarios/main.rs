//! Plays the scenarios of this folder; `README.md` beside them has their notation.

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

/// How long a scenario goes on after its last statement.
const AFTERMATH: TimeSpan = TimeSpan(100_000);

#[rstest]
fn scenario(#[files("tests/scenarios/*.txt")] path: PathBuf) {
    let text = std::fs::read_to_string(&path).unwrap();
    let mut runner = ScenarioRunner::new();
    for statement in text.lines().flat_map(|line| line.split('#').next().unwrap_or("").split(';')) {
        let words: Words = statement.split_whitespace().collect();
        if !words.is_empty() {
            runner.play(words);
        }
    }
    // Whatever happens next, no query may stay open.
    runner.go_to(runner.now + AFTERMATH);
    assert!(runner.open.is_empty(), "left open: {:?}", runner.open);
}
