//! Statements about what must have been done, `> ...`.

use crate::runner::ScenarioRunner;
use crate::words::Words;

impl ScenarioRunner {
    /// Takes a turn and holds what was done since the last moment against what is expected.
    pub fn expect(&mut self, expected: &Words) {
        self.turn();
        match expected[0] {
            "no" => {
                let unwanted = expected[1..].join(" ");
                let is_done = self.effects.iter().any(|effect| effect.starts_with(&unwanted));
                assert!(!is_done, "{unwanted} in {:?}", self.effects);
            }
            "count" => {
                let found = self.effects.iter().filter(|effect| effect.starts_with(expected[1])).count();
                assert_eq!(found.to_string(), expected[2], "{} in {:?}", expected[1], self.effects);
            }
            _ => {
                let is_done = self.effects.iter().any(|effect| fits(expected, effect));
                assert!(is_done, "{expected:?} not in {:?}", self.effects);
            }
        }
    }
}

/// Whether an effect begins with the expected words; `*` stands for any, `a|b` for either.
fn fits(expected: &Words, effect: &str) -> bool {
    let words: Words = effect.split(' ').collect();
    let is_same = |(expected, word): (&&str, &&str)| {
        expected.split('|').any(|alternative| alternative == *word || alternative == "*")
    };
    expected.len() <= words.len() && expected.iter().zip(&words).all(is_same)
}
