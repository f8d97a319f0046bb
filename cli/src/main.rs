//! `yuccalift`: the command line for operators, with one module for each subcommand.

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
mod explain_request;
mod fleet;
mod input;
mod operator_client;
mod soak;
mod standin;
mod status;
mod table;
mod trace;

const HELP: &str = "\
yuccalift: the command line for operators of yuccalift

Usage: yuccalift COMMAND [OPTION]...

Commands:
  check       check settings and published documents, and report every error
  explain     show the effective settings of an account and the origin of each value
  status      show the status of a daemon
  drain       start the graceful stop of a daemon
  demo        run stand-ins and three daemons in this process and answer real queries
  standin     run one stand-in: platform, leaf or callers
  experiment  run an experiment against stand-ins and print its measurements
  soak        inject random faults into real daemons and check the guarantees
  trace       print the log lines of one request from the logs of several daemons
  where       ask a relay where a request would be sent now, and why

Options:
  -h, --help     print this help; after a command, the help of that command
  -V, --version  print the version

Exit status: 0 success, 1 failure, 2 invalid usage or settings.
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
        "where" => explain_request::run(parser),
        other => Err(lexopt::Error::from(format!("no command is named {other:?}")).into()),
    }
}
