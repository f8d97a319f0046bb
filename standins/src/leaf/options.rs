//! How a leaf is started.

use std::net::SocketAddr;
use std::time::Duration;

use yuccalift_core::ids::{IndexVersion, ShardId};

use super::command::{LoadReport, SlowSpells};
use crate::server::STANDIN_IP;

/// The mark in a request's text that crashes every target that runs it.
pub const CRASH_MARK: &str = "crash-target";

/// How a leaf is started.
#[derive(Clone, Debug)]
pub struct LeafOptions {
    /// Where it accepts work; port 0 takes any free port.
    pub listen: SocketAddr,
    /// Where it accepts commands over HTTP, if anywhere.
    pub admin_listen: Option<SocketAddr>,
    /// How many requests it runs at once.
    pub slots: u32,
    /// How many connections it accepts.
    pub connections: u32,
    /// How long a new connection waits before its first request is served.
    pub connect_cost: Duration,
    /// How many requests may wait for a slot before it sheds.
    pub queue_limit: u32,
    /// The median of its service time.
    pub service_time: Duration,
    /// The standard deviation of the logarithm of its service time.
    pub service_sigma: f64,
    /// The seed of its service times.
    pub seed: u64,
    /// Its slow spells, which no report shows.
    pub spells: Option<SlowSpells>,
    /// How it reports its load.
    pub report: LoadReport,
    /// How long it is cold after its start or after a crash.
    pub cold_period: Duration,
    /// By how much its service time is multiplied while it is cold.
    pub cold_factor: f64,
    /// How long it is down when a marked request crashes it.
    pub crash_downtime: Duration,
    /// The index versions that it holds, sorted.
    pub held: Vec<IndexVersion>,
    /// The shards that it holds, sorted.
    pub shards: Vec<ShardId>,
}

impl Default for LeafOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((STANDIN_IP, 0)),
            admin_listen: None,
            slots: 3,
            connections: 30,
            connect_cost: Duration::from_millis(6),
            queue_limit: 64,
            service_time: Duration::from_millis(4),
            service_sigma: 0.3,
            seed: 1,
            spells: None,
            report: LoadReport::Lagging(Duration::from_secs(5)),
            cold_period: Duration::ZERO,
            cold_factor: 5.0,
            crash_downtime: Duration::from_millis(500),
            held: vec![1],
            shards: vec![0],
        }
    }
}
