//! `partition`: a data centre is partitioned from the others and from the platform, and
//! reconnected, while the configuration changes.
//!
//! Only control planes run; there are no callers.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use yuccalift_core::ids::ConfigVersion;
use yuccalift_daemon::control::{FleetProbe, ProbeDaemon};
use yuccalift_standins::{LinkMesh, LinkPartition, LinkZone, PlatformOptions, PlatformStandin};
use yuccalift_wire::platform::ACCOUNTS_KEY;

use crate::error::CommandError;
use crate::experiment::measure::ReportField;
use crate::experiment::spread::{
    DATA_CENTRES, PROPAGATION_TIMEOUT, SETTLE_TIME, SpreadReport, accounts_document,
    check_final_state, publish_bounds, wait_ready,
};

/// Name of the experiment on the command line.
pub const NAME: &str = "partition";
/// One-line description for the list of experiments.
pub const SUMMARY: &str =
    "a data centre is partitioned and reconnected while the configuration changes";
/// Link zone of the first data centre, which is partitioned; the zones of the others follow.
const FIRST_ZONE: LinkZone = 10;
/// Link zone of the platform.
const PLATFORM_ZONE: LinkZone = 100;
const PARTITION_TIME: Duration = Duration::from_secs(8);
/// Time between two configuration changes.
const CHANGE_PERIOD: Duration = Duration::from_secs(1);
/// Time after the end of the partition during which the fleet is observed.
const OBSERVATION_TIME: Duration = Duration::from_secs(3);
/// Time between two reads of the daemons' versions.
const POLL_PERIOD: Duration = Duration::from_millis(50);

/// A fleet whose data centres can be partitioned from each other.
struct PartitionedFleet {
    probe: FleetProbe,
    platform: PlatformStandin,
    links: LinkMesh,
}

/// Records a violation if a control plane returns to an earlier version or is not ready.
struct VersionMonitor {
    versions: Vec<ConfigVersion>,
    violations: Vec<Box<str>>,
}

/// Runs the experiment and returns its measurements.
pub fn run_partition(daemons: usize, seed: u64) -> Result<SpreadReport, CommandError> {
    let fleet = PartitionedFleet::start(daemons)?;
    wait_ready(&fleet.probe)?;
    std::thread::sleep(SETTLE_TIME);
    let mut monitor = VersionMonitor::new(daemons);
    fleet.links.partition(isolating_partitions(FIRST_ZONE));
    let partitioned_at = Instant::now();
    let mut change_number = 0;
    let mut slowest = Duration::ZERO;
    while partitioned_at.elapsed() < PARTITION_TIME {
        change_number += 1;
        let changed_at = Instant::now();
        let version = fleet
            .platform
            .put_value(ACCOUNTS_KEY, &accounts_document(change_number));
        let reached_after = fleet.poll_until(changed_at + CHANGE_PERIOD, &mut monitor, |fleet| {
            fleet.connected_daemons_have(version)
        });
        slowest = slowest.max(reached_after.unwrap_or(PROPAGATION_TIMEOUT));
        fleet.poll_until(changed_at + CHANGE_PERIOD, &mut monitor, |_| false);
    }
    let calls_before = fleet.platform.calls().total;
    let healed_at = Instant::now();
    fleet.links.heal();
    let newest_version = fleet.platform.version();
    let recovery_time = fleet.poll_until(healed_at + PROPAGATION_TIMEOUT, &mut monitor, |fleet| {
        fleet.probe.wait_for_version(newest_version, Duration::ZERO)
    });
    fleet.poll_until(healed_at + OBSERVATION_TIME, &mut monitor, |_| false);
    let heal_time = healed_at.elapsed();
    let calls = fleet.platform.calls();
    let heal_calls_per_second = (calls.total - calls_before) as f64 / heal_time.as_secs_f64();
    let mut violations = monitor.violations;
    violations.extend(check_final_state(&fleet.probe, &fleet.platform));
    let to_ms = |time: Duration| time.as_secs_f64() * 1_000.0;
    Ok(SpreadReport {
        experiment: NAME,
        seed,
        fields: vec![
            ReportField::new("daemons", daemons as f64),
            ReportField::new("uncut_spread_max_ms", to_ms(slowest)),
            ReportField::new(
                "heal_spread_ms",
                to_ms(recovery_time.unwrap_or(PROPAGATION_TIMEOUT)),
            ),
            ReportField::new("heal_platform_calls_per_s", heal_calls_per_second),
            ReportField::new("platform_calls_peak", f64::from(calls.peak_per_second)),
        ],
        violations,
    })
}

