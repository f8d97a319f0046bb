//! The shard map of a collection, as the platform publishes it: which target holds which shard.
//!
//! See `docs/DESIGN.md`, "Snapshot".

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::ids::{CollectionName, DataCentreName, HostName, MapEpoch, ShardId, TargetId};

/// Which targets hold which shards of one collection.
///
/// Both lists are sorted by their ids once [`ShardMap::normalize`] has run, so that look-ups are
/// binary searches.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShardMap {
    /// The collection that the map describes.
    pub collection: CollectionName,
    /// The version of this map.
    pub epoch: MapEpoch,
    /// The shards, each with its replicas.
    pub shards: Vec<ShardEntry>,
    /// The targets that the replicas name.
    pub targets: Vec<TargetEntry>,
}

/// One shard and the targets that hold a replica of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShardEntry {
    /// The shard's number.
    pub shard: ShardId,
    /// The targets that hold it.
    pub replicas: Vec<TargetId>,
}

/// One target (leaf) with the limits that it publishes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetEntry {
    /// The target's number.
    pub target: TargetId,
    /// Where it accepts HTTP.
    pub address: SocketAddr,
    /// The data centre that it stands in.
    pub data_centre: DataCentreName,
    /// The host that it runs on.
    pub host: HostName,
    /// How many requests it runs at once.
    pub slots: u32,
    /// How many connections it accepts from the whole fleet.
    pub connections: u32,
    /// What a new connection costs it, in milliseconds.
    pub connect_ms: u32,
}

/// A published shard map that cannot be put in force.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ShardMapError {
    /// A shard names a target that the map does not list.
    #[snafu(display("shard {shard}: replica {target} is not in the list of targets"))]
    UnknownTarget {
        /// The shard.
        shard: ShardId,
        /// The target that is not listed.
        target: TargetId,
    },
    /// A number stands twice in one of the lists.
    #[snafu(display("{list}: {id} stands twice"))]
    Duplicate {
        /// The list in which it stands twice.
        list: &'static str,
        /// The number that stands twice.
        id: u32,
    },
    /// A list that must not be empty is empty.
    #[snafu(display("{list}: at least one entry is needed"))]
    Empty {
        /// The list that is empty.
        list: &'static str,
    },
    /// A target's limit is zero, so that it could never be used.
    #[snafu(display("target {target}: {field} must be at least 1"))]
    ZeroLimit {
        /// The target.
        target: TargetId,
        /// The field that is zero.
        field: &'static str,
    },
}

impl ShardMap {
    /// Sorts the lists and checks that the map is whole, so that later look-ups can rely on both.
    ///
    /// # Errors
    ///
    /// The first [`ShardMapError`] found; the map must then not be put in force.
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

    /// The entry of a target, if the map lists it.
    pub fn target(&self, target: TargetId) -> Option<&TargetEntry> {
        let position = self
            .targets
            .binary_search_by_key(&target, |entry| entry.target)
            .ok()?;
        self.targets.get(position)
    }

    /// The replicas of a shard, in the order of their ids; empty if the map lacks the shard.
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
