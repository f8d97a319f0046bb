//! Options of a leaf.

use std::net::SocketAddr;
use std::time::Duration;

use yuccalift_core::ids::{IndexVersion, ShardId};

use super::command::{LoadReport, SlowPeriods};
use crate::server::STANDIN_IP;

/// Substring of a request's text that makes every target crash on running the request.
pub const CRASH_MARKER: &str = "crash-target";

/// Options of a leaf.
#[derive(Clone, Debug)]
pub struct LeafOptions {
    /// Listen address for work; port 0 takes any free port.
    pub listen: SocketAddr,
    /// Listen address for commands over HTTP; without one the leaf has no admin listener.
    pub admin_listen: Option<SocketAddr>,
    /// Number of requests that the leaf runs concurrently.
    pub slots: u32,
    /// Maximum number of open connections.
    pub connections: u32,
    /// Delay before the first request of a new connection is served.
    pub connect_delay: Duration,
    /// Number of waiting requests at which the leaf starts to shed new ones.
    pub queue_limit: u32,
    /// Median service time; service times are log-normally distributed.
    pub service_time: Duration,
    /// Standard deviation of the logarithm of the service time.
    pub service_sigma: f64,
    /// Seed of the random service times.
    pub seed: u64,
    /// Slow periods, which the leaf does not report; none if absent.
    pub slow_periods: Option<SlowPeriods>,
    /// How the leaf reports its load.
    pub report: LoadReport,
    /// Duration of the cold state after a start or a crash.
    pub cold_period: Duration,
    /// Factor of the service time while the leaf is cold.
    pub cold_factor: f64,
    /// Downtime after a request with [`CRASH_MARKER`] has crashed the leaf.
    pub crash_downtime: Duration,
    /// Index versions that the leaf holds, sorted.
    pub index_versions: Vec<IndexVersion>,
    /// Shards that the leaf holds, sorted.
    pub shards: Vec<ShardId>,
}

impl Default for LeafOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((STANDIN_IP, 0)),
            admin_listen: None,
            slots: 3,
            connections: 30,
            connect_delay: Duration::from_millis(6),
            queue_limit: 64,
            service_time: Duration::from_millis(4),
            service_sigma: 0.3,
            seed: 1,
            slow_periods: None,
            report: LoadReport::Lagging(Duration::from_secs(5)),
            cold_period: Duration::ZERO,
            cold_factor: 5.0,
            crash_downtime: Duration::from_millis(500),
            index_versions: vec![1],
            shards: vec![0],
        }
    }
}
