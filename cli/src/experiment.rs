//! `yuccalift experiment`: runs an experiment against stand-ins and prints the measurements.
//!
//! - [`case`]: definition of a case: fleet, load and a schedule of faults.
//! - [`cases`]: the cases, one module each.
//! - [`runner`]: runs a case.
//! - [`measure`]: measurements and violations of a run.
//! - [`spread`]: propagation of configuration changes over many control planes.
//! - [`partition`]: the same while a data centre is partitioned from the others.
//! - [`report`]: runs many cases with several seeds and writes tables and plots.
//!
//! There is no case `pause`: the daemons run as threads of this process, and threads can't be
//! stopped individually. Holding back the bytes of a link does not replace it, because the clocks
//! and timers of a paused daemon stand still as well. `cli/tests/process/daemon_faults.rs` pauses
//! daemons that run as separate processes, and compares the results of their callers with what the
//! leafs executed.

use std::io::IsTerminal;
use std::time::Duration;

use lexopt::prelude::{Long, Short, Value, ValueExt};
use serde::Serialize;
use yuccalift_core::PolicyKind;

use crate::error::CommandError;
use crate::experiment::case::{ExperimentCase, find_case};
use crate::experiment::measure::RunReport;
use crate::experiment::partition::run_partition;
use crate::experiment::runner::{RunOptions, run_case};
use crate::experiment::spread::{SpreadReport, run_spread};

mod case;
mod cases;
mod measure;
mod partition;
mod plot;
mod report;
mod runner;
mod spread;

const HELP: &str = "\
Usage: yuccalift experiment --list
       yuccalift experiment report --out DIR [--seeds N] [--seconds S] [--commit ID] [NAME]...
       yuccalift experiment NAME [--seed N] [--policy full|baseline|both] [--seconds S] [--json]
       yuccalift experiment config-spread [--daemons N] [--seconds S] [--json]
       yuccalift experiment partition [--daemons N] [--json]

NAME is an experiment of the list, or a combination such as crest+straggler: the fleet and the load
of the first, with the faults of both. With --json each run prints one JSON object on one line.
The report runs the named experiments, or all, with several seeds. It writes report.md, which names
the commit given with --commit, and plots in a folder next to it.
There is no experiment that pauses a daemon: the daemons here are threads, which can't be stopped
individually. Tests with processes do it: cargo test -p yuccalift --test process daemon_faults

Exit status: 0 success, 1 a guarantee was violated or the run failed, 2 invalid usage.
";

/// Seed of a run if the command line gives none.
const DEFAULT_SEED: u64 = 1;

/// Action that the command line requests.
enum ExperimentCommand {
    /// Help or the list of experiments, which has already been printed.
    Printed,
    /// A report; the parser holds its remaining arguments.
    Report(lexopt::Parser),
    /// Runs of one experiment.
    Run(ExperimentArgs),
}

/// Arguments for the runs of one experiment.
struct ExperimentArgs {
    name: Box<str>,
    seed: u64,
    policies: Vec<PolicyKind>,
    duration: Option<Duration>,
    daemons: usize,
    json: bool,
}

/// Runs the subcommand.
pub fn run(parser: lexopt::Parser) -> Result<(), CommandError> {
    match read_args(parser)? {
        ExperimentCommand::Printed => Ok(()),
        ExperimentCommand::Report(parser) => report::run(parser),
        ExperimentCommand::Run(args) => run_experiment(&args),
    }
}

fn read_args(mut parser: lexopt::Parser) -> Result<ExperimentCommand, CommandError> {
    let mut name = None;
    let mut args = ExperimentArgs {
        name: "".into(),
        seed: DEFAULT_SEED,
        policies: vec![PolicyKind::Full],
        duration: None,
        daemons: spread::DEFAULT_DAEMONS,
        json: false,
    };
    while let Some(argument) = parser.next()? {
        match argument {
            Short('h') | Long("help") => {
                print!("{HELP}");
                return Ok(ExperimentCommand::Printed);
            }
            Long("list") => {
                print_list();
                return Ok(ExperimentCommand::Printed);
            }
            Long("seed") => args.seed = parser.value()?.parse()?,
            Long("policy") => args.policies = read_policies(&parser.value()?.string()?)?,
            Long("seconds") => args.duration = Some(Duration::from_secs(parser.value()?.parse()?)),
            Long("daemons") => args.daemons = parser.value()?.parse()?,
            Long("json") => args.json = true,
            Value(value) if name.is_none() => {
                let value = value.string()?;
                if value == "report" {
                    return Ok(ExperimentCommand::Report(parser));
                }
                name = Some(value);
            }
            other => return Err(other.unexpected().into()),
        }
    }
    let name = name.ok_or_else(|| lexopt::Error::from("the name of the experiment is missing"))?;
    args.name = name.into();
    Ok(ExperimentCommand::Run(args))
}

fn read_policies(text: &str) -> Result<Vec<PolicyKind>, CommandError> {
    match text {
        "full" => Ok(vec![PolicyKind::Full]),
        "baseline" => Ok(vec![PolicyKind::Baseline]),
        "both" => Ok(vec![PolicyKind::Full, PolicyKind::Baseline]),
        other => {
            let message = format!("--policy: found {other:?}; allowed: full, baseline, both");
            Err(lexopt::Error::from(message).into())
        }
    }
}

fn print_list() {
    for case in cases::ALL {
        println!("{:18} {}", case.name, case.summary);
    }
    println!("{:18} {}", spread::NAME, spread::SUMMARY);
    println!("{:18} {}", partition::NAME, partition::SUMMARY);
}

fn run_experiment(args: &ExperimentArgs) -> Result<(), CommandError> {
    let duration = args.duration.unwrap_or(spread::DEFAULT_DURATION);
    match args.name.as_ref() {
        spread::NAME => {
            return print_spread_report(args, &run_spread(args.daemons, args.seed, duration)?);
        }
        partition::NAME => {
            return print_spread_report(args, &run_partition(args.daemons, args.seed)?);
        }
        _ => {}
    }
    let case = find_case(&args.name)?;
    let mut violation_count = 0;
    for &policy in &args.policies {
        let report = run_with_policy(&case, args, policy)?;
        print_report(&report, args.json)?;
        violation_count += report.violations.len();
    }
    require_no_violations(&args.name, violation_count)
}

fn print_spread_report(args: &ExperimentArgs, report: &SpreadReport) -> Result<(), CommandError> {
    if args.json {
        print_json(report)?;
    } else {
        print!("{report}");
    }
    require_no_violations(&args.name, report.violations.len())
}

fn require_no_violations(name: &str, violations: usize) -> Result<(), CommandError> {
    if violations == 0 {
        return Ok(());
    }
    let step = format!("experiment {name}");
    Err(CommandError::failed(
        step,
        &format!("{violations} violations"),
    ))
}

fn run_with_policy(
    case: &ExperimentCase,
    args: &ExperimentArgs,
    policy: PolicyKind,
) -> Result<RunReport, CommandError> {
    let options = RunOptions {
        seed: args.seed,
        policy,
        duration: args.duration.unwrap_or(case.duration),
        shows_progress: std::io::stderr().is_terminal(),
    };
    run_case(case, options).map(|outcome| outcome.report)
}

fn print_report(report: &RunReport, json: bool) -> Result<(), CommandError> {
    if json {
        print_json(report)?;
    } else {
        print!("{report}");
    }
    Ok(())
}

fn print_json(report: &impl Serialize) -> Result<(), CommandError> {
    let line = serde_json::to_string(report)
        .map_err(|error| CommandError::failed("write report", &error))?;
    println!("{line}");
    Ok(())
}
