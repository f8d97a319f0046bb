//! `yuccalift soak`: injects random faults into real daemons on this machine and checks the
//! guarantees.

use std::time::Duration;

use lexopt::prelude::{Long, Short, ValueExt};
use yuccalift_platform_standins::site::sibling_program;
use yuccalift_platform_standins::soak::{
    FaultPlan, GuaranteeViolation, check_guarantees, request_log_lines, run_soak, shed_requests,
};

use crate::error::CommandError;

const HELP: &str = "\
yuccalift soak: inject random faults into real daemons on this machine and check the guarantees

Usage: yuccalift soak [--seed N] [--seconds S] [--daemons N] [--site N]

Options:
  --seed N     seed of the fault plan (default 1)
  --seconds S  duration of the load, 12 to 3600 (default 30)
  --daemons N  number of daemons, 1 to 200 (default 3)
  --site N     number from 0 to 250, different for each soak that runs at the same time
               (default 0)

Exit status: 0 no guarantee violated, 1 at least one violated, 2 invalid usage.
";

/// Number of targets of the soak's site: three for each of six services.
const TARGETS: usize = 18;
/// Maximum number of violations that are printed.
const MAX_PRINTED: usize = 10;

struct SoakOptions {
    seed: u64,
    seconds: u64,
    daemons: u8,
    site: u8,
}

/// Runs the subcommand.
///
/// # Errors
///
/// [`CommandError::Failed`] if a guarantee was violated.
pub fn run(parser: lexopt::Parser) -> Result<(), CommandError> {
    let Some(options) = read_options(parser)? else {
        print!("{HELP}");
        return Ok(());
    };
    let length = Duration::from_secs(options.seconds);
    let plan = FaultPlan::new(options.seed, length, options.daemons, TARGETS);
    println!(
        "seed {}, {} s, {} faults",
        plan.seed,
        options.seconds,
        plan.faults.len()
    );
    for fault in &plan.faults {
        println!(
            "  {:>7.2?} for {:>7.2?}  {:?}",
            fault.at, fault.duration, fault.kind
        );
    }
    let (record, site) = run_soak(&plan, &sibling_program("yuccaliftd"), options.site);
    let violations = check_guarantees(&record);
    let served = record
        .calls
        .iter()
        .filter(|call| call.result.status == Some(200));
    let shed = shed_requests(&site);
    println!(
        "{} calls, {} served, at least {} shed: {shed:?}",
        record.calls.len(),
        served.count(),
        shed.values().sum::<u64>()
    );
    if violations.is_empty() {
        println!("no guarantee was violated");
        return Ok(());
    }
    for violation in violations.iter().take(MAX_PRINTED) {
        print_violation(violation);
    }
    if let Some(request) = violations
        .iter()
        .find_map(|violation| violation.request.as_deref())
    {
        println!("log lines of {request}:");
        for line in request_log_lines(&site, request) {
            println!("  {line}");
        }
    }
    let message = format!("guarantees were violated {} times", violations.len());
    Err(CommandError::failed("soak", &message))
}

fn print_violation(violation: &GuaranteeViolation) {
    let request = violation.request.as_deref().unwrap_or("-");
    println!(
        "  {}: {} (request {request})",
        violation.guarantee, violation.observed
    );
}

/// Parses the command line. Returns `None` if help was requested.
fn read_options(mut parser: lexopt::Parser) -> Result<Option<SoakOptions>, lexopt::Error> {
    let mut options = SoakOptions {
        seed: 1,
        seconds: 30,
        daemons: 3,
        site: 0,
    };
    while let Some(argument) = parser.next()? {
        match argument {
            Short('h') | Long("help") => return Ok(None),
            Long("seed") => options.seed = parser.value()?.parse()?,
            Long("seconds") => options.seconds = parser.value()?.parse()?,
            Long("daemons") => options.daemons = parser.value()?.parse()?,
            Long("site") => options.site = parser.value()?.parse()?,
            other => return Err(other.unexpected()),
        }
    }
    if !(12..=3600).contains(&options.seconds) {
        return Err("--seconds must be from 12 to 3600".into());
    }
    if !(1..=200).contains(&options.daemons) || options.site > 250 {
        return Err("--daemons must be from 1 to 200, and --site from 0 to 250".into());
    }
    Ok(Some(options))
}
