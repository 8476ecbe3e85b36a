//! Adapter that runs brokers inside the simulator. Reads batches of events from standard input and writes one reply
//! for each to standard output, until the input ends.

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
