//! Values and host lists published by the platform, as JSON over HTTP. Daemons have read-only access.
//!
//! | call | answer |
//! |---|---|
//! | `GET /v1/values?after=V&wait_ms=W` | 200 [`ValueChanges`] after version V, waiting up to W ms for a change; 429 over the rate limit |
//! | `GET /v1/hosts` | 200 [`HostList`], which may be outdated |
//!
//! The value under [`ACCOUNTS_KEY`] is a YAML document of templates and accounts; values under keys
//! with the prefix [`SHARD_MAP_PREFIX`] are JSON shard maps; the value under [`FLEET_KEY`] is a
//! JSON [`FleetBounds`].

use serde::{Deserialize, Serialize};
pub use yuccalift_core::control::FleetBounds;
use yuccalift_core::ids::{ConfigVersion, DataCentreName, HostName, ValueKey};

/// Key of the document of templates and client accounts.
pub const ACCOUNTS_KEY: &str = "accounts";
/// Key prefix of shard maps; the name of the collection follows.
pub const SHARD_MAP_PREFIX: &str = "map/";
/// Key of the fleet bounds.
pub const FLEET_KEY: &str = "fleet";

/// A published value and the version of its last change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PublishedValue {
    /// Key that the value is published under.
    pub key: ValueKey,
    /// Configuration version created by the change; greater than all earlier ones.
    pub version: ConfigVersion,
    /// Text of the value; absent if the key was deleted.
    pub value: Option<Box<str>>,
}

/// The published values that changed after a given version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ValueChanges {
    /// Configuration version that includes these changes.
    pub version: ConfigVersion,
    /// Latest change of each changed key, sorted by key.
    pub changes: Vec<PublishedValue>,
}

/// Whether a host is in service, as last observed by the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// The host is in service.
    Live,
    /// The host is about to be removed.
    Leaving,
}

/// An entry of the platform's host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostEntry {
    /// Name of the host.
    pub host: HostName,
    /// Data centre of the host.
    pub data_centre: DataCentreName,
    /// Address of the daemon's peer listener; empty if the host runs targets.
    pub peer_address: Box<str>,
    /// State of the host.
    pub state: HostState,
}

/// The platform's list of hosts, which may be outdated.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostList {
    /// Hosts that run daemons, sorted by name.
    pub entry_hosts: Vec<HostEntry>,
    /// Hosts that run targets, sorted by name.
    pub target_hosts: Vec<HostEntry>,
}
