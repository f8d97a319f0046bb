//! `yuccalift`: the operators' command line, one module for each subcommand.

use std::process::ExitCode;

use lexopt::prelude::{Long, Short, Value, ValueExt};

use crate::error::CommandError;

mod check;
mod cpu_time;
mod demo;
mod drain;
mod error;
mod experiment;
mod explain;
mod fleet;
mod input;
mod operator_client;
mod soak;
mod standin;
mod status;
mod table;
mod trace;

const HELP: &str = "\
yuccalift: the operators' command line of yuccalift

Usage: yuccalift COMMAND [OPTION]...

Commands:
  check       check settings and published documents, and show every fault
  explain     show what is in force for an account, and where each value came from
  status      show what a daemon tells of itself
  drain       start the graceful stop of a daemon
  demo        start stand-ins and three daemons in this process, and answer real queries
  standin     run one stand-in: platform, leaf or callers
  experiment  run a case against stand-ins and print what was measured
  soak        play random faults on real daemons and check the promises
  trace       print the course of one request from the logs of several daemons

Options:
  -h, --help     print this text; after a command, that command's
  -V, --version  print the version

Exit status: 0 good, 1 failed, 2 bad use or bad settings.
";

fn main() -> ExitCode {
    match run(lexopt::Parser::from_env()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("yuccalift: {error}");
            error.exit_code()
        }
    }
}

fn run(mut parser: lexopt::Parser) -> Result<(), CommandError> {
    let Some(argument) = parser.next()? else {
        return Err(lexopt::Error::from("a command is missing").into());
    };
    match argument {
        Short('h') | Long("help") => print!("{HELP}"),
        Short('V') | Long("version") => println!("yuccalift {}", env!("CARGO_PKG_VERSION")),
        Value(command) => return run_command(&command.string()?, parser),
        other => return Err(other.unexpected().into()),
    }
    Ok(())
}

fn run_command(command: &str, parser: lexopt::Parser) -> Result<(), CommandError> {
    match command {
        "check" => check::run(parser),
        "explain" => explain::run(parser),
        "status" => status::run(parser),
        "drain" => drain::run(parser),
        "demo" => demo::run(parser),
        "standin" => standin::run(parser),
        "experiment" => experiment::run(parser),
        "soak" => soak::run(parser),
        "trace" => trace::run(parser),
        other => Err(lexopt::Error::from(format!("no command is named {other:?}")).into()),
    }
}
