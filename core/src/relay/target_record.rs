//! What a target publishes of itself: [`TargetRecord`].

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::route::ServiceName;
use crate::ids::DataCentreName;

/// A target's name of its incarnation, by which it can be told from others at its address.
pub type TargetName = Box<str>;

/// Whether a target takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetPhase {
    /// It takes work.
    Serving,
    /// It is leaving and must get no new work.
    Draining,
}

/// One target as it is published.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetRecord {
    /// Its name.
    pub name: TargetName,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it accepts HTTP.
    pub address: SocketAddr,
    /// The data centre that it stands in.
    pub data_centre: DataCentreName,
    /// How many requests it runs at once.
    pub slots: u32,
    /// Whether it takes work.
    pub phase: TargetPhase,
    /// How much longer it is slow after its start.
    pub cold_left: Duration,
    /// When it started, in Unix milliseconds by its own clock; tells incarnations of one name apart.
    pub started_ms: Option<u64>,
}
