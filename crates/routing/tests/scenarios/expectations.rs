//! Expectations about the broker's effects, `> ...`.

use crate::runner::ScenarioRunner;
use crate::words::Words;

impl ScenarioRunner {
    /// Runs a turn and compares the effects since the last `at` statement or input with the expectation.
    pub fn expect(&mut self, expected: &Words) {
        self.turn();
        match expected[0] {
            "no" => {
                let unwanted = expected[1..].join(" ");
                let is_found = self.effects.iter().any(|effect| effect.starts_with(&unwanted));
                assert!(!is_found, "unexpected effect `{unwanted}` in {:?}", self.effects);
            }
            "count" => {
                let found = self.effects.iter().filter(|effect| effect.starts_with(expected[1])).count();
                assert_eq!(
                    found.to_string(),
                    expected[2],
                    "number of `{}` effects in {:?}",
                    expected[1],
                    self.effects
                );
            }
            _ => {
                let is_found = self.effects.iter().any(|effect| matches_words(expected, effect));
                assert!(is_found, "expected effect {expected:?} not found in {:?}", self.effects);
            }
        }
    }
}

/// Returns whether an effect begins with the expected words; `*` matches any word, and `a|b` matches either.
fn matches_words(expected: &Words, effect: &str) -> bool {
    let words: Words = effect.split(' ').collect();
    let is_same = |(expected, word): (&&str, &&str)| {
        expected.split('|').any(|alternative| alternative == *word || alternative == "*")
    };
    expected.len() <= words.len() && expected.iter().zip(&words).all(is_same)
}
