//! The laboratory: measures the product's parts at size, in virtual time. Figures it prints are simulated.
//! Exit codes: 0 the measure passed, 1 it did not, 2 a mistake in the words.

mod fleet;
mod lean;
mod versions;

use clap::{Parser, Subcommand, ValueEnum};
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(
    name = "barleydrum-lab",
    version,
    after_help = "Examples:\n  barleydrum-lab measure control\n  barleydrum-lab measure control --size small --seed 7"
)]
struct Words {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Measure a part; the last line is one JSON object.
    Measure {
        what: What,
        /// How large.
        #[arg(long, default_value = "full")]
        size: Size,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// lean: the program.
        #[arg(long, default_value = "target/release/barleydrum")]
        program: PathBuf,
        /// lean: the earlier build.
        #[arg(long, default_value = "target/release/barleydrum")]
        against: PathBuf,
    },
}

#[derive(Clone, Copy, ValueEnum)]
enum What {
    /// A fleet's versions: how it comes together when its control service restarts.
    Control,
    /// What a retrieval costs the platform's program, beside an earlier build of it, in turn.
    Lean,
}

#[derive(Clone, Copy, ValueEnum)]
enum Size {
    Small,
    Full,
}

fn main() -> ExitCode {
    let Command::Measure { what, size, seed, program, against } = Words::parse().command;
    let brokers = match size {
        Size::Small => 500,
        Size::Full => 5000,
    };
    let pass = match what {
        What::Control => Ok(versions::measure(brokers, seed)),
        What::Lean => lean::measure(&program, &against),
    };
    match pass {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(why) => {
            eprintln!("barleydrum-lab: {why}");
            ExitCode::FAILURE
        }
    }
}
