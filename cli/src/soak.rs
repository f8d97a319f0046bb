//! `yuccalift soak`: random faults on real daemons of this machine, and the promises checked.

use std::time::Duration;

use lexopt::prelude::{Long, Short, ValueExt};
use yuccalift_platform_standins::site::sibling_program;
use yuccalift_platform_standins::soak::{
    DAEMONS, FaultPlan, GuaranteeViolation, check_guarantees, request_log_lines, run_soak,
};

use crate::error::CommandError;

const HELP: &str = "\
yuccalift soak: random faults on real daemons of this machine, and the promises checked

Usage: yuccalift soak [--seed N] [--seconds S] [--site N]

Options:
  --seed N     the seed of the fault plan, 1 if absent
  --seconds S  how long the load runs, 30 if absent, 12 to 3600
  --site N     a number from 0 to 250 that tells soaks apart that run at once

Exit status: 0 every promise kept, 1 one broken, 2 bad use.
";

/// The targets of the soak's site: three for each of six services.
const TARGETS: usize = 18;
/// How many broken promises are printed.
const PRINTED: usize = 10;

struct SoakOptions {
    seed: u64,
    seconds: u64,
    site: u8,
}

/// Runs the command.
///
/// # Errors
///
/// [`CommandError::Failed`] if a promise was broken.
pub fn run(parser: lexopt::Parser) -> Result<(), CommandError> {
    let Some(options) = read_options(parser)? else {
        print!("{HELP}");
        return Ok(());
    };
    let length = Duration::from_secs(options.seconds);
    let plan = FaultPlan::new(options.seed, length, usize::from(DAEMONS), TARGETS);
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
    let broken = check_guarantees(&record);
    let served = record
        .calls
        .iter()
        .filter(|call| call.result.status == Some(200));
    println!("{} calls, {} served", record.calls.len(), served.count());
    if broken.is_empty() {
        println!("every promise was kept");
        return Ok(());
    }
    for entry in broken.iter().take(PRINTED) {
        print_broken(entry);
    }
    if let Some(request) = broken.iter().find_map(|entry| entry.request.as_deref()) {
        println!("the course of {request}:");
        for line in request_log_lines(&site, request) {
            println!("  {line}");
        }
    }
    let times = format!("promises were broken {} times", broken.len());
    Err(CommandError::failed("soak", &times))
}

fn print_broken(broken: &GuaranteeViolation) {
    let request = broken.request.as_deref().unwrap_or("-");
    println!(
        "  {}: {} (request {request})",
        broken.guarantee, broken.observed
    );
}

fn read_options(mut parser: lexopt::Parser) -> Result<Option<SoakOptions>, lexopt::Error> {
    let mut options = SoakOptions {
        seed: 1,
        seconds: 30,
        site: 0,
    };
    while let Some(argument) = parser.next()? {
        match argument {
            Short('h') | Long("help") => return Ok(None),
            Long("seed") => options.seed = parser.value()?.parse()?,
            Long("seconds") => options.seconds = parser.value()?.parse()?,
            Long("site") => options.site = parser.value()?.parse()?,
            other => return Err(other.unexpected()),
        }
    }
    if !(12..=3600).contains(&options.seconds) || options.site > 250 {
        return Err("--seconds is from 12 to 3600, and --site from 0 to 250".into());
    }
    Ok(Some(options))
}
