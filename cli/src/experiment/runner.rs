//! Runs a case: starts fleet and load, applies the faults at their times and collects the results.

use std::time::{Duration, Instant};

use yuccalift_core::PolicyKind;
use yuccalift_standins::{CallerLoad, LeafStandin, RunEvidence, RunningLoad};

use crate::cpu_time::DaemonCpuTime;
use crate::error::CommandError;
use crate::experiment::case::{ExperimentCase, FaultAction, FaultStep};
use crate::experiment::measure::{RunRecord, RunReport, make_report};
use crate::fleet::{FleetShape, TestFleet};

/// Time between two updates of the progress line.
const PROGRESS_PERIOD: Duration = Duration::from_millis(500);
/// Time between the start of the fleet and of the load, in which the daemons read the platform's
/// lists.
const SETTLE_TIME: Duration = Duration::from_millis(700);

/// Options of a run.
#[derive(Clone, Copy, Debug)]
pub struct RunOptions {
    /// Seed of the load and the leafs.
    pub seed: u64,
    /// Policy of the daemons.
    pub policy: PolicyKind,
    /// Time during which requests are sent.
    pub duration: Duration,
    /// Whether a progress line is written to standard error.
    pub shows_progress: bool,
}

/// Results of a run.
#[derive(Debug)]
pub struct RunOutcome {
    /// Measurements and violations.
    pub report: RunReport,
    /// Data from which the report was computed.
    pub record: RunRecord,
}

/// Runs a case once.
pub fn run_case(case: &ExperimentCase, options: RunOptions) -> Result<RunOutcome, CommandError> {
    let shape = FleetShape {
        policy: options.policy,
        seed: options.seed,
        ..case.shape()
    };
    let streams = case.streams(&shape, options.duration);
    let faults = case.faults(&shape, options.duration);
    let mut fleet = TestFleet::start(shape)?;
    std::thread::sleep(SETTLE_TIME);
    let cpu_time = DaemonCpuTime::start();
    let load = CallerLoad {
        daemons: fleet.daemon_list(),
        streams: streams.clone(),
        seed: options.seed,
        duration: options.duration,
    };
    let running = load
        .start()
        .map_err(|error| CommandError::failed("start callers", &error))?;
    let start = Instant::now();
    apply_faults(&mut fleet, &faults, start)?;
    if options.shows_progress {
        show_progress(case, options, start, &running);
    }
    let calls = running.join();
    let daemon_cpu_time = cpu_time.elapsed();
    let leafs = fleet.leaf_records();
    let record = RunRecord {
        arrivals: gather_arrivals(&fleet),
        platform: fleet.platform().calls(),
        elapsed: start.elapsed(),
        evidence: RunEvidence {
            calls,
            leafs,
            epochs: fleet.epochs().to_vec(),
            allows_refusals: case.allows_refusals(),
        },
        streams,
        daemon_cpu_time,
    };
    fleet.stop();
    Ok(RunOutcome {
        report: make_report(case, options, &record),
        record,
    })
}

fn apply_faults(
    fleet: &mut TestFleet,
    faults: &[FaultStep],
    start: Instant,
) -> Result<(), CommandError> {
    for step in faults {
        std::thread::sleep((start + step.at).saturating_duration_since(Instant::now()));
        apply_fault(fleet, &step.action)?;
    }
    Ok(())
}

fn apply_fault(fleet: &mut TestFleet, action: &FaultAction) -> Result<(), CommandError> {
    match action {
        FaultAction::Leafs { leafs, command } => {
            for &leaf in leafs {
                fleet.leafs().leafs()[leaf].command(command.clone());
            }
        }
        FaultAction::Platform(mode) => fleet.platform().set_mode(*mode),
        FaultAction::ChangeMap(change) => {
            let map = change(fleet.map().clone());
            fleet.publish_map(map)?;
        }
        FaultAction::MarkLeaving(leafs) => {
            for &leaf in leafs {
                fleet.mark_leaving(leaf);
            }
        }
        FaultAction::PartitionRemote => fleet.partition_remote(),
        FaultAction::HealRemote => fleet.heal_remote(),
        FaultAction::RestartDaemon(position) => fleet.restart_daemon(*position)?,
    }
    Ok(())
}

fn show_progress(
    case: &ExperimentCase,
    options: RunOptions,
    start: Instant,
    running: &RunningLoad,
) {
    while start.elapsed() < options.duration {
        std::thread::sleep(PROGRESS_PERIOD);
        eprint!(
            "\r{} {:?} seed {}: {:.0} of {} s, {} requests answered ",
            case.name,
            options.policy,
            options.seed,
            start.elapsed().as_secs_f64(),
            options.duration.as_secs(),
            running.finished(),
        );
    }
    eprintln!();
}

fn gather_arrivals(fleet: &TestFleet) -> Vec<u64> {
    let leafs = fleet.leafs().leafs().iter();
    let mut arrivals: Vec<u64> = leafs.flat_map(LeafStandin::arrivals).collect();
    arrivals.sort_unstable();
    arrivals
}
