//! The record that a target publishes: [`TargetRecord`].

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::route::ServiceName;
use crate::ids::DataCentreName;

/// Name of one incarnation of a target; distinguishes it from other targets at the same address.
pub type TargetName = Box<str>;

/// Whether a target accepts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetPhase {
    /// The target accepts requests.
    Serving,
    /// The target is leaving and must not receive new requests.
    Draining,
}

/// The published record of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetRecord {
    /// Name of the target.
    pub name: TargetName,
    /// Service that the target belongs to.
    pub service: ServiceName,
    /// Address at which the target accepts HTTP.
    pub address: SocketAddr,
    /// Data centre in which the target runs.
    pub data_centre: DataCentreName,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Whether the target accepts requests.
    pub phase: TargetPhase,
    /// Remaining time during which the target is slow after its start.
    pub cold_left: Duration,
    /// Start time of the target in Unix milliseconds by its own clock; distinguishes incarnations
    /// with the same name.
    pub started_ms: Option<u64>,
}
