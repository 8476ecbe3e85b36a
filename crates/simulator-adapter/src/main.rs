//! Hosts brokers on the simulator's binary wire: reads batches on standard input and answers each on standard
//! output, until the input ends.

mod broker_host;
mod serve;
#[cfg(test)]
mod tests;
mod wire;

use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    match serve::serve(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
