//! What the command line asks a daemon, as JSON over HTTP with the shared key.
//!
//! `GET /v1/status` answers a [`StatusReport`]; `POST /v1/drain` answers 202 and starts a
//! graceful stop.

use serde::{Deserialize, Serialize};
use yuccalift_core::ids::{ConfigVersion, DataCentreName, HostName, Incarnation, TargetId};

/// The header that carries the shared key to peer and operator listeners.
pub const KEY_HEADER: &str = "x-yuccalift-key";

/// What a daemon tells of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StatusReport {
    /// The daemon's host.
    pub host: HostName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Whether it takes requests.
    pub ready: bool,
    /// Whether it is stopping.
    pub stopping: bool,
    /// The configuration version in force.
    pub config_version: ConfigVersion,
    /// The values that were refused, each with the reason.
    pub refused_values: Vec<Box<str>>,
    /// The peers that it knows, sorted by host.
    pub peers: Vec<PeerReport>,
    /// The targets that it knows, sorted by id.
    pub targets: Vec<TargetReport>,
    /// How many queries run.
    pub running: u32,
    /// How many wait, for each class: urgent, normal, patient.
    pub waiting: [u32; 3],
    /// The fingerprints held back, each with the milliseconds left.
    pub quarantines: Vec<QuarantineReport>,
    /// Bytes and messages spent for control since the start.
    pub control: ControlReport,
}

/// A peer in a [`StatusReport`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerReport {
    /// Its host.
    pub host: HostName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// `alive`, `suspect`, `leaving` or `gone`.
    pub state: Box<str>,
    /// The configuration version that it said it has.
    pub config_version: ConfigVersion,
}

/// A target in a [`StatusReport`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetReport {
    /// Its number.
    pub target: TargetId,
    /// `live`, `draining`, `ejected` or `lost`.
    pub state: Box<str>,
    /// Attempts in flight.
    pub in_flight: u32,
    /// The limit of attempts in flight.
    pub limit: u32,
    /// Connections that may be held.
    pub connections: u32,
    /// Recent latency, in milliseconds.
    pub latency_ms: f64,
}

/// A quarantine in a [`StatusReport`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuarantineReport {
    /// The fingerprint, in hexadecimal.
    pub fingerprint: Box<str>,
    /// How long it is held back, in milliseconds from now.
    pub left_ms: u64,
}

/// What control has cost since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlReport {
    /// Messages sent to peers.
    pub messages_sent: u64,
    /// Bytes sent to and got from peers and the platform.
    pub bytes: u64,
    /// Calls to the platform.
    pub platform_calls: u64,
}
