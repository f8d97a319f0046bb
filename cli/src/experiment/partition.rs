//! `partition`: a data centre is cut from the others and from the platform, and healed, while the
//! configuration changes.
//!
//! It concerns the control planes alone: there is no load of callers.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use yuccalift_core::ids::ConfigVersion;
use yuccalift_daemon::control::{FleetProbe, ProbeDaemon};
use yuccalift_standins::{LinkMesh, LinkPartition, LinkZone, PlatformOptions, PlatformStandin};
use yuccalift_wire::platform::ACCOUNTS_KEY;

use crate::error::CommandError;
use crate::experiment::measure::CaseField;
use crate::experiment::spread::{
    DATA_CENTRES, SETTLE_TIME, SPREAD_TIMEOUT, SpreadReport, accounts, check_end, put_bounds,
    wait_ready,
};

/// The name on the command line.
pub const NAME: &str = "partition";
/// What it shows, in one line.
pub const ABOUT: &str = "a data centre is cut off and healed while the configuration changes";
/// The zone of the first data centre.
const FIRST_ZONE: LinkZone = 10;
/// The zone of the platform.
const PLATFORM_ZONE: LinkZone = 100;
/// How long the cut lasts.
const CUT_TIME: Duration = Duration::from_secs(8);
/// The time from one change to the next.
const CHANGE_PERIOD: Duration = Duration::from_secs(1);
/// How long the fleet is watched after the cut has healed.
const HEAL_TIME: Duration = Duration::from_secs(3);
/// How often versions are looked at.
const POLL_PERIOD: Duration = Duration::from_millis(50);

/// A fleet whose data centres can be cut from each other.
struct CutFleet {
    probe: FleetProbe,
    platform: PlatformStandin,
    links: LinkMesh,
}

/// Watches that no control plane goes back to an earlier version or stops to be ready.
struct VersionWatch {
    versions: Vec<ConfigVersion>,
    violations: Vec<Box<str>>,
}

/// Runs the case.
pub fn run_partition(daemons: usize, seed: u64) -> Result<SpreadReport, CommandError> {
    let fleet = CutFleet::start(daemons)?;
    wait_ready(&fleet.probe)?;
    std::thread::sleep(SETTLE_TIME);
    let mut watch = VersionWatch::new(daemons);
    fleet.links.partition(cuts_of(FIRST_ZONE));
    let cut_at = Instant::now();
    let mut change = 0;
    let mut slowest = Duration::ZERO;
    while cut_at.elapsed() < CUT_TIME {
        change += 1;
        let changed = Instant::now();
        let version = fleet.platform.put_value(ACCOUNTS_KEY, &accounts(change));
        let reached = fleet.watch_until(changed + CHANGE_PERIOD, &mut watch, |fleet| {
            fleet.uncut_have(version)
        });
        slowest = slowest.max(reached.unwrap_or(SPREAD_TIMEOUT));
        fleet.watch_until(changed + CHANGE_PERIOD, &mut watch, |_| false);
    }
    let calls_before = fleet.platform.calls().total;
    let healed_at = Instant::now();
    fleet.links.heal();
    let newest = fleet.platform.version();
    let whole = fleet.watch_until(healed_at + SPREAD_TIMEOUT, &mut watch, |fleet| {
        fleet.probe.wait_for_version(newest, Duration::ZERO)
    });
    fleet.watch_until(healed_at + HEAL_TIME, &mut watch, |_| false);
    let heal_time = healed_at.elapsed();
    let calls = fleet.platform.calls();
    let heal_calls = (calls.total - calls_before) as f64 / heal_time.as_secs_f64();
    let mut violations = watch.violations;
    violations.extend(check_end(&fleet.probe, &fleet.platform));
    let ms = |time: Duration| time.as_secs_f64() * 1_000.0;
    Ok(SpreadReport {
        experiment: NAME,
        seed,
        fields: vec![
            CaseField::new("daemons", daemons as f64),
            CaseField::new("uncut_spread_max_ms", ms(slowest)),
            CaseField::new("heal_spread_ms", ms(whole.unwrap_or(SPREAD_TIMEOUT))),
            CaseField::new("heal_platform_calls_per_s", heal_calls),
            CaseField::new("platform_calls_peak", f64::from(calls.peak_per_second)),
        ],
        violations,
    })
}

/// What cuts a data centre from all others and from the platform, both ways.
fn cuts_of(zone: LinkZone) -> Vec<LinkPartition> {
    let others = (1..DATA_CENTRES as LinkZone).map(|data_centre| FIRST_ZONE + data_centre);
    let partition = |from: LinkZone, to: LinkZone| LinkPartition { from, to };
    others
        .chain([PLATFORM_ZONE])
        .flat_map(|other| [partition(zone, other), partition(other, zone)])
        .collect()
}

impl CutFleet {
    fn start(daemons: usize) -> Result<Self, CommandError> {
        let platform = PlatformStandin::start(PlatformOptions::default())
            .map_err(|error| CommandError::failed("start platform", &error))?;
        put_bounds(&platform, daemons)?;
        platform.put_value(ACCOUNTS_KEY, &accounts(0));
        let links =
            LinkMesh::start().map_err(|error| CommandError::failed("start links", &error))?;
        let platform_link = add_link(&links, platform.address(), PLATFORM_ZONE)?;
        let ips: Vec<IpAddr> = (0..daemons)
            .map(|position| zone_ip(zone(position)))
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
                reached_at: Some(add_link(&links, listen, zone(position))?),
                platform: platform_link,
                seeds: Vec::new(),
                local_address: Some(ips[position]),
            });
        }
        let seeds = planes.iter().filter_map(|plane| plane.reached_at);
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

    /// Whether all data centres but the first have a version.
    fn uncut_have(&self, version: ConfigVersion) -> bool {
        let mut uncut = (0..self.probe.len()).filter(|position| zone(*position) != FIRST_ZONE);
        uncut.all(|position| self.probe.reached_at(position, version).is_some())
    }

    /// Watches versions until a time or until something holds; how long that took, if it did.
    fn watch_until(
        &self,
        until: Instant,
        watch: &mut VersionWatch,
        holds: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let start = Instant::now();
        while Instant::now() < until {
            watch.look(&self.probe);
            if holds(self) {
                return Some(start.elapsed());
            }
            std::thread::sleep(POLL_PERIOD);
        }
        None
    }
}

impl VersionWatch {
    fn new(daemons: usize) -> Self {
        Self {
            versions: vec![0; daemons],
            violations: Vec::new(),
        }
    }

    fn look(&mut self, probe: &FleetProbe) {
        for (position, highest) in self.versions.iter_mut().enumerate() {
            let Some(snapshot) = probe.snapshot(position) else {
                continue;
            };
            let version = snapshot.version;
            if version < *highest {
                let host = &snapshot.own.host;
                let violation = format!("{host} went back from version {highest} to {version}");
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

fn zone(position: usize) -> LinkZone {
    FIRST_ZONE + (position % DATA_CENTRES) as LinkZone
}

fn zone_ip(zone: LinkZone) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, zone, 1))
}
