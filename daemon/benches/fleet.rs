//! Measures control-plane traffic by fleet size, in one process over loopback:
//! `cargo bench -p yuccalift-daemon --bench fleet -- DAEMONS DATA_CENTRES [SECONDS]`.
//!
//! Prints one JSON object: the time for changes to spread, calls to the platform, and the cost of
//! each control plane. The platform's stand-in runs in the same process, so processor time and
//! memory are upper bounds.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use serde_json::json;
use yuccalift_daemon::control::{FleetProbe, ProbeDaemon};
use yuccalift_standins::{PlatformMode, PlatformOptions, PlatformStandin};

const DEFAULT_SECONDS: u64 = 20;
const START_LIMIT: Duration = Duration::from_secs(60);
const SPREAD_LIMIT: Duration = Duration::from_secs(14);
const CHANGE_PERIOD: Duration = Duration::from_secs(1);
const SEEDS: usize = 3;
const OUTAGE: Duration = Duration::from_secs(20);
const BURST_OBSERVATION: Duration = Duration::from_secs(10);
const SAMPLE_PERIOD: Duration = Duration::from_millis(100);
const ACCOUNTS: &str = "
templates:
  race: { collections: [tags], urgency: urgent, deadline: 2s, patience: 1s, repeat: hedge }
accounts:
  vets: { template: race }
";

fn main() {
    let numbers: Vec<u64> = std::env::args()
        .skip(1)
        .filter_map(|argument| argument.parse().ok())
        .collect();
    let daemons = numbers.first().copied().unwrap_or(9) as usize;
    let data_centres = numbers.get(1).copied().unwrap_or(3) as usize;
    let seconds = numbers.get(2).copied().unwrap_or(DEFAULT_SECONDS);
    let report = measure(daemons, data_centres, Duration::from_secs(seconds));
    println!("{report}");
}

fn measure(daemons: usize, data_centres: usize, length: Duration) -> serde_json::Value {
    let platform = PlatformStandin::start(PlatformOptions::default()).expect("the platform starts");
    let per_data_centre = daemons.div_ceil(data_centres);
    let bounds = json!({
        "daemons": daemons * 5 / 4 + 3,
        "daemons_per_data_centre": per_data_centre * 5 / 4 + 1,
    });
    platform.put_value("fleet", &bounds.to_string());
    let first = platform.put_value("accounts", ACCOUNTS);
    let memory_before = resident_kb();
    let started = Instant::now();
    let mut probe = start_probe(&platform, daemons, data_centres);
    let all_started = probe.wait_for_version(first, START_LIMIT);
    let start_seconds = started.elapsed().as_secs_f64();
    let calls_at_start = platform.calls();
    // The membership settles first, so that the measurement shows the steady state.
    std::thread::sleep(Duration::from_secs(12));
    let steady = measure_steady(&probe, &platform, daemons, length);
    let memory_kb = resident_kb().saturating_sub(memory_before) / daemons as u64;
    let spread = measure_spread(&probe, &platform, length);
    let snapshots = probe.snapshots();
    let members: Vec<usize> = snapshots
        .iter()
        .map(|snapshot| {
            let is_in_same_data_centre = |peer: &&yuccalift_core::control::MemberRecord| {
                peer.data_centre == snapshot.own.data_centre
            };
            snapshot.peers.iter().filter(is_in_same_data_centre).count() + 1
        })
        .collect();
    let refutations: u32 = snapshots
        .iter()
        .map(|snapshot| snapshot.own.refutation)
        .sum();
    let states = measure_states(&mut probe, &platform);
    json!({
        "daemons": daemons,
        "data_centres": data_centres,
        "false_suspicions": refutations,
        "states": states,
        "all_started": all_started,
        "start_s": start_seconds,
        "start_calls": calls_at_start.total,
        "start_calls_peak_per_s": calls_at_start.peak_per_second,
        "members_least": members.iter().min(),
        "members_most": members.iter().max(),
        "readers": snapshots.iter().filter(|snapshot| snapshot.is_reader).count(),
        "memory_kb_each": memory_kb,
        "steady": steady,
        "spread": spread,
    })
}

fn start_probe(platform: &PlatformStandin, daemons: usize, data_centres: usize) -> FleetProbe {
    let ips = vec![IpAddr::V4(Ipv4Addr::new(127, 0, 0, 3)); daemons];
    let listeners = FleetProbe::bind(&ips).expect("the listeners are bound");
    let addresses: Vec<SocketAddr> = listeners
        .iter()
        .map(|listener| {
            listener
                .local_addr()
                .expect("a bound listener has an address")
        })
        .collect();
    let settings = addresses
        .iter()
        .enumerate()
        .map(|(position, &listen)| ProbeDaemon {
            data_centre: position % data_centres,
            listen,
            reached_address: None,
            platform: platform.address(),
            // Seeds of its own data centre and one of the next, as an operator would configure them.
            seeds: (0..SEEDS)
                .filter_map(|seed| addresses.get(position % data_centres + seed * data_centres))
                .chain(addresses.get((position + 1) % data_centres))
                .copied()
                .collect(),
            local_address: None,
        })
        .collect();
    FleetProbe::start(settings, listeners).expect("the probe starts")
}

fn measure_steady(
    probe: &FleetProbe,
    platform: &PlatformStandin,
    daemons: usize,
    length: Duration,
) -> serde_json::Value {
    let (calls, traffic, processor) = (platform.calls(), traffic(probe), processor_seconds());
    std::thread::sleep(length);
    let (calls_after, traffic_after) = (platform.calls(), self::traffic(probe));
    let seconds = length.as_secs_f64();
    let per_daemon = |count: u64| count as f64 / seconds / daemons as f64;
    json!({
        "platform_calls_per_s": (calls_after.total - calls.total) as f64 / seconds,
        "platform_watches": calls_after.waiting,
        "messages_per_s_each": per_daemon(traffic_after.0 - traffic.0),
        "bytes_per_s_each": per_daemon(traffic_after.1 - traffic.1),
        "core_share_each": (processor_seconds() - processor) / seconds / daemons as f64,
    })
}

