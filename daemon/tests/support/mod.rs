//! Test site of stand-ins (platform and leafs) and daemons, for the tests of the daemon.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use yuccalift_core::ids::{ShardId, TargetId};
use yuccalift_core::{PolicyKind, ShardEntry, ShardMap, TargetEntry};
use yuccalift_daemon::Daemon;
use yuccalift_settings::{DaemonSettings, ListenerLimits, LogFormat, LogSettings};
use yuccalift_standins::{LeafFleet, LeafOptions, PlatformOptions, PlatformStandin};
use yuccalift_wire::caller::SearchBody;

/// Client account of searches, published by the site.
pub const ACCOUNT: &str = "vets";
/// Client account of non-idempotent requests, published by the site.
pub const ORDER_ACCOUNT: &str = "orders";
/// Collection published by the site.
pub const COLLECTION: &str = "tags";
/// Maximum time until a started daemon is ready.
const READY_LIMIT: Duration = Duration::from_secs(10);
/// Interval between readiness checks.
const READY_POLL: Duration = Duration::from_millis(10);

const ACCOUNTS: &str = "
templates:
  race:
    collections: [tags]
    urgency: urgent
    deadline: 2s
    patience: 1s
    repeat: hedge
  order:
    collections: [tags]
    urgency: urgent
    deadline: 2s
    patience: 1s
    repeat: never
accounts:
  vets:
    template: race
  orders:
    template: order
";

const FLEET: &str = r#"{"daemons": 12, "daemons_per_data_centre": 4}"#;

/// Leafs, and a platform that publishes them.
pub struct TestSite {
    /// Stand-in of the users' platform.
    pub platform: PlatformStandin,
    /// Stand-ins of the leafs.
    pub leafs: LeafFleet,
}

impl TestSite {
    /// Starts `replicas` leafs for each of `shards` shards, and publishes them.
    pub fn start(shards: u32, replicas: u32) -> Self {
        let mut options = Vec::new();
        for shard in 0..shards {
            for _replica in 0..replicas {
                options.push(LeafOptions {
                    shards: vec![shard],
                    ..LeafOptions::default()
                });
            }
        }
        let leafs = LeafFleet::start(options, 2).expect("the leafs start");
        let platform =
            PlatformStandin::start(PlatformOptions::default()).expect("the platform starts");
        let map = shard_map(&leafs, shards, replicas);
        let map = serde_json::to_string(&map).expect("the map is serialized");
        platform.put_value("map/tags", &map);
        platform.put_value("accounts", ACCOUNTS);
        platform.put_value("fleet", FLEET);
        Self { platform, leafs }
    }

    /// Starts a daemon of the site and waits until it is ready.
    pub fn start_daemon(&self, host: &str) -> Daemon {
        let daemon = Daemon::start(self.settings(host)).expect("the daemon starts");
        wait_ready(daemon.addresses().caller);
        daemon
    }

    /// Starts a daemon with another daemon as its seed peer, and waits until it is ready.
    pub fn start_daemon_with_seed(&self, host: &str, other: &Daemon) -> Daemon {
        let mut settings = self.settings(host);
        settings.seed_peers = vec![other.addresses().peer];
        let daemon = Daemon::start(settings).expect("the daemon starts");
        wait_ready(daemon.addresses().caller);
        daemon
    }

    /// Returns settings for a daemon of the site, with ports that the system assigns.
    pub fn settings(&self, host: &str) -> DaemonSettings {
        let ephemeral = SocketAddr::from(([127, 0, 0, 1], 0));
        DaemonSettings {
            host: host.into(),
            data_centre: "dc-1".into(),
            caller_listen: ephemeral,
            peer_listen: ephemeral,
            operator_listen: ephemeral,
            platform: vec![self.platform.address()],
            seed_peers: Vec::new(),
            shared_key: "test-key-test-key".into(),
            limits: ListenerLimits::default(),
            log: LogSettings {
                format: LogFormat::Text,
                level: "warn".into(),
            },
            statsd: None,
            policy: PolicyKind::Full,
            stop_timeout: Duration::from_secs(5),
        }
    }
}

fn shard_map(leafs: &LeafFleet, shards: u32, replicas: u32) -> ShardMap {
    let targets = leafs
        .leafs()
        .iter()
        .zip(0..)
        .map(|(leaf, target)| TargetEntry {
            target,
            address: leaf.address(),
            data_centre: "dc-1".into(),
            host: format!("leaf-{target}").into(),
            slots: 3,
            connections: 30,
            connect_ms: 6,
        });
    ShardMap {
        collection: COLLECTION.into(),
        epoch: 1,
        shards: (0..shards)
            .map(|shard| shard_entry(shard, replicas))
            .collect(),
        targets: targets.collect(),
    }
}

fn shard_entry(shard: ShardId, replicas: u32) -> ShardEntry {
    let first: TargetId = shard * replicas;
    ShardEntry {
        shard,
        replicas: (first..first + replicas).collect(),
    }
}

/// Waits until the daemon at an address accepts requests.
pub fn wait_ready(address: SocketAddr) {
    let end = Instant::now() + READY_LIMIT;
    while !is_ready(address) {
        assert!(
            Instant::now() < end,
            "the daemon at {address} is ready in time"
        );
        std::thread::sleep(READY_POLL);
    }
}

fn is_ready(address: SocketAddr) -> bool {
    actix_rt::System::new().block_on(async move {
        let response = awc::Client::default()
            .get(format!("http://{address}/ready"))
            .send()
            .await;
        response.is_ok_and(|response| response.status().is_success())
    })
}

/// Sends a search to the daemon at an address and returns the status of the response.
pub async fn search_status(address: SocketAddr) -> u16 {
    let body = SearchBody {
        request: "request-1".into(),
        account: ACCOUNT.into(),
        collection: COLLECTION.into(),
        text: "ewe 4711".into(),
        limit: 1,
        time_left_ms: None,
    };
    let request = awc::Client::default().post(format!("http://{address}/v1/search"));
    let response = request.send_json(&body).await;
    response.expect("the daemon answers").status().as_u16()
}
