//! What the platform publishes, as JSON over HTTP. It can only be read and watched.
//!
//! | call | answer |
//! |---|---|
//! | `GET /v1/values?after=V&wait_ms=W` | 200 [`ValueChanges`] after version V; waits up to W for one; 429 over the limit |
//! | `GET /v1/hosts` | 200 [`HostList`], which lags |
//!
//! Keys: [`ACCOUNTS_KEY`] is a YAML document of templates and accounts; keys that begin with
//! [`MAP_PREFIX`] are JSON shard maps; [`FLEET_KEY`] is a JSON [`FleetBounds`].

use serde::{Deserialize, Serialize};
pub use yuccalift_core::control::FleetBounds;
use yuccalift_core::ids::{ConfigVersion, DataCentreName, HostName, ValueKey};

/// The key of the client accounts' document.
pub const ACCOUNTS_KEY: &str = "accounts";
/// The prefix of each shard map's key; the collection's name follows.
pub const MAP_PREFIX: &str = "map/";
/// The key of the fleet's bounds.
pub const FLEET_KEY: &str = "fleet";

/// One value with the version of its last change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PublishedValue {
    /// Its key.
    pub key: ValueKey,
    /// The configuration version that the change made; greater than any before it.
    pub version: ConfigVersion,
    /// The value; none where the key was removed.
    pub value: Option<Box<str>>,
}

/// The values that changed after a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ValueChanges {
    /// The version that the configuration has with these changes.
    pub version: ConfigVersion,
    /// The newest change of each changed key, sorted by key.
    pub changes: Vec<PublishedValue>,
}

/// Whether a host takes part, as the platform last saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// It is there.
    Live,
    /// It is about to go.
    Leaving,
}

/// One host of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostEntry {
    /// Its name.
    pub host: HostName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Where its daemon's peer listener is; empty for a host of targets.
    pub peer_address: Box<str>,
    /// Its state.
    pub state: HostState,
}

/// The platform's lagging list of hosts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostList {
    /// Entry hosts, sorted by name.
    pub entry_hosts: Vec<HostEntry>,
    /// Hosts of targets, sorted by name.
    pub target_hosts: Vec<HostEntry>,
}
