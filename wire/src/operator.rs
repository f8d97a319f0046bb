//! Messages between the command line and a daemon, as JSON over HTTP with the shared key.
//!
//! `GET /v1/status` returns a [`StatusReport`]; `POST /v1/drain` returns 202 and starts a
//! graceful stop.

use serde::{Deserialize, Serialize};
use yuccalift_core::ids::{ConfigVersion, DataCentreName, HostName, Incarnation, TargetId};

/// HTTP header with the shared key, required by peer and operator listeners.
pub const KEY_HEADER: &str = "x-yuccalift-key";

/// Status of a daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StatusReport {
    /// Host that the daemon runs on.
    pub host: HostName,
    /// Data centre of the daemon's host.
    pub data_centre: DataCentreName,
    /// Incarnation of the daemon process.
    pub incarnation: Incarnation,
    /// Whether the daemon accepts requests.
    pub ready: bool,
    /// Whether a graceful stop has begun.
    pub stopping: bool,
    /// Configuration version in effect.
    pub config_version: ConfigVersion,
    /// Published values that the daemon refused, each with the reason.
    pub refused_values: Vec<Box<str>>,
    /// Peers known to the daemon, sorted by host.
    pub peers: Vec<PeerReport>,
    /// Targets known to the daemon, sorted by id.
    pub targets: Vec<TargetReport>,
    /// Number of running queries.
    pub running: u32,
    /// Number of queued queries per urgency class: urgent, normal, patient.
    pub waiting: [u32; 3],
    /// Quarantined fingerprints, each with the time left.
    pub quarantines: Vec<QuarantineReport>,
    /// Control-plane traffic since the daemon started.
    pub control: ControlReport,
}

/// A peer daemon in a [`StatusReport`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerReport {
    /// Host that the peer runs on.
    pub host: HostName,
    /// Data centre of the peer's host.
    pub data_centre: DataCentreName,
    /// Last known incarnation of the peer.
    pub incarnation: Incarnation,
    /// Membership state: `alive`, `suspect`, `leaving` or `gone`.
    pub state: Box<str>,
    /// Configuration version that the peer last reported.
    pub config_version: ConfigVersion,
}

/// A target in a [`StatusReport`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetReport {
    /// Target number from the shard map.
    pub target: TargetId,
    /// Target state: `live`, `draining`, `ejected` or `lost`.
    pub state: Box<str>,
    /// Number of attempts in flight.
    pub in_flight: u32,
    /// Maximum number of attempts in flight.
    pub limit: u32,
    /// Maximum number of connections from the daemon to the target.
    pub connections: u32,
    /// Recent latency of attempts, in milliseconds.
    pub latency_ms: f64,
}

/// A quarantined fingerprint in a [`StatusReport`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuarantineReport {
    /// Request fingerprint, in hexadecimal.
    pub fingerprint: Box<str>,
    /// Time until the quarantine ends, in milliseconds from now.
    pub left_ms: u64,
}

/// Control-plane traffic of a daemon since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlReport {
    /// Number of messages sent to peers.
    pub messages_sent: u64,
    /// Bytes exchanged with peers and the platform, in both directions.
    pub bytes: u64,
    /// Number of calls to the platform.
    pub platform_calls: u64,
}
