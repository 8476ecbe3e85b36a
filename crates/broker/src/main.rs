//! The `shard-broker` executable, which runs one broker as configured by its environment.

fn main() -> std::process::ExitCode {
    broker::run()
}
