//! `config-spread`: measures how long an accepted change takes to be in effect on all daemons, and
//! what the control plane costs each daemon.
//!
//! The control planes of many daemons run in this process, each with its own listener, without
//! callers.

use std::fmt;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde::Serialize;
use yuccalift_daemon::control::{FleetProbe, ProbeDaemon};
use yuccalift_standins::{PlatformOptions, PlatformStandin};
use yuccalift_wire::platform::{ACCOUNTS_KEY, FLEET_KEY, FleetBounds};

use crate::cpu_time::DaemonCpuTime;
use crate::error::CommandError;
use crate::experiment::measure::{ReportField, write_fields};

/// Name of the experiment on the command line.
pub const NAME: &str = "config-spread";
/// One-line description for the list of experiments and the report.
pub const SUMMARY: &str =
    "propagation of changes over the control planes of many daemons, without callers";
/// Number of daemons if the command line gives none.
pub const DEFAULT_DAEMONS: usize = 30;
/// Time during which changes are made if the command line gives none.
pub const DEFAULT_DURATION: Duration = Duration::from_secs(20);
/// Number of data centres over which the daemons are distributed.
pub(super) const DATA_CENTRES: usize = 3;
/// Time between two configuration changes.
const CHANGE_PERIOD: Duration = Duration::from_secs(2);
/// Maximum time until all control planes are ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum time for the propagation of a change; a slower change counts as not in effect.
pub(super) const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(14);
/// Time between readiness and measurement, in which the daemons discover each other.
pub(super) const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Time between two readiness checks of a control plane.
const POLL_PERIOD: Duration = Duration::from_millis(20);
/// Longest propagation time that the histogram distinguishes, in microseconds.
const MAX_PROPAGATION_US: u64 = 60_000_000;
/// Number of significant digits of recorded propagation times.
const PROPAGATION_DIGITS: u8 = 3;

/// Report of a run of `config-spread` or `partition`, which is printed as text or JSON.
#[derive(Clone, Debug, Serialize)]
pub struct SpreadReport {
    /// Name of the experiment.
    pub experiment: &'static str,
    /// Seed given on the command line; it is only reported, as the experiment draws no random
    /// numbers.
    pub seed: u64,
    /// Measured values.
    #[serde(flatten, serialize_with = "write_fields")]
    pub fields: Vec<ReportField>,
    /// Violated guarantees.
    pub violations: Vec<Box<str>>,
}

impl SpreadReport {
    /// Returns the value of a field, or NaN if there is no such field.
    pub fn field_value(&self, name: &str) -> f64 {
        let field = self.fields.iter().find(|field| field.name == name);
        field.map_or(f64::NAN, |field| field.value)
    }
}

impl fmt::Display for SpreadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.experiment)?;
        for ReportField { name, value } in &self.fields {
            writeln!(f, "  {name:28} {value:12.3}")?;
        }
        for violation in &self.violations {
            writeln!(f, "  {violation}")?;
        }
        Ok(())
    }
}

/// Total cost of the control planes of all daemons since their start.
#[derive(Clone, Copy, Debug, Default)]
struct ControlCost {
    messages: u64,
    bytes: u64,
    platform_calls: u64,
}

/// Runs a fleet of control planes, changes the configuration periodically and measures the
/// propagation of the changes.
pub fn run_spread(
    daemons: usize,
    seed: u64,
    duration: Duration,
) -> Result<SpreadReport, CommandError> {
    let platform = PlatformStandin::start(PlatformOptions::default())
        .map_err(|error| CommandError::failed("start platform", &error))?;
    publish_bounds(&platform, daemons)?;
    platform.put_value(ACCOUNTS_KEY, &accounts_document(0));
    let probe = start_probe(daemons, platform.address())?;
    wait_ready(&probe)?;
    std::thread::sleep(SETTLE_TIME);
    let cost_before = read_control_cost(&probe, platform.calls().total);
    let cpu_time = DaemonCpuTime::start();
    let start = Instant::now();
    let mut propagation_times =
        Histogram::new_with_bounds(1, MAX_PROPAGATION_US, PROPAGATION_DIGITS)
            .expect("the bounds of the histogram are constant and valid");
    let mut violations = Vec::new();
    let mut change_number = 0;
    while start.elapsed() < duration {
        change_number += 1;
        let changed_at = Instant::now();
        let version = platform.put_value(ACCOUNTS_KEY, &accounts_document(change_number));
        if !probe.wait_for_version(version, PROPAGATION_TIMEOUT) {
            violations.push(format!("version {version} is not in effect on all daemons").into());
        }
        record_propagation_times(&probe, version, changed_at, &mut propagation_times);
        std::thread::sleep((changed_at + CHANGE_PERIOD).saturating_duration_since(Instant::now()));
    }
    let elapsed = start.elapsed();
    let cpu_time = cpu_time.elapsed();
    let cost = read_control_cost(&probe, platform.calls().total);
    violations.extend(check_final_state(&probe, &platform));
    let cost = cost.since(cost_before);
    let mut fields = propagation_fields(&propagation_times);
    fields.extend(cost.fields(daemons, elapsed, cpu_time));
    Ok(SpreadReport {
        experiment: NAME,
        seed,
        fields,
        violations,
    })
}

pub(super) fn accounts_document(change_number: u32) -> String {
    format!(
        "templates:\n  race:\n    collections: [tags]\n    urgency: urgent\n    deadline: 2s\n    \
         patience: 1s\n    repeat: hedge\naccounts:\n  vets-{change_number}:\n    template: race\n"
    )
}

