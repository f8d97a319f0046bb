//! The settings of a daemon.

use std::net::SocketAddr;
use std::time::Duration;

use yuccalift_core::PolicyKind;
use yuccalift_core::ids::{DataCentreName, HostName};

/// Validated settings of a daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct DaemonSettings {
    /// Entry host that the daemon runs on.
    pub host: HostName,
    /// Data centre of the entry host.
    pub data_centre: DataCentreName,
    /// Address of the listener for callers.
    pub caller_listen: SocketAddr,
    /// Address of the listener for peers, which is also advertised to them.
    pub peer_listen: SocketAddr,
    /// Address of the listener for operators.
    pub operator_listen: SocketAddr,
    /// Addresses of the platform's configuration service.
    pub platform: Vec<SocketAddr>,
    /// Peer listeners contacted first, so that a daemon can start while the platform is down.
    pub seed_peers: Vec<SocketAddr>,
    /// Key that peers and operators must present.
    pub shared_key: Box<str>,
    /// Limits of the listeners.
    pub limits: ListenerLimits,
    /// Format and level of the log.
    pub log: LogSettings,
    /// Address that metrics are sent to over UDP; no metrics are sent if absent.
    pub statsd: Option<SocketAddr>,
    /// Policy that the engine follows.
    pub policy: PolicyKind,
    /// Maximum duration of a graceful stop; the process exits when it has passed.
    pub stop_timeout: Duration,
}

/// Limits above which a listener refuses requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenerLimits {
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time for receiving the headers, and again for receiving the body.
    pub header_timeout: Duration,
    /// Maximum number of requests per second from all callers of a listener together.
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

/// Format and level of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// Format of a log line.
    pub format: LogFormat,
    /// Minimum level that is logged, by its `tracing` name.
    pub level: Box<str>,
}

/// Format of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Text for human readers.
    Text,
    /// One JSON object per line.
    Json,
}
