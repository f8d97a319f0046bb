//! Test site of control planes in several data centres, which can be partitioned from one another
//! and from the platform.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use yuccalift_core::ids::ConfigVersion;
use yuccalift_daemon::control::{ControlSnapshot, FleetProbe, ProbeDaemon};
use yuccalift_standins::{LinkMesh, LinkPartition, LinkZone, PlatformOptions, PlatformStandin};

/// Maximum time until a change is in effect everywhere, at the present fleet size.
pub const SPREAD_LIMIT: Duration = Duration::from_secs(3);
/// Maximum time until a change is in effect everywhere, at the planned fleet size, and for other
/// daemons to take over from lost readers.
pub const LARGE_FLEET_SPREAD_LIMIT: Duration = Duration::from_secs(14);
/// Maximum time for a site to start, or to agree on its members again.
pub const SETTLE_LIMIT: Duration = Duration::from_secs(30);

const FIRST_ZONE: LinkZone = 10;
const PLATFORM_ZONE: LinkZone = 100;
const POLL: Duration = Duration::from_millis(20);

/// Control planes, a platform, and the network links between them.
pub struct ControlSite {
    /// Control planes. Those of data centre `d` are at positions `d`, `d + data centres`, and so on.
    pub probe: FleetProbe,
    /// Stand-in of the users' platform.
    pub platform: PlatformStandin,
    links: LinkMesh,
    data_centres: usize,
}

impl ControlSite {
    /// Starts a site and waits until every control plane is ready.
    pub fn start(daemons: usize, data_centres: usize) -> Self {
        let site = Self::start_without_waiting(daemons, data_centres);
        site.wait_all("is ready", |site, position| site.probe.is_ready(position));
        site
    }

    /// Starts a site without waiting for readiness.
    pub fn start_without_waiting(daemons: usize, data_centres: usize) -> Self {
        let platform =
            PlatformStandin::start(PlatformOptions::default()).expect("the platform starts");
        let per_data_centre = daemons.div_ceil(data_centres) + 1;
        let bounds = format!(
            r#"{{"daemons": {}, "daemons_per_data_centre": {per_data_centre}}}"#,
            per_data_centre * data_centres
        );
        platform.put_value("fleet", &bounds);
        let links = LinkMesh::start().expect("the links start");
        let platform_link = links
            .add(platform.address(), PLATFORM_ZONE)
            .expect("the platform's link listens");
        let ips: Vec<IpAddr> = (0..daemons).map(zone_ip).collect();
        let listeners = FleetProbe::bind(&ips).expect("the listeners are bound");
        let listen_addresses: Vec<SocketAddr> = listeners
            .iter()
            .map(|listener| {
                listener
                    .local_addr()
                    .expect("a bound listener has an address")
            })
            .collect();
        let link_addresses: Vec<SocketAddr> = listen_addresses
            .iter()
            .enumerate()
            .map(|(position, &listen)| {
                let zone = zone(position);
                links.add(listen, zone).expect("a link listens")
            })
            .collect();
        let settings = (0..daemons).map(|position| ProbeDaemon {
            data_centre: position % data_centres,
            listen: listen_addresses[position],
            reached_address: Some(link_addresses[position]),
            platform: platform_link,
            seeds: link_addresses
                .iter()
                .copied()
                .take(2 * data_centres)
                .collect(),
            local_address: Some(ips[position]),
        });
        let probe = FleetProbe::start(settings.collect(), listeners).expect("the probe starts");
        Self {
            probe,
            platform,
            links,
            data_centres,
        }
    }

    /// Returns the positions of a data centre's control planes.
    pub fn positions(&self, data_centre: usize) -> Vec<usize> {
        (0..self.probe.len())
            .filter(|position| position % self.data_centres == data_centre)
            .collect()
    }