pub(super) fn publish_bounds(
    platform: &PlatformStandin,
    daemons: usize,
) -> Result<(), CommandError> {
    let per_data_centre = daemons.div_ceil(DATA_CENTRES) as u32 + 1;
    let bounds = FleetBounds {
        daemons: per_data_centre * DATA_CENTRES as u32,
        daemons_per_data_centre: per_data_centre,
    };
    let value = serde_json::to_string(&bounds)
        .map_err(|error| CommandError::failed("write fleet bounds", &error))?;
    platform.put_value(FLEET_KEY, &value);
    Ok(())
}

fn start_probe(daemons: usize, platform: SocketAddr) -> Result<FleetProbe, CommandError> {
    let failed = |error| CommandError::failed("start control planes", &error);
    let ips = vec![IpAddr::V4(Ipv4Addr::LOCALHOST); daemons];
    let listeners = FleetProbe::bind(&ips).map_err(failed)?;
    let mut listens = Vec::with_capacity(daemons);
    for listener in &listeners {
        let listen = listener
            .local_addr()
            .map_err(|error| CommandError::failed("read listener's address", &error))?;
        listens.push(listen);
    }
    let seeds: Vec<SocketAddr> = listens.iter().copied().take(2 * DATA_CENTRES).collect();
    let planes = listens.iter().enumerate();
    let planes = planes.map(|(position, &listen)| ProbeDaemon {
        data_centre: position % DATA_CENTRES,
        listen,
        reached_address: None,
        platform,
        seeds: seeds.clone(),
        local_address: None,
    });
    FleetProbe::start(planes.collect(), listeners).map_err(failed)
}

pub(super) fn wait_ready(probe: &FleetProbe) -> Result<(), CommandError> {
    let deadline = Instant::now() + READY_TIMEOUT;
    for position in 0..probe.len() {
        while !probe.is_ready(position) {
            if Instant::now() > deadline {
                let step = format!("wait until ready, control plane {position}");
                return Err(CommandError::failed(step, &"timed out"));
            }
            std::thread::sleep(POLL_PERIOD);
        }
    }
    Ok(())
}

fn record_propagation_times(
    probe: &FleetProbe,
    version: u64,
    changed_at: Instant,
    propagation_times: &mut Histogram<u64>,
) {
    for position in 0..probe.len() {
        let reached = probe.reached_at(position, version);
        let propagation_time = reached.map_or(PROPAGATION_TIMEOUT, |reached| {
            reached.duration_since(changed_at)
        });
        propagation_times.saturating_record((propagation_time.as_micros() as u64).max(1));
    }
}

fn propagation_fields(propagation_times: &Histogram<u64>) -> Vec<ReportField> {
    let to_ms = |value: u64| value as f64 / 1_000.0;
    vec![
        ReportField::new(
            "spread_p50_ms",
            to_ms(propagation_times.value_at_quantile(0.5)),
        ),
        ReportField::new(
            "spread_p99_ms",
            to_ms(propagation_times.value_at_quantile(0.99)),
        ),
        ReportField::new("spread_max_ms", to_ms(propagation_times.max())),
    ]
}

/// Returns violations of the final state: all daemons must have the newest version, and the
/// platform's rate limit must not have been exceeded.
pub(super) fn check_final_state(probe: &FleetProbe, platform: &PlatformStandin) -> Vec<Box<str>> {
    let mut violations = Vec::new();
    let snapshots = probe.snapshots();
    let newest_version = platform.version();
    for snapshot in &snapshots {
        if snapshot.version != newest_version || snapshot.hash != snapshots[0].hash {
            let host = &snapshot.own.host;
            let version = snapshot.version;
            violations.push(format!("{host} has version {version}, not {newest_version}").into());
        }
    }
    let refused = platform.calls().refused;
    if refused > 0 {
        violations.push(format!("{refused} calls exceeded the platform's rate limit").into());
    }
    violations
}

fn read_control_cost(probe: &FleetProbe, platform_calls: u64) -> ControlCost {
    let mut cost = ControlCost {
        platform_calls,
        ..ControlCost::default()
    };
    for snapshot in probe.snapshots() {
        cost.messages += snapshot.traffic.messages_sent;
        cost.bytes += snapshot.traffic.bytes;
    }
    cost
}

impl ControlCost {
    fn since(self, before: Self) -> Self {
        Self {
            messages: self.messages - before.messages,
            bytes: self.bytes - before.bytes,
            platform_calls: self.platform_calls - before.platform_calls,
        }
    }

    fn fields(self, daemons: usize, elapsed: Duration, cpu_time: Duration) -> Vec<ReportField> {
        let seconds = elapsed.as_secs_f64();
        let daemon_seconds = seconds * daemons as f64;
        let core_share = cpu_time.as_secs_f64() / daemon_seconds;
        vec![
            ReportField::new("daemons", daemons as f64),
            ReportField::new("platform_calls_per_s", self.platform_calls as f64 / seconds),
            ReportField::new(
                "messages_per_daemon_s",
                self.messages as f64 / daemon_seconds,
            ),
            ReportField::new("bytes_per_daemon_s", self.bytes as f64 / daemon_seconds),
            ReportField::new("core_percent_per_daemon", 100.0 * core_share),
        ]
    }
}
