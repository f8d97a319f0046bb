//! `yuccalift demo`: runs stand-ins and three daemons in this process and answers real queries.

use std::io::Write;
use std::time::Duration;

use lexopt::prelude::{Long, Short};
use yuccalift_core::PolicyKind;
use yuccalift_standins::leaf::SlowPeriods;
use yuccalift_standins::{
    CallKind, CallRecord, CallResult, CallerLoad, LeafCommand, LeafOptions, LoadStream, RateStep,
    RunningLoad, StreamText,
};

use crate::error::CommandError;
use crate::fleet::{COLLECTION, FleetShape, TestFleet};

const HELP: &str = "\
Usage: yuccalift demo

Starts a platform, 24 leafs and three daemons as threads of this process, on loopback. Two of the
leafs have slow periods. Callers search for a few seconds, then a table shows the results.
";

/// Account of the demo's callers.
const ACCOUNT: &str = "race-desk";
/// Templates and accounts that the platform stand-in publishes.
const ACCOUNTS: &str = "\
templates:
  desk:
    collections: [tags]
    urgency: urgent
    patience: 500ms
    deadline: 2s
    repeat: hedge
accounts:
  race-desk:
    template: desk
";
/// Time during which callers send requests.
const DURATION: Duration = Duration::from_secs(6);
/// Searches per second.
const RATE: f64 = 60.0;
/// Maximum time that a caller waits for an answer.
const CALLER_TIMEOUT: Duration = Duration::from_secs(2);
/// Indices of the leafs with slow periods.
const SLOW_LEAFS: [usize; 2] = [4, 13];
/// Slow periods of these leafs.
const SLOW_PERIODS: SlowPeriods = SlowPeriods {
    factor: 10.0,
    first: Duration::from_secs(1),
    length: Duration::from_millis(1_500),
    period: Duration::from_secs(3),
};
/// Time between two updates of the progress line.
const PROGRESS_PERIOD: Duration = Duration::from_millis(250);

/// Runs the subcommand.
pub fn run(mut parser: lexopt::Parser) -> Result<(), CommandError> {
    match parser.next()? {
        None => run_demo(),
        Some(Short('h') | Long("help")) => {
            print!("{HELP}");
            Ok(())
        }
        Some(other) => Err(other.unexpected().into()),
    }
}

fn run_demo() -> Result<(), CommandError> {
    let fleet = TestFleet::start(demo_shape())?;
    println!("platform {}", fleet.platform().address());
    for address in fleet.caller_addresses() {
        println!("daemon   {address}");
    }
    println!(
        "leafs    {}, two of them with slow periods",
        fleet.shape().leafs()
    );
    for leaf in SLOW_LEAFS {
        fleet.leafs().leafs()[leaf].command(LeafCommand::SetSlowPeriods(Some(SLOW_PERIODS)));
    }
    let load = CallerLoad {
        daemons: fleet.daemon_list(),
        streams: vec![demo_stream()],
        seed: 1,
        duration: DURATION,
    };
    let running = load
        .start()
        .map_err(|error| CommandError::failed("start callers", &error))?;
    show_progress(&running);
    let calls = running.join();
    let sent = fleet
        .leafs()
        .leafs()
        .iter()
        .map(|leaf| leaf.counts().received);
    let sent = sent.sum();
    fleet.stop();
    print_table(&calls, sent)
}

fn demo_shape() -> FleetShape {
    FleetShape {
        shards: 8,
        replicas: 3,
        daemons: 3,
        remote_leafs: Vec::new(),
        leaf: LeafOptions {
            service_time: Duration::from_millis(8),
            ..LeafOptions::default()
        },
        accounts: ACCOUNTS,
        policy: PolicyKind::Full,
        seed: 1,
    }
}

fn demo_stream() -> LoadStream {
    LoadStream {
        account: ACCOUNT.into(),
        collection: COLLECTION.into(),
        kind: CallKind::Search,
        text: StreamText::Unique,
        rates: vec![RateStep {
            from: Duration::ZERO,
            per_second: RATE,
        }],
        wait: CALLER_TIMEOUT,
        max_resends: 0,
    }
}

fn show_progress(running: &RunningLoad) {
    let steps = DURATION.as_millis() / PROGRESS_PERIOD.as_millis();
    for step in 1..=steps {
        std::thread::sleep(PROGRESS_PERIOD);
        let elapsed = PROGRESS_PERIOD * step as u32;
        print!(
            "\r{:.1} of {} s, {} searches answered ",
            elapsed.as_secs_f64(),
            DURATION.as_secs(),
            running.finished()
        );
        let _output_closed = std::io::stdout().flush();
    }
    println!();
}

/// Prints a summary of the calls. Returns an error if no search was answered.
fn print_table(calls: &[CallRecord], sent: u64) -> Result<(), CommandError> {
    let mut latencies: Vec<Duration> = Vec::new();
    let mut asked = 0;
    let mut answered = 0;
    for call in calls {
        if let CallResult::Answered(answer) = &call.result {
            latencies.push(call.latency);
            asked += u64::from(answer.asked);
            answered += answer.answered.len() as u64;
        }
    }
    latencies.sort_unstable();
    let quantile = |share: f64| {
        let last = latencies.len().saturating_sub(1) as f64;
        let position = (last * share).round() as usize;
        latencies.get(position).copied().unwrap_or_default()
    };
    println!("searches        {}", calls.len());
    println!("answered        {}", latencies.len());
    println!(
        "latency p50     {:.1} ms",
        quantile(0.5).as_secs_f64() * 1e3
    );
    println!(
        "latency p99     {:.1} ms",
        quantile(0.99).as_secs_f64() * 1e3
    );
    println!("shards asked    {asked}");
    println!("shards answered {answered}");
    println!(
        "sent to leafs   {sent}, {} beyond one per shard",
        sent.saturating_sub(asked)
    );
    let last = calls.iter().rev().find_map(|call| match &call.result {
        CallResult::Answered(answer) => Some((call, answer)),
        _ => None,
    });
    let (call, answer) =
        last.ok_or_else(|| CommandError::failed("demo", &"no search was answered"))?;
    println!(
        "one answer      {}: epoch {}, index version {}, {} of {} shards, {:.1} ms",
        call.request,
        answer.snapshot.epoch,
        answer.snapshot.version,
        answer.answered.len(),
        answer.asked,
        call.latency.as_secs_f64() * 1e3,
    );
    Ok(())
}
