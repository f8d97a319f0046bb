//! `yuccalift standin platform|leaf|callers`: runs one stand-in as a process, for tests that use
//! several processes.

use std::net::SocketAddr;
use std::time::Duration;

use lexopt::prelude::{Long, Short, Value, ValueExt};
use tokio::signal::unix::{SignalKind, signal};
use yuccalift_core::ids::{IndexVersion, ShardId};
use yuccalift_standins::{
    CallKind, CallRecord, CallResult, CallerLoad, DaemonList, LeafOptions, LeafStandin, LoadStream,
    PlatformOptions, PlatformStandin, RateStep, StreamText,
};

use crate::error::CommandError;

const HELP: &str = "\
Usage: yuccalift standin platform [--listen ADDRESS]
       yuccalift standin leaf [--listen ADDRESS] [--admin ADDRESS] [--shards N,N,...]
                              [--held N,N,...] [--slots N] [--connections N]
                              [--connect-ms N] [--service-ms N] [--queue N] [--seed N]
       yuccalift standin callers --daemon ADDRESS... --account NAME --collection NAME
                                 [--rate PER_SECOND] [--seconds S] [--wait-ms N] [--seed N]

The platform and a leaf print their addresses, one per line, and run until SIGTERM or SIGINT.
The platform is controlled by PUT /admin/values/KEY, PUT /admin/hosts, POST /admin/mode and
GET /admin/calls; a leaf by POST /admin/command, GET /admin/runs and GET /admin/counts at its
admin address. The callers stop after their load and print the number of results of each kind.
";

/// Runs the subcommand.
pub fn run(mut parser: lexopt::Parser) -> Result<(), CommandError> {
    let Some(argument) = parser.next()? else {
        return Err(lexopt::Error::from(
            "the kind of stand-in is missing: platform, leaf or callers",
        )
        .into());
    };
    match argument {
        Short('h') | Long("help") => print!("{HELP}"),
        Value(kind) => return run_kind(&kind.string()?, parser),
        other => return Err(other.unexpected().into()),
    }
    Ok(())
}

fn run_kind(kind: &str, parser: lexopt::Parser) -> Result<(), CommandError> {
    match kind {
        "platform" => run_platform(parser),
        "leaf" => run_leaf(parser),
        "callers" => run_callers(parser),
        other => Err(lexopt::Error::from(format!("no stand-in is named {other:?}")).into()),
    }
}

fn run_platform(mut parser: lexopt::Parser) -> Result<(), CommandError> {
    let mut options = PlatformOptions::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("listen") => options.listen = parser.value()?.parse()?,
            other => return Err(other.unexpected().into()),
        }
    }
    let mut platform = PlatformStandin::start(options)
        .map_err(|error| CommandError::failed("start platform", &error))?;
    println!("platform {}", platform.address());
    wait_for_signal()?;
    platform.stop();
    Ok(())
}

fn run_leaf(mut parser: lexopt::Parser) -> Result<(), CommandError> {
    let mut options = LeafOptions::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("listen") => options.listen = parser.value()?.parse()?,
            Long("admin") => options.admin_listen = Some(parser.value()?.parse()?),
            Long("shards") => options.shards = read_numbers::<ShardId>(&mut parser)?,
            Long("held") => options.index_versions = read_numbers::<IndexVersion>(&mut parser)?,
            Long("slots") => options.slots = parser.value()?.parse()?,
            Long("connections") => options.connections = parser.value()?.parse()?,
            Long("connect-ms") => options.connect_delay = read_millis(&mut parser)?,
            Long("service-ms") => options.service_time = read_millis(&mut parser)?,
            Long("queue") => options.queue_limit = parser.value()?.parse()?,
            Long("seed") => options.seed = parser.value()?.parse()?,
            other => return Err(other.unexpected().into()),
        }
    }
    let mut leaf =
        LeafStandin::start(options).map_err(|error| CommandError::failed("start leaf", &error))?;
    println!("leaf {}", leaf.address());
    if let Some(address) = leaf.admin_address() {
        println!("admin {address}");
    }
    wait_for_signal()?;
    leaf.stop();
    Ok(())
}

fn run_callers(mut parser: lexopt::Parser) -> Result<(), CommandError> {
    let mut daemons: Vec<SocketAddr> = Vec::new();
    let mut account = None;
    let mut collection = None;
    let mut rate = 20.0;
    let mut duration = Duration::from_secs(5);
    let mut wait = Duration::from_secs(1);
    let mut seed = 1;
    while let Some(argument) = parser.next()? {
        match argument {
            Long("daemon") => daemons.push(parser.value()?.parse()?),
            Long("account") => account = Some(parser.value()?.string()?.into_boxed_str()),
            Long("collection") => collection = Some(parser.value()?.string()?.into_boxed_str()),
            Long("rate") => rate = parser.value()?.parse()?,
            Long("seconds") => duration = Duration::from_secs(parser.value()?.parse()?),
            Long("wait-ms") => wait = read_millis(&mut parser)?,
            Long("seed") => seed = parser.value()?.parse()?,
            other => return Err(other.unexpected().into()),
        }
    }
    let account = account.ok_or_else(|| lexopt::Error::from("--account is missing"))?;
    let collection = collection.ok_or_else(|| lexopt::Error::from("--collection is missing"))?;
    if daemons.is_empty() {
        return Err(lexopt::Error::from("--daemon is missing").into());
    }
    let stream = LoadStream {
        account,
        collection,
        kind: CallKind::Search,
        text: StreamText::Unique,
        rates: vec![RateStep {
            from: Duration::ZERO,
            per_second: rate,
        }],
        wait,
        max_resends: 1,
    };
    let load = CallerLoad {
        daemons: DaemonList::new(&daemons),
        streams: vec![stream],
        seed,
        duration,
    };
    let running = load
        .start()
        .map_err(|error| CommandError::failed("start callers", &error))?;
    print_records(&running.join());
    Ok(())
}

fn print_records(records: &[CallRecord]) {
    let count = |test: fn(&CallResult) -> bool| {
        let matching = records.iter().filter(|record| test(&record.result));
        matching.count()
    };
    let whole =
        count(|result| matches!(result, CallResult::Answered(answer) if answer.missing.is_empty()));
    println!("requests {}", records.len());
    println!(
        "answered {}",
        count(|result| matches!(result, CallResult::Answered(_)))
    );
    println!("whole {whole}");
    println!(
        "refused {}",
        count(|result| matches!(result, CallResult::Refused(_)))
    );
    println!(
        "lost {}",
        count(|result| matches!(result, CallResult::Lost { .. }))
    );
}

fn read_millis(parser: &mut lexopt::Parser) -> Result<Duration, CommandError> {
    Ok(Duration::from_millis(parser.value()?.parse()?))
}

fn read_numbers<T>(parser: &mut lexopt::Parser) -> Result<Vec<T>, CommandError>
where
    T: std::str::FromStr + Ord,
    T::Err: Into<Box<dyn std::error::Error + Send + Sync + 'static>>,
{
    let text = parser.value()?.string()?;
    let mut numbers = Vec::new();
    for part in text.split(',') {
        numbers.push(std::ffi::OsString::from(part).parse()?);
    }
    numbers.sort_unstable();
    numbers.dedup();
    Ok(numbers)
}

/// Blocks until the process receives SIGTERM or SIGINT.
fn wait_for_signal() -> Result<(), CommandError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|error| CommandError::failed("start signal watch", &error))?;
    let waited: std::io::Result<()> = runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        Ok(())
    });
    waited.map_err(|error| CommandError::failed("watch signals", &error))
}
