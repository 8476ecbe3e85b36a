//! The program `barleydrum`: one broker on sockets, as its environment says.

fn main() -> std::process::ExitCode {
    broker::run()
}