    /// Partitions a data centre from the others and from the platform, as `kind` says.
    pub fn partition_data_centre(&self, data_centre: usize, kind: PartitionKind) {
        let platform = [PLATFORM_ZONE];
        let inside = self.positions(data_centre);
        let outside = (0..self.probe.len()).filter(|position| !inside.contains(position));
        let mut others: Vec<LinkZone> = outside.map(zone).collect();
        others.extend(platform);
        let inside: Vec<LinkZone> = inside.into_iter().map(zone).collect();
        let outward = || partitions_between(&inside, &others);
        let inward = || partitions_between(&others, &inside);
        self.links.partition(match kind {
            PartitionKind::Both => [outward(), inward()].concat(),
            PartitionKind::Outward => outward(),
            PartitionKind::Inward => inward(),
            PartitionKind::Platform => partitions_between(&inside, &platform),
        });
    }

    /// Partitions a group of control planes from all others, in both directions. Every control plane still
    /// reaches the platform.
    pub fn split(&self, part: &[usize]) {
        let rest = (0..self.probe.len()).filter(|position| !part.contains(position));
        let rest: Vec<LinkZone> = rest.map(zone).collect();
        let part: Vec<LinkZone> = part.iter().copied().map(zone).collect();
        let partitions = [
            partitions_between(&part, &rest),
            partitions_between(&rest, &part),
        ];
        self.links.partition(partitions.concat());
    }

    /// Ends all partitions.
    pub fn heal(&self) {
        self.links.heal();
    }

    /// Waits until a condition holds for every control plane that has not been stopped.
    pub fn wait_all(&self, condition: &str, holds: impl Fn(&Self, usize) -> bool) {
        let end = Instant::now() + SETTLE_LIMIT;
        for position in 0..self.probe.len() {
            while self.probe.snapshot(position).is_some() && !holds(self, position) {
                assert!(
                    Instant::now() < end,
                    "control plane {position} {condition} in time"
                );
                std::thread::sleep(POLL);
            }
        }
    }

    /// Waits until every control plane knows all members of its data centre as alive.
    pub fn wait_for_members(&self) {
        self.wait_all("knows all its members", |site, position| {
            let expected = site.positions(position % site.data_centres);
            let alive = expected
                .iter()
                .filter(|&&position| site.probe.snapshot(position).is_some());
            let alive = alive.count();
            let snapshot = site.snapshot(position);
            let local_peers = snapshot.peers.iter().filter(|peer| {
                peer.data_centre == snapshot.own.data_centre && peer.state.name() == "alive"
            });
            local_peers.count() + 1 == alive
        });
    }

    /// Returns a control plane's snapshot; panics if it has been stopped.
    pub fn snapshot(&self, position: usize) -> ControlSnapshot {
        self.probe
            .snapshot(position)
            .expect("the control plane has not been stopped")
    }

    /// Publishes accounts with one account of the given name, and returns the version.
    pub fn publish(&self, account: &str) -> ConfigVersion {
        let text = format!(
            "templates: {{ race: {{ collections: [tags], urgency: urgent, deadline: 2s, \
             patience: 1s, repeat: hedge }} }}\naccounts: {{ {account}: {{ template: race }} }}\n"
        );
        self.platform.put_value("accounts", &text)
    }

    /// Asserts that every control plane reaches a version within `limit`.
    pub fn assert_spreads(&self, version: ConfigVersion, limit: Duration) {
        let spread = self.probe.wait_for_version(version, limit);
        let versions: Vec<ConfigVersion> = self
            .probe
            .snapshots()
            .iter()
            .map(|snapshot| snapshot.version)
            .collect();
        assert!(
            spread,
            "version {version} is everywhere in {limit:?}: {versions:?}"
        );
    }
}

/// Links of a data centre that a partition interrupts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartitionKind {
    /// All links, in both directions.
    Both,
    /// Calls from the data centre to anywhere.
    Outward,
    /// Calls from anywhere to the data centre.
    Inward,
    /// Calls from the data centre to the platform.
    Platform,
}

fn partitions_between(from: &[LinkZone], to: &[LinkZone]) -> Vec<LinkPartition> {
    let pairs = from
        .iter()
        .flat_map(|&from| to.iter().map(move |&to| LinkPartition { from, to }));
    pairs.collect()
}

fn zone(position: usize) -> LinkZone {
    FIRST_ZONE + position as LinkZone
}

fn zone_ip(position: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, zone(position), 1))
}