/// Returns the link partitions that separate a data centre from all others and from the platform,
/// in both directions.
fn isolating_partitions(zone: LinkZone) -> Vec<LinkPartition> {
    let others = (1..DATA_CENTRES as LinkZone).map(|data_centre| FIRST_ZONE + data_centre);
    let partition = |from: LinkZone, to: LinkZone| LinkPartition { from, to };
    others
        .chain([PLATFORM_ZONE])
        .flat_map(|other| [partition(zone, other), partition(other, zone)])
        .collect()
}

impl PartitionedFleet {
    fn start(daemons: usize) -> Result<Self, CommandError> {
        let platform = PlatformStandin::start(PlatformOptions::default())
            .map_err(|error| CommandError::failed("start platform", &error))?;
        publish_bounds(&platform, daemons)?;
        platform.put_value(ACCOUNTS_KEY, &accounts_document(0));
        let links =
            LinkMesh::start().map_err(|error| CommandError::failed("start links", &error))?;
        let platform_link = add_link(&links, platform.address(), PLATFORM_ZONE)?;
        let ips: Vec<IpAddr> = (0..daemons)
            .map(|position| zone_ip(zone_of(position)))
            .collect();
        let failed = |error| CommandError::failed("start control planes", &error);
        let listeners = FleetProbe::bind(&ips).map_err(failed)?;
        let mut planes = Vec::with_capacity(daemons);
        for (position, listener) in listeners.iter().enumerate() {
            let listen = listener
                .local_addr()
                .map_err(|error| CommandError::failed("read listener's address", &error))?;
            planes.push(ProbeDaemon {
                data_centre: position % DATA_CENTRES,
                listen,
                reached_address: Some(add_link(&links, listen, zone_of(position))?),
                platform: platform_link,
                seeds: Vec::new(),
                local_address: Some(ips[position]),
            });
        }
        let seeds = planes.iter().filter_map(|plane| plane.reached_address);
        let seeds: Vec<SocketAddr> = seeds.take(2 * DATA_CENTRES).collect();
        for plane in &mut planes {
            plane.seeds.clone_from(&seeds);
        }
        Ok(Self {
            probe: FleetProbe::start(planes, listeners).map_err(failed)?,
            platform,
            links,
        })
    }

    /// Returns whether all daemons outside the partitioned data centre have a version.
    fn connected_daemons_have(&self, version: ConfigVersion) -> bool {
        let mut connected =
            (0..self.probe.len()).filter(|position| zone_of(*position) != FIRST_ZONE);
        connected.all(|position| self.probe.reached_at(position, version).is_some())
    }

    /// Records versions until `condition` holds or `deadline` passes. Returns the time until
    /// `condition` held, or `None` if the deadline passed first.
    fn poll_until(
        &self,
        deadline: Instant,
        monitor: &mut VersionMonitor,
        condition: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let start = Instant::now();
        while Instant::now() < deadline {
            monitor.record_versions(&self.probe);
            if condition(self) {
                return Some(start.elapsed());
            }
            std::thread::sleep(POLL_PERIOD);
        }
        None
    }
}

impl VersionMonitor {
    fn new(daemons: usize) -> Self {
        Self {
            versions: vec![0; daemons],
            violations: Vec::new(),
        }
    }

    fn record_versions(&mut self, probe: &FleetProbe) {
        for (position, highest) in self.versions.iter_mut().enumerate() {
            let Some(snapshot) = probe.snapshot(position) else {
                continue;
            };
            let version = snapshot.version;
            if version < *highest {
                let host = &snapshot.own.host;
                let violation = format!("{host} returned from version {highest} to {version}");
                self.violations.push(violation.into());
            }
            *highest = version.max(*highest);
            if !probe.is_ready(position) {
                let violation = format!("{} is not ready", snapshot.own.host);
                self.violations.push(violation.into());
            }
        }
    }
}

fn add_link(
    links: &LinkMesh,
    target: SocketAddr,
    zone: LinkZone,
) -> Result<SocketAddr, CommandError> {
    links
        .add(target, zone)
        .map_err(|error| CommandError::failed("add link", &error))
}

fn zone_of(position: usize) -> LinkZone {
    FIRST_ZONE + (position % DATA_CENTRES) as LinkZone
}

/// Returns a loopback address of a zone; links read the zone of a caller from the third octet.
fn zone_ip(zone: LinkZone) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, zone, 1))
}
