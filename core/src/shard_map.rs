//! The shard map of a collection, as published by the platform: which targets hold which shards.
//!
//! See `docs/DESIGN.md`, "Snapshot".

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::ids::{CollectionName, DataCentreName, HostName, MapEpoch, ShardId, TargetId};

/// Assignment of the shards of one collection to targets.
///
/// After [`ShardMap::normalize`] both lists are sorted by id, so that lookups can use binary
/// search.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShardMap {
    /// Collection that the map describes.
    pub collection: CollectionName,
    /// Version of the map.
    pub epoch: MapEpoch,
    /// Shards, each with its replicas.
    pub shards: Vec<ShardEntry>,
    /// Targets that the replicas refer to.
    pub targets: Vec<TargetEntry>,
}

/// A shard and the targets that hold a replica of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShardEntry {
    /// Id of the shard.
    pub shard: ShardId,
    /// Targets that hold a replica.
    pub replicas: Vec<TargetId>,
}

/// A target (leaf) and its published limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetEntry {
    /// Id of the target.
    pub target: TargetId,
    /// HTTP address of the target.
    pub address: SocketAddr,
    /// Data centre that the target is in.
    pub data_centre: DataCentreName,
    /// Host that the target runs on.
    pub host: HostName,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Number of connections that the target accepts from the whole fleet.
    pub connections: u32,
    /// Time that the target spends on accepting a connection, in milliseconds.
    pub connect_ms: u32,
}

/// Reason why a published shard map is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ShardMapError {
    /// A shard refers to a target that the map does not list.
    #[snafu(display("shard {shard}: replica {target} is not in the list of targets"))]
    UnknownTarget {
        /// Shard with the unknown replica.
        shard: ShardId,
        /// Id that is not in the list of targets.
        target: TargetId,
    },
    /// An id occurs twice in a list.
    #[snafu(display("{list}: id {id} occurs twice"))]
    Duplicate {
        /// Name of the list.
        list: &'static str,
        /// Id that occurs twice.
        id: u32,
    },
    /// A list that must not be empty is empty.
    #[snafu(display("{list}: at least one entry is needed"))]
    Empty {
        /// Name of the list.
        list: &'static str,
    },
    /// A limit of a target is zero, so that the target could never be used.
    #[snafu(display("target {target}: {field} must be at least 1"))]
    ZeroLimit {
        /// Id of the target.
        target: TargetId,
        /// Name of the field that is zero.
        field: &'static str,
    },
}

impl ShardMap {
    /// Sorts the lists and validates the map; lookups rely on both.
    ///
    /// # Errors
    ///
    /// Returns the first [`ShardMapError`] found; the map must then not be used.
    pub fn normalize(mut self) -> Result<Self, ShardMapError> {
        self.shards.sort_by_key(|entry| entry.shard);
        self.targets.sort_by_key(|entry| entry.target);
        self.check_lists()?;
        for target in &self.targets {
            check_limits(target)?;
        }
        for entry in &mut self.shards {
            entry.replicas.sort_unstable();
        }
        for entry in &self.shards {
            self.check_replicas(entry)?;
        }
        Ok(self)
    }

    /// Returns the entry of a target, or `None` if the map does not list it.
    pub fn target(&self, target: TargetId) -> Option<&TargetEntry> {
        let position = self
            .targets
            .binary_search_by_key(&target, |entry| entry.target)
            .ok()?;
        self.targets.get(position)
    }

    /// Returns the replicas of a shard, sorted by target id; empty if the map lacks the shard.
    pub fn replicas(&self, shard: ShardId) -> &[TargetId] {
        self.shards
            .binary_search_by_key(&shard, |entry| entry.shard)
            .map_or(&[], |position| &self.shards[position].replicas)
    }

    fn check_lists(&self) -> Result<(), ShardMapError> {
        if self.shards.is_empty() {
            return EmptySnafu { list: "shards" }.fail();
        }
        if self.targets.is_empty() {
            return EmptySnafu { list: "targets" }.fail();
        }
        let shard = first_duplicate(self.shards.iter().map(|entry| entry.shard));
        if let Some(id) = shard {
            return DuplicateSnafu { list: "shards", id }.fail();
        }
        let target = first_duplicate(self.targets.iter().map(|entry| entry.target));
        if let Some(id) = target {
            return DuplicateSnafu {
                list: "targets",
                id,
            }
            .fail();
        }
        Ok(())
    }

    fn check_replicas(&self, entry: &ShardEntry) -> Result<(), ShardMapError> {
        let shard = entry.shard;
        if entry.replicas.is_empty() {
            return EmptySnafu { list: "replicas" }.fail();
        }
        if let Some(id) = first_duplicate(entry.replicas.iter().copied()) {
            return DuplicateSnafu {
                list: "replicas",
                id,
            }
            .fail();
        }
        for &target in &entry.replicas {
            if self.target(target).is_none() {
                return UnknownTargetSnafu { shard, target }.fail();
            }
        }
        Ok(())
    }
}

fn check_limits(entry: &TargetEntry) -> Result<(), ShardMapError> {
    let target = entry.target;
    if entry.slots == 0 {
        return ZeroLimitSnafu {
            target,
            field: "slots",
        }
        .fail();
    }
    if entry.connections == 0 {
        return ZeroLimitSnafu {
            target,
            field: "connections",
        }
        .fail();
    }
    Ok(())
}

fn first_duplicate(sorted: impl Iterator<Item = u32>) -> Option<u32> {
    let mut last = None;
    for id in sorted {
        if last == Some(id) {
            return Some(id);
        }
        last = Some(id);
    }
    None
}
