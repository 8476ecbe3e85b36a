//! The program `shard-broker`: one broker on sockets, as its environment says.

fn main() -> std::process::ExitCode {
    broker::run()
}
