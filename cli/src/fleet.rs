//! A fleet in this process: platform, leafs and daemons, connected over loopback.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use yuccalift_core::ids::{CollectionName, MapEpoch, ShardId};
use yuccalift_core::{PolicyKind, ShardEntry, ShardMap, TargetEntry};
use yuccalift_daemon::Daemon;
use yuccalift_settings::{DaemonSettings, ListenerLimits, LogFormat, LogSettings};
use yuccalift_standins::check::EpochShards;
use yuccalift_standins::{
    DaemonList, LeafFleet, LeafOptions, LeafRecord, LinkMesh, LinkPartition, LinkZone,
    PlatformOptions, PlatformStandin,
};
use yuccalift_wire::platform::{
    ACCOUNTS_KEY, FLEET_KEY, FleetBounds, HostEntry, HostList, HostState, SHARD_MAP_PREFIX,
};

use crate::error::CommandError;

/// Name of the collection that a fleet serves.
pub const COLLECTION: &str = "tags";
/// Data centre of every daemon and of every leaf that is not remote.
const DATA_CENTRE: &str = "dc-1";
/// Data centre of remote leafs.
const REMOTE_DATA_CENTRE: &str = "dc-2";
/// Link zone from which the daemons connect.
const LOCAL_ZONE: LinkZone = 0;
/// Link zone of remote leafs.
const REMOTE_ZONE: LinkZone = 2;
/// Number of threads that run the leafs.
const LEAF_THREADS: usize = 2;
/// Maximum time until every daemon reports that it is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two readiness checks of a daemon.
const READY_POLL_PERIOD: Duration = Duration::from_millis(20);
/// Maximum time of a daemon's graceful stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// Size of a fleet and properties of its leafs.
#[derive(Clone, Debug)]
pub struct FleetShape {
    /// Number of shards of the collection.
    pub shards: u32,
    /// Number of leafs that hold each shard; each leaf holds one shard.
    pub replicas: u32,
    /// Number of daemons.
    pub daemons: u32,
    /// Indices of the leafs in the remote data centre, which are reached through links that can be
    /// partitioned.
    pub remote_leafs: Vec<u32>,
    /// Options of every leaf, except seed and shards, which are set for each leaf.
    pub leaf: LeafOptions,
    /// Templates and accounts that the platform publishes, as YAML.
    pub accounts: &'static str,
    /// Policy of the daemons.
    pub policy: PolicyKind,
    /// Seed from which the seeds of the leafs are derived.
    pub seed: u64,
}

impl FleetShape {
    /// Returns the number of leafs.
    pub fn leafs(&self) -> u32 {
        self.shards * self.replicas
    }

    /// Returns the number of shard requests per second that the leafs can execute.
    pub fn shard_requests_per_second(&self) -> f64 {
        let mean = self.leaf.service_time.as_secs_f64()
            * (self.leaf.service_sigma * self.leaf.service_sigma / 2.0).exp();
        f64::from(self.leafs() * self.leaf.slots) / mean
    }

    /// Returns the number of searches over all shards per second that the leafs can execute.
    pub fn searches_per_second(&self) -> f64 {
        self.shard_requests_per_second() / f64::from(self.shards)
    }

    fn leaf_options(&self) -> Vec<LeafOptions> {
        let options_of = |position: u32| LeafOptions {
            seed: self
                .seed
                .wrapping_mul(1_000)
                .wrapping_add(u64::from(position)),
            shards: vec![position / self.replicas],
            ..self.leaf.clone()
        };
        (0..self.leafs()).map(options_of).collect()
    }
}

/// A running fleet.
#[derive(Debug)]
pub struct TestFleet {
    shape: FleetShape,
    platform: PlatformStandin,
    leafs: LeafFleet,
    links: LinkMesh,
    hosts: Vec<FleetHost>,
    list: DaemonList,
    map: ShardMap,
    epochs: Vec<EpochShards>,
    target_hosts: Vec<HostEntry>,
}

/// An entry host; its daemon is absent while it is being replaced.
#[derive(Debug)]
struct FleetHost {
    settings: DaemonSettings,
    daemon: Option<Daemon>,
}