fn measure_spread(
    probe: &FleetProbe,
    platform: &PlatformStandin,
    length: Duration,
) -> serde_json::Value {
    let changes = (length.as_secs() / CHANGE_PERIOD.as_secs()).max(5);
    let mut spreads: Vec<Duration> = Vec::new();
    let mut incomplete = 0;
    let (calls, traffic, began) = (platform.calls(), traffic(probe), Instant::now());
    for change in 0..changes {
        let text = format!("{ACCOUNTS}  more{change}: {{ template: race }}\n");
        let published = Instant::now();
        let version = platform.put_value("accounts", &text);
        if !probe.wait_for_version(version, SPREAD_LIMIT) {
            incomplete += 1;
        }
        let reached = (0..probe.len()).filter_map(|position| probe.reached_at(position, version));
        spreads.extend(reached.map(|at| at.saturating_duration_since(published)));
        std::thread::sleep(CHANGE_PERIOD);
    }
    let seconds = began.elapsed().as_secs_f64();
    let (calls_after, traffic_after) = (platform.calls(), self::traffic(probe));
    spreads.sort_unstable();
    let percentile_ms = |share: f64| {
        let position = ((spreads.len() - 1) as f64 * share) as usize;
        spreads[position].as_secs_f64() * 1_000.0
    };
    json!({
        "changes": changes,
        "changes_not_everywhere": incomplete,
        "p50_ms": percentile_ms(0.5),
        "p99_ms": percentile_ms(0.99),
        "max_ms": percentile_ms(1.0),
        "changes_per_s": changes as f64 / seconds,
        "platform_calls_per_s": (calls_after.total - calls.total) as f64 / seconds,
        "bytes_per_s_each":
            (traffic_after.1 - traffic.1) as f64 / seconds / probe.len() as f64,
    })
}

/// Measures calls to the platform, and the time until a change is in effect, in situations where
/// many daemons might call at once: during and after an outage, after a restart of all, and after
/// the loss of all readers.
fn measure_states(probe: &mut FleetProbe, platform: &PlatformStandin) -> serde_json::Value {
    platform.set_mode(PlatformMode::Down);
    let outage = peak_calls(platform, OUTAGE);
    let restored_at = Instant::now();
    platform.set_mode(PlatformMode::Normal);
    let version = platform.put_value("accounts", &format!("{ACCOUNTS}# back\n"));
    let peak_after_outage = peak_calls(platform, BURST_OBSERVATION);
    let outage_recovery_s = seconds_until_reached(probe, version, restored_at);
    let restarted = Instant::now();
    for position in 0..probe.len() {
        probe.restart(position);
    }
    let peak_after_restart = peak_calls(platform, BURST_OBSERVATION);
    let restart_s = seconds_until_reached(probe, version, restarted);
    let readers: Vec<usize> = (0..probe.len())
        .filter(|&position| {
            let known = probe.snapshot(position);
            known.is_some_and(|snapshot| snapshot.is_reader)
        })
        .collect();
    for &reader in &readers {
        probe.kill(reader);
    }
    let killed = Instant::now();
    let version = platform.put_value("accounts", &format!("{ACCOUNTS}# killed\n"));
    let peak_after_kill = peak_calls(platform, BURST_OBSERVATION);
    json!({
        "outage_calls_peak_per_s": outage,
        "back_calls_peak_per_s": peak_after_outage,
        "back_s": outage_recovery_s,
        "restart_calls_peak_per_s": peak_after_restart,
        "restart_s": restart_s,
        "readers_killed": readers.len(),
        "readers_killed_calls_peak_per_s": peak_after_kill,
        "readers_killed_s": seconds_until_reached(probe, version, killed),
    })
}

/// Returns the maximum number of calls in any second during `length`.
fn peak_calls(platform: &PlatformStandin, length: Duration) -> u64 {
    let mut totals = vec![platform.calls().total];
    let end = Instant::now() + length;
    while Instant::now() < end {
        std::thread::sleep(SAMPLE_PERIOD);
        totals.push(platform.calls().total);
    }
    let window = (1_000 / SAMPLE_PERIOD.as_millis()) as usize;
    totals
        .windows(window + 1)
        .map(|window| window[window.len() - 1] - window[0])
        .max()
        .unwrap_or(0)
}

/// Returns the seconds from `since` until the last control plane reached a version; `None` if one
/// did not reach it in time.
fn seconds_until_reached(probe: &FleetProbe, version: u64, since: Instant) -> Option<f64> {
    if !probe.wait_for_version(version, START_LIMIT) {
        return None;
    }
    let reached = (0..probe.len()).filter_map(|position| probe.reached_at(position, version));
    let last = reached.max()?;
    Some(last.saturating_duration_since(since).as_secs_f64())
}

/// Returns the number of sent messages and of bytes, summed over all control planes.
fn traffic(probe: &FleetProbe) -> (u64, u64) {
    probe.snapshots().iter().fold((0, 0), |sum, snapshot| {
        let traffic = snapshot.traffic;
        (sum.0 + traffic.messages_sent, sum.1 + traffic.bytes)
    })
}

/// Returns the processor time of this process in seconds, at the usual 100 ticks per second.
fn processor_seconds() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let ticks: u64 = after_name
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse::<u64>().ok())
        .sum();
    ticks as f64 / 100.0
}

fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}
