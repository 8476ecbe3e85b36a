//! The mistakes found in a file, and their output.

use serde_json::json;
use std::fmt::Display;
use std::path::Path;
use std::process::ExitCode;

/// The exit code for a mistake in the arguments or in a checked file.
pub(super) const EXIT_MISTAKE: u8 = 2;

/// The mistakes found in a file, each as one line of text.
#[derive(Debug, Default)]
pub(super) struct Mistakes(Vec<String>);

impl Mistakes {
    /// Creates a list with a single mistake.
    pub(super) fn one(mistake: impl Display) -> Mistakes {
        Mistakes(vec![mistake.to_string()])
    }

    /// Creates a list from a slice of mistakes, such as all those found by one check.
    pub(super) fn from_slice(mistakes: &[impl Display]) -> Mistakes {
        Mistakes(mistakes.iter().map(ToString::to_string).collect())
    }

    /// Prefixes each mistake with the section of the file that contains it.
    pub(super) fn within(self, section: &str) -> Mistakes {
        Mistakes(self.0.iter().map(|mistake| format!("{section}: {mistake}")).collect())
    }

    /// Returns the mistakes as an error, or `Ok` if there are none.
    pub(super) fn into_result(self) -> Result<(), Mistakes> {
        if self.0.is_empty() { Ok(()) } else { Err(self) }
    }

    /// Prints the mistakes found in `file` and returns the exit code. The JSON form and the result of a file without
    /// mistakes are printed to standard output, lists of mistakes to standard error.
    pub(super) fn report(&self, file: &Path, as_json: bool) -> ExitCode {
        let is_sound = self.0.is_empty();
        if as_json {
            let file = file.display().to_string();
            println!("{}", json!({"file": file, "sound": is_sound, "mistakes": self.0}));
        } else if is_sound {
            println!("{}: sound", file.display());
        } else {
            self.print_list(file);
        }
        if is_sound { ExitCode::SUCCESS } else { ExitCode::from(EXIT_MISTAKE) }
    }

    fn print_list(&self, file: &Path) {
        for mistake in &self.0 {
            eprintln!("{}: {mistake}", file.display());
        }
        let next = "fix them and run `shard-broker check FILE` again, which does not start a broker";
        eprintln!("mistakes found: {}; {next}", self.0.len());
    }
}