impl TestFleet {
    /// Starts a fleet and waits until every daemon is ready.
    pub fn start(shape: FleetShape) -> Result<Self, CommandError> {
        let platform = PlatformStandin::start(PlatformOptions::default())
            .map_err(|error| CommandError::failed("start platform", &error))?;
        let leafs = LeafFleet::start(shape.leaf_options(), LEAF_THREADS)
            .map_err(|error| CommandError::failed("start leafs", &error))?;
        let links =
            LinkMesh::start().map_err(|error| CommandError::failed("start links", &error))?;
        let map = initial_map(&shape, &leafs, &links)?;
        let target_hosts = map.targets.iter().map(target_host).collect();
        let mut fleet = Self {
            platform,
            leafs,
            links,
            hosts: Vec::new(),
            list: DaemonList::default(),
            epochs: Vec::new(),
            target_hosts,
            map: map.clone(),
            shape,
        };
        fleet.platform.put_value(ACCOUNTS_KEY, fleet.shape.accounts);
        fleet.publish_bounds()?;
        fleet.publish_map(map)?;
        for position in 0..fleet.shape.daemons {
            fleet.add_host(position)?;
        }
        fleet.publish_hosts();
        fleet.wait_ready()?;
        Ok(fleet)
    }

    /// Returns the platform stand-in.
    pub fn platform(&self) -> &PlatformStandin {
        &self.platform
    }

    /// Returns the leafs, ordered by shard.
    pub fn leafs(&self) -> &LeafFleet {
        &self.leafs
    }

    /// Returns the shape that the fleet was started with.
    pub fn shape(&self) -> &FleetShape {
        &self.shape
    }

    /// Returns the shard map that was published last.
    pub fn map(&self) -> &ShardMap {
        &self.map
    }

    /// Returns the list from which callers choose a daemon; it follows later replacements.
    pub fn daemon_list(&self) -> DaemonList {
        self.list.clone()
    }

    /// Returns the shards of every shard map that was published, by epoch.
    pub fn epochs(&self) -> &[EpochShards] {
        &self.epochs
    }

    /// Publishes a shard map on the platform.
    pub fn publish_map(&mut self, map: ShardMap) -> Result<(), CommandError> {
        let value = serde_json::to_string(&map)
            .map_err(|error| CommandError::failed("write shard map", &error))?;
        self.epochs.push(EpochShards {
            epoch: map.epoch,
            shards: map.shards.iter().map(|entry| entry.shard).collect(),
        });
        self.platform
            .put_value(&format!("{SHARD_MAP_PREFIX}{}", map.collection), &value);
        self.map = map;
        Ok(())
    }

    /// Partitions the links from the daemons to the remote leafs.
    pub fn partition_remote(&self) {
        self.links.partition(vec![LinkPartition {
            from: LOCAL_ZONE,
            to: REMOTE_ZONE,
        }]);
    }

    /// Restores the links to the remote leafs.
    pub fn heal_remote(&self) {
        self.links.heal();
    }

    /// Marks the host of a leaf as leaving in the platform's host list.
    pub fn mark_leaving(&mut self, leaf: usize) {
        self.target_hosts[leaf].state = HostState::Leaving;
        self.publish_hosts();
    }

    /// Stops a daemon gracefully and starts a replacement, as in a rolling restart.
    ///
    /// Callers detect the stop only by the daemon's readiness, as the platform's load balancer
    /// does.
    pub fn restart_daemon(&mut self, position: usize) -> Result<(), CommandError> {
        if let Some(daemon) = self.hosts[position].daemon.take() {
            daemon.stop();
        }
        let settings = DaemonSettings {
            seed_peers: self.peer_addresses(),
            ..self.hosts[position].settings.clone()
        };
        let daemon = start_daemon(settings)?;
        self.hosts[position].daemon = Some(daemon);
        self.publish_hosts();
        Ok(())
    }

