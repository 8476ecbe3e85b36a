//! The command line. Exit codes: 0 done; 1 the broker can't serve; 2 a mistake in the words, or in a file
//! that was checked; 3 a broker could not be asked.

use crate::{ConfigSource, config_rollout, serve};
use clap::{Parser, Subcommand};
use operator_config::Fitting;
use serde_json::{Value, json};
use settings::Document;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// The bound that `check` holds a file against.
const MOST: usize = 8 << 20;
/// How long a broker is waited for that is asked for its status.
const WITHIN: Duration = Duration::from_secs(5);

/// A broker that reads many shards for one query.
#[derive(Parser)]
#[command(
    name = "shard-broker",
    version,
    after_help = "Without a command the broker starts as EDGE_CONFIG, EDGE_NAME, EDGE_LISTEN and EDGE_DISCOVERY say.\n\n\
        Examples:\n  \
        EDGE_CONFIG=config.json shard-broker\n  \
        shard-broker serve --config config.json --operator deploy/operator.ini\n  \
        shard-broker check config.json\n  \
        shard-broker check --json version-12.json\n  \
        shard-broker reshape config.json --shape shape.ini --dry-run\n  \
        shard-broker reshape config.json --shape shape.ini --zone cremona --to new.json\n  \
        shard-broker control status --at 127.0.0.1:18001\n\n\
        Exit codes: 0 done, 1 can't serve, 2 a mistake in the words or in a checked file, 3 no broker answers."
)]
struct Words {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Serve until told to leave (SIGTERM).
    Serve {
        /// The broker's own file, JSON; EDGE_CONFIG where it is not told.
        #[arg(long, value_name = "FILE")]
        config: Option<String>,
        /// The operator's file, INI: what is switched on, and how.
        #[arg(long, value_name = "FILE")]
        operator: Option<PathBuf>,
    },
    /// List every mistake in a file, and start nothing: a broker's file, a version's document, or an
    /// operator's file.
    Check {
        /// The file; one that ends in .ini is an operator's.
        file: PathBuf,
        /// One JSON object for scripts.
        #[arg(long)]
        json: bool,
    },
    /// Make the counterpart of a broker's file for a deployment of another shape; list what could not be
    /// carried over. Nothing that is there already is written over.
    Reshape {
        /// The broker's file as it is, JSON; it stays as it is.
        old: PathBuf,
        /// What the new deployment looks like, INI; `deploy/shape.ini` has every key.
        #[arg(long, value_name = "FILE")]
        shape: PathBuf,
        /// The new file. There must be none of that name.
        #[arg(long, value_name = "FILE", required_unless_present = "dry_run")]
        to: Option<PathBuf>,
        /// This broker's zone, by name, where the shape file does not say it.
        #[arg(long, value_name = "NAME")]
        zone: Option<String>,
        /// Write nothing: only tell what would be.
        #[arg(long)]
        dry_run: bool,
        /// One JSON object for scripts.
        #[arg(long)]
        json: bool,
    },
    /// Versions from a control service.
    Control {
        #[command(subcommand)]
        command: ControlCommand,
    },
}

#[derive(Subcommand)]
enum ControlCommand {
    /// What a running broker truly runs.
    Status {
        /// The broker's `status_listen`.
        #[arg(long, value_name = "ADDRESS")]
        at: SocketAddr,
        /// One JSON object for scripts.
        #[arg(long)]
        json: bool,
    },
}

pub fn run() -> ExitCode {
    match Words::try_parse().map(|words| words.command) {
        Ok(Command::Serve { config, operator }) => begin(config, operator.as_deref()),
        Ok(Command::Check { file, json }) => check(&file, json),
        Ok(Command::Reshape { old, shape, to, zone, dry_run, json }) => {
            let to = to.filter(|_| !dry_run);
            reshape_file(&old, &shape, zone.as_deref(), to.as_deref(), json)
        }
        Ok(Command::Control { command: ControlCommand::Status { at, json } }) => {
            config_rollout::status(at, WITHIN, json)
        }
        Err(e) => {
            let code = if e.use_stderr() { 2 } else { 0 };
            // Nothing is left to tell it to where it can't be printed.
            let _ = e.print();
            ExitCode::from(code)
        }
    }
}

fn begin(config: Option<String>, operator: Option<&Path>) -> ExitCode {
    let fitting = match operator.map(read_operator).transpose() {
        Ok(fitting) => fitting.unwrap_or_default(),
        Err(mistakes) => return tell(operator.unwrap_or(Path::new("")), &mistakes, false),
    };
    // Guards against a setting that is misspelt or out of range and would be served as if it were not there. The
    // platform's form, without a command, may hold keys that are not known yet.
    let told = config.clone().or_else(|| std::env::var("EDGE_CONFIG").ok());
    if let Some(path) = told.filter(|path| Path::new(path).exists()) {
        let mistakes = check_document(Path::new(&path));
        if !mistakes.is_empty() {
            return tell(Path::new(&path), &mistakes, false);
        }
    }
    serve(&ConfigSource { config }, fitting)
}

