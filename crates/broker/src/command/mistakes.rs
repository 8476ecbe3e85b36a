//! The mistakes in one file, as they are listed for whoever wrote it.

use serde_json::json;
use std::fmt::Display;
use std::path::Path;
use std::process::ExitCode;

/// The exit code for a mistake in the arguments, or in a file that was checked.
pub(super) const EXIT_MISTAKE: u8 = 2;

/// The mistakes in one file, each a text of one line.
#[derive(Debug, Default)]
pub(super) struct Mistakes(Vec<String>);

impl Mistakes {
    /// A single mistake.
    pub(super) fn one(mistake: impl Display) -> Mistakes {
        Mistakes(vec![mistake.to_string()])
    }

    /// All that a check found.
    pub(super) fn list(mistakes: &[impl Display]) -> Mistakes {
        Mistakes(mistakes.iter().map(ToString::to_string).collect())
    }

    /// The same mistakes, each with the name of the section of the file that it is in.
    pub(super) fn within(self, section: &str) -> Mistakes {
        Mistakes(self.0.iter().map(|mistake| format!("{section}: {mistake}")).collect())
    }

    /// An error if there are any.
    pub(super) fn into_result(self) -> Result<(), Mistakes> {
        if self.0.is_empty() { Ok(()) } else { Err(self) }
    }

    /// Prints what was found in `file`, and returns the exit code for it.
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
        let next = "mend what is named, and check again: `shard-broker check FILE` starts nothing";
        eprintln!("{} mistakes; {next}", self.0.len());
    }
}