    /// Returns the addresses on which the running daemons accept callers.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        let daemons = self.hosts.iter().filter_map(|host| host.daemon.as_ref());
        daemons.map(|daemon| daemon.addresses().caller).collect()
    }

    /// Returns what each leaf recorded: executions, counters and connections.
    pub fn leaf_records(&self) -> Vec<LeafRecord> {
        let records = self.leafs.leafs().iter().enumerate();
        records
            .map(|(position, leaf)| LeafRecord {
                name: format!("leaf-{position}").into(),
                connections_limit: self.shape.leaf.connections,
                runs: leaf.runs(),
                counts: leaf.counts(),
                connections: leaf.connections(),
            })
            .collect()
    }

    /// Stops the daemons, then the stand-ins.
    pub fn stop(mut self) {
        let daemons = self.hosts.iter_mut().filter_map(|host| host.daemon.take());
        let running: Vec<Daemon> = daemons.collect();
        for daemon in &running {
            daemon.stop_token().cancel();
        }
        for daemon in running {
            daemon.stop();
        }
        self.leafs.stop();
        self.platform.stop();
    }

    fn peer_addresses(&self) -> Vec<SocketAddr> {
        let daemons = self.hosts.iter().filter_map(|host| host.daemon.as_ref());
        daemons.map(|daemon| daemon.addresses().peer).collect()
    }

    fn publish_bounds(&self) -> Result<(), CommandError> {
        let max_daemons = self.shape.daemons + 1;
        let bounds = FleetBounds {
            daemons: max_daemons,
            daemons_per_data_centre: max_daemons,
        };
        let value = serde_json::to_string(&bounds)
            .map_err(|error| CommandError::failed("write fleet bounds", &error))?;
        self.platform.put_value(FLEET_KEY, &value);
        Ok(())
    }

    fn add_host(&mut self, position: u32) -> Result<(), CommandError> {
        let settings = DaemonSettings {
            host: format!("entry-{position}").into(),
            data_centre: DATA_CENTRE.into(),
            caller_listen: loopback_with_any_port(),
            peer_listen: loopback_with_any_port(),
            operator_listen: loopback_with_any_port(),
            platform: vec![self.platform.address()],
            seed_peers: self.peer_addresses(),
            shared_key: "only for tests on loopback".into(),
            limits: ListenerLimits::default(),
            log: LogSettings {
                format: LogFormat::Text,
                level: "warn".into(),
            },
            statsd: None,
            policy: self.shape.policy,
            stop_timeout: STOP_TIMEOUT,
        };
        let daemon = start_daemon(settings.clone())?;
        self.hosts.push(FleetHost {
            settings,
            daemon: Some(daemon),
        });
        Ok(())
    }

    /// Publishes the host list on the platform and updates the callers' list of daemons.
    fn publish_hosts(&self) {
        let hosts = self.hosts.iter();
        let entry_hosts = hosts.filter_map(FleetHost::entry).collect();
        self.platform.set_hosts(HostList {
            entry_hosts,
            target_hosts: self.target_hosts.clone(),
        });
        self.list.replace(&self.caller_addresses());
    }

    fn wait_ready(&self) -> Result<(), CommandError> {
        let deadline = Instant::now() + READY_TIMEOUT;
        let addresses = self.caller_addresses();
        actix_rt::System::new().block_on(async {
            let client = awc::Client::default();
            for address in addresses {
                while !is_ready(&client, address).await {
                    if Instant::now() > deadline {
                        let step = format!("wait until ready, peer {address}");
                        return Err(CommandError::failed(step, &"timed out"));
                    }
                    actix_rt::time::sleep(READY_POLL_PERIOD).await;
                }
            }
            Ok(())
        })
    }
}

impl FleetHost {
    fn entry(&self) -> Option<HostEntry> {
        let daemon = self.daemon.as_ref()?;
        Some(HostEntry {
            host: self.settings.host.clone(),
            data_centre: self.settings.data_centre.clone(),
            peer_address: daemon.addresses().peer.to_string().into(),
            state: HostState::Live,
        })
    }
}

async fn is_ready(client: &awc::Client, address: SocketAddr) -> bool {
    let response = client.get(format!("http://{address}/ready")).send().await;
    response.is_ok_and(|response| response.status().is_success())
}

fn start_daemon(settings: DaemonSettings) -> Result<Daemon, CommandError> {
    let step = format!("start daemon, peer {}", settings.host);
    Daemon::start(settings).map_err(|error| CommandError::failed(step, &error))
}

fn loopback_with_any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn target_host(target: &TargetEntry) -> HostEntry {
    HostEntry {
        host: target.host.clone(),
        data_centre: target.data_centre.clone(),
        peer_address: "".into(),
        state: HostState::Live,
    }
}

/// Creates a map that assigns each shard to the leafs that were started for it.
fn initial_map(
    shape: &FleetShape,
    leafs: &LeafFleet,
    links: &LinkMesh,
) -> Result<ShardMap, CommandError> {
    let mut targets = Vec::with_capacity(leafs.leafs().len());
    for (leaf, target) in leafs.leafs().iter().zip(0..) {
        let is_remote = shape.remote_leafs.contains(&target);
        let address = if is_remote {
            let link = links.add(leaf.address(), REMOTE_ZONE);
            link.map_err(|error| CommandError::failed("add link", &error))?
        } else {
            leaf.address()
        };
        let data_centre = if is_remote {
            REMOTE_DATA_CENTRE
        } else {
            DATA_CENTRE
        };
        targets.push(TargetEntry {
            target,
            address,
            data_centre: data_centre.into(),
            host: format!("target-{target:04}").into(),
            slots: shape.leaf.slots,
            connections: shape.leaf.connections,
            connect_ms: shape.leaf.connect_delay.as_millis() as u32,
        });
    }
    let shards = (0..shape.shards).map(|shard: ShardId| ShardEntry {
        shard,
        replicas: (shard * shape.replicas..(shard + 1) * shape.replicas).collect(),
    });
    let epoch: MapEpoch = 1;
    Ok(ShardMap {
        collection: CollectionName::from(COLLECTION),
        epoch,
        shards: shards.collect(),
        targets,
    })
}
