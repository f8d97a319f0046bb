//! The settings of one daemon.

use std::net::SocketAddr;
use std::time::Duration;

use yuccalift_core::PolicyKind;
use yuccalift_core::ids::{DataCentreName, HostName};

/// The settings of one daemon, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct DaemonSettings {
    /// The entry host that the daemon runs on.
    pub host: HostName,
    /// The data centre of that host.
    pub data_centre: DataCentreName,
    /// Where callers are accepted.
    pub caller_listen: SocketAddr,
    /// Where peers are accepted.
    pub peer_listen: SocketAddr,
    /// Where operators are accepted.
    pub operator_listen: SocketAddr,
    /// Where the platform's configuration service answers.
    pub platform: Vec<SocketAddr>,
    /// Peer listeners to ask first, for when the platform is down at the start.
    pub seed_peers: Vec<SocketAddr>,
    /// The key that peers and operators must show.
    pub shared_key: Box<str>,
    /// What the listeners bear.
    pub limits: ListenerLimits,
    /// How logs are written.
    pub log: LogSettings,
    /// Where metrics go; nowhere if absent.
    pub statsd: Option<SocketAddr>,
    /// Which set of decisions the engine makes.
    pub policy: PolicyKind,
    /// How long a graceful stop may take before the process ends all the same.
    pub stop_timeout: Duration,
}

/// What a listener bears before it refuses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenerLimits {
    /// The largest body, in bytes.
    pub body_bytes: usize,
    /// How long a caller may take to send its headers, and then its body.
    pub header_timeout: Duration,
    /// Requests a second from all callers of one listener.
    pub requests_per_second: u32,
}

impl Default for ListenerLimits {
    fn default() -> Self {
        Self {
            body_bytes: 256 * 1024,
            header_timeout: Duration::from_secs(5),
            requests_per_second: 20_000,
        }
    }
}

/// How logs are written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// The form of a line.
    pub format: LogFormat,
    /// The least level that is written, as `tracing` names it.
    pub level: Box<str>,
}

/// The form of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// For people.
    Text,
    /// One JSON object a line.
    Json,
}
