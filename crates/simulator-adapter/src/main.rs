//! Reads batches on standard input, answers each on standard output, until the input ends.

mod host;
#[cfg(test)]
mod tests;
mod wire;

use std::io::{self, Read, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match serve(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("simulator-adapter: {why}");
            ExitCode::FAILURE
        }
    }
}

fn serve(mut input: impl Read, mut output: impl Write) -> Result<(), String> {
    let mut host = host::Host::default();
    let mut header = [0; wire::HEADER];
    let mut body = Vec::new();
    loop {
        let got = read_up_to(&mut input, &mut header).map_err(|e| e.to_string())?;
        if got == 0 {
            return Ok(());
        }
        if got < header.len() {
            return Err(format!("the input ends at byte {got} of a frame's header"));
        }
        let (now, length) = wire::read_header(&header);
        body.clear();
        // Grows with what comes, not with what the length field claims.
        let got = input.by_ref().take(length as u64).read_to_end(&mut body).map_err(|e| e.to_string())?;
        if got < length {
            return Err(format!("the input ends at byte {} of a frame", wire::HEADER + got));
        }
        let batch = wire::read_body(now, &body).map_err(|e| e.to_string())?;
        let reply = host.play(batch)?;
        output.write_all(&reply.frame()).and_then(|()| output.flush()).map_err(|e| e.to_string())?;
    }
}

/// Fills the buffer as far as the input goes.
fn read_up_to(input: &mut impl Read, buffer: &mut [u8]) -> io::Result<usize> {
    let mut got = 0;
    while got < buffer.len() {
        match input.read(&mut buffer[got..]) {
            Ok(0) => break,
            Ok(more) => got += more,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(got)
}