fn read_operator(path: &Path) -> Result<Fitting, Vec<String>> {
    let text = std::fs::read_to_string(path).map_err(|e| vec![e.to_string()])?;
    operator_config::read(&text).map_err(|mistakes| mistakes.iter().map(ToString::to_string).collect())
}

/// Makes the new file, checks that a broker would start from it, and writes it where there is none.
fn reshape_file(old: &Path, shape: &Path, zone: Option<&str>, to: Option<&Path>, as_json: bool) -> ExitCode {
    let words = |list: &[settings_migration::Unfit]| list.iter().map(ToString::to_string).collect::<Vec<_>>();
    let shaped = std::fs::read_to_string(shape).map_err(|e| vec![e.to_string()]);
    let read =
        match shaped.and_then(|text| settings_migration::Shape::read(&text).map_err(|unfit| words(&unfit))) {
            Ok(read) => read,
            Err(mistakes) => return tell(shape, &mistakes, as_json),
        };
    let text = std::fs::read(old).map_err(|e| vec![e.to_string()]);
    let made = match text.and_then(|text| settings_migration::reshape(&text, &read, zone)) {
        Ok(made) => made,
        Err(mistakes) => return tell(old, &mistakes, as_json),
    };
    let unset =
        |name: &str| matches!(name, "EDGE_LISTEN" | "EDGE_DISCOVERY").then(|| "127.0.0.1:0".to_owned());
    if let Err(why) = crate::StartupConfig::read(made.text.as_bytes(), unset) {
        return tell(old, &[why], as_json);
    }
    let written =
        to.map(|to| std::fs::File::create_new(to).and_then(|mut f| f.write_all(made.text.as_bytes())));
    if let (Some(to), Some(Err(e))) = (to, &written) {
        return tell(to, &[e.to_string()], as_json);
    }
    if as_json {
        let left: Vec<_> = made.left.iter().map(|(key, why)| json!({"key": key, "why": why})).collect();
        println!("{}", json!({"old": old.display().to_string(), "written": written.is_some(), "left": left}));
        return ExitCode::SUCCESS;
    }
    made.left.iter().for_each(|(key, why)| println!("not carried over: `{key}`: {why}"));
    match to {
        Some(to) => {
            println!("{}: written; `shard-broker check` holds it against the rules again", to.display())
        }
        None => println!("nothing was written; --to FILE writes the new file"),
    }
    ExitCode::SUCCESS
}

fn check(path: &Path, as_json: bool) -> ExitCode {
    let mistakes = match path.extension().is_some_and(|ending| ending == "ini") {
        true => read_operator(path).err().unwrap_or_default(),
        false => check_document(path),
    };
    tell(path, &mistakes, as_json)
}

/// A broker's own file, whose settings are checked, or a document as a control service serves it.
fn check_document(path: &Path) -> Vec<String> {
    let text = match std::fs::read(path) {
        Ok(text) => text,
        Err(e) => return vec![e.to_string()],
    };
    let document = match Document::parse(&text, MOST) {
        Ok(document) => document,
        Err(why) => return vec![why.to_string()],
    };
    let settings = serde_json::from_slice::<Value>(&text)
        .ok()
        .and_then(|mut file| Some(file.get_mut("settings")?.take().to_string()));
    let Some(settings) = settings else {
        return settings::check(&document).iter().map(ToString::to_string).collect();
    };
    let mut mistakes = match Document::parse(settings.as_bytes(), MOST) {
        Ok(settings) => settings::check(&settings).iter().map(|m| format!("settings: {m}")).collect(),
        Err(why) => vec![format!("settings: {why}")],
    };
    // What stands around the settings; the addresses may come from the environment.
    let named = |name: &str| {
        let unset = matches!(name, "EDGE_LISTEN" | "EDGE_DISCOVERY").then(|| "127.0.0.1:0".to_owned());
        std::env::var(name).ok().or(unset.filter(|_| {
            let key = name.trim_start_matches("EDGE_").to_lowercase();
            serde_json::from_slice::<Value>(&text).is_ok_and(|file| file.get(&key).is_none())
        }))
    };
    if let Err(why) = crate::StartupConfig::read(&text, named)
        && mistakes.is_empty()
    {
        mistakes.push(why);
    }
    mistakes
}

fn tell(path: &Path, mistakes: &[String], as_json: bool) -> ExitCode {
    let sound = mistakes.is_empty();
    if as_json {
        println!("{}", json!({"file": path.display().to_string(), "sound": sound, "mistakes": mistakes}));
    } else if sound {
        println!("{}: sound", path.display());
    } else {
        mistakes.iter().for_each(|mistake| eprintln!("{}: {mistake}", path.display()));
        let next = "mend what is named, and check again: `shard-broker check FILE` starts nothing";
        eprintln!("{} mistakes; {next}", mistakes.len());
    }
    if sound { ExitCode::SUCCESS } else { ExitCode::from(2) }
}
