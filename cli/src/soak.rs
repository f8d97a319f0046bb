//! `yuccalift soak`: injects random faults into real daemons on this machine and checks the
//! guarantees.

use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

use lexopt::prelude::{Long, Short, ValueExt};
use yuccalift_platform_standins::site::{RelaySite, sibling_program};
use yuccalift_platform_standins::soak::{
    FaultPlan, GuaranteeViolation, RecordedCall, SoakRecord, check_guarantees, request_log_lines,
    run_soak, shed_requests,
};

use crate::error::CommandError;

const HELP: &str = "\
yuccalift soak: inject random faults into real daemons on this machine and check the guarantees

Usage: yuccalift soak [--seed N] [--seconds S] [--daemons N] [--site N] [--logs DIR]

Options:
  --seed N     seed of the fault plan (default 1)
  --seconds S  duration of the load, 12 to 3600 (default 30)
  --daemons N  number of daemons, 1 to 200 (default 3)
  --site N     number from 0 to 250, different for each soak that runs at the same time
               (default 0)
  --logs DIR   folder to which the daemons' log lines and the calls are written if a guarantee is
               violated; it is created if needed

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
    logs: Option<PathBuf>,
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
    if let Some(folder) = &options.logs
        && let Err(error) = write_logs(folder, &record, &site)
    {
        println!("the logs can't be written to {}: {error}", folder.display());
    }
    let message = format!("guarantees were violated {} times", violations.len());
    Err(CommandError::failed("soak", &message))
}

/// Writes a file for each daemon's log lines, and one for the calls in the order of their beginning.
fn write_logs(folder: &Path, record: &SoakRecord, site: &RelaySite) -> io::Result<()> {
    std::fs::create_dir_all(folder)?;
    for (index, daemon) in site.daemons.iter().enumerate() {
        let lines = daemon.log_lines_containing("").join("\n");
        std::fs::write(folder.join(format!("daemon-{index}.log")), lines)?;
    }
    let mut calls: Vec<&RecordedCall> = record.calls.iter().collect();
    calls.sort_by_key(|call| call.result.sent);
    let first = calls.first().map(|call| call.result.sent);
    let lines = calls.iter().map(|call| {
        let sent = first.map(|first| call.result.sent.saturating_duration_since(first));
        format!(
            "{:.3} daemon {} {} {}: {:?} after {:.3?}\n",
            sent.unwrap_or_default().as_secs_f64(),
            call.daemon,
            call.request.id,
            call.request_line,
            call.result.status,
            call.result.took
        )
    });
    std::fs::write(folder.join("calls.log"), lines.collect::<String>())
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
        logs: None,
    };
    while let Some(argument) = parser.next()? {
        match argument {
            Short('h') | Long("help") => return Ok(None),
            Long("seed") => options.seed = parser.value()?.parse()?,
            Long("seconds") => options.seconds = parser.value()?.parse()?,
            Long("daemons") => options.daemons = parser.value()?.parse()?,
            Long("site") => options.site = parser.value()?.parse()?,
            Long("logs") => options.logs = Some(parser.value()?.into()),
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
