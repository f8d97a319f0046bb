//! A shard map prepared for the data path: [`ShardPlan`].
//!
//! A running query keeps the plan that it started with, so a replaced plan is kept until its last
//! query has ended.

use std::sync::Arc;
use std::time::Instant;

use crate::engine::slots::Slot;
use crate::engine::timers::{QueryRef, TargetRef};
use crate::ids::{IndexVersion, ShardId};
use crate::shard_map::ShardMap;

/// Maximum number of shard requests parked for one shard before no further query is started. Other
/// queries keep waiting in the admission queue, where their order can still change.
const MAX_PARKED_PER_SHARD: usize = 4;
/// Number of urgency classes.
pub(crate) const CLASSES: usize = 3;

/// A shard request that waits for a free connection. The ordering is the order of service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ParkedShard {
    /// Index of the class; class 0 is served first.
    pub(crate) class: u8,
    /// The query's deadline, or its submission time if the order is first in, first out.
    pub(crate) rank: Instant,
    pub(crate) query: QueryRef,
    /// Index of the shard in the query's list of shards.
    pub(crate) shard_index: u32,
}

/// Snapshot that new queries of a plan are pinned to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PlanSnapshot {
    pub(crate) version: IndexVersion,
    /// Number of shards that can be served at the version.
    pub(crate) covered: u32,
    /// Number of other shards that have a usable target which has not reported its versions.
    pub(crate) unreported: u32,
}

/// A shard map with resolved targets and the parked requests of each shard.
#[derive(Debug)]
pub(crate) struct ShardPlan {
    pub(crate) map: Arc<ShardMap>,
    pub(crate) collection: Slot,
    /// Time until which queries wait for targets that have not reported their versions.
    pub(crate) version_wait_until: Instant,
    /// Number of running queries that use the plan.
    pub(crate) running_queries: u32,
    /// Whether the map was replaced or removed.
    pub(crate) retired: bool,
    /// Snapshot for new queries, as last computed.
    pub(crate) snapshot: Option<PlanSnapshot>,
    /// Whether the snapshot must be computed again.
    pub(crate) stale: bool,
    replicas: Vec<TargetRef>,
    offsets: Vec<u32>,
    parked: Vec<Vec<ParkedShard>>,
    parked_total: u32,
    /// By urgency class, the number of shards that can park no further request of the class.
    saturated: [u32; CLASSES],
}

impl ShardPlan {
    /// Creates the plan of a map; `targets` are the map's targets in the map's order.
    pub(crate) fn new(
        map: Arc<ShardMap>,
        collection: Slot,
        targets: &[TargetRef],
        version_wait_until: Instant,
    ) -> Self {
        let mut replicas = Vec::new();
        let mut offsets = vec![0];
        for entry in &map.shards {
            for replica in &entry.replicas {
                if let Ok(index) = targets.binary_search_by_key(replica, |known| known.target) {
                    replicas.push(targets[index]);
                }
            }
            offsets.push(replicas.len() as u32);
        }
        let parked = vec![Vec::new(); map.shards.len()];
        Self {
            map,
            collection,
            version_wait_until,
            running_queries: 0,
            retired: false,
            snapshot: None,
            stale: true,
            replicas,
            offsets,
            parked,
            parked_total: 0,
            saturated: [0; CLASSES],
        }
    }

    pub(crate) fn shard_count(&self) -> u32 {
        self.map.shards.len() as u32
    }

    pub(crate) fn shard(&self, position: u32) -> ShardId {
        self.map.shards[position as usize].shard
    }

    /// Returns the position of a shard, if the map contains the shard.
    pub(crate) fn position(&self, shard: ShardId) -> Option<u32> {
        self.map
            .shards
            .binary_search_by_key(&shard, |entry| entry.shard)
            .ok()
            .map(|position| position as u32)
    }

    pub(crate) fn replicas(&self, position: u32) -> &[TargetRef] {
        let from = self.offsets[position as usize] as usize;
        let to = self.offsets[position as usize + 1] as usize;
        &self.replicas[from..to]
    }

    /// Returns whether any shard has so many parked requests that no query of a class may start.
    pub(crate) fn is_saturated(&self, class: usize) -> bool {
        self.saturated[class] > 0
    }

    /// Returns whether one shard has so many parked requests that no request of a class may start
    /// on it.
    pub(crate) fn is_shard_saturated(&self, position: u32, class: usize) -> bool {
        self.saturated_classes(position)[class]
    }

    /// Returns the number of parked requests of all shards.
    pub(crate) fn parked_total(&self) -> u32 {
        self.parked_total
    }

    pub(crate) fn parked(&self, position: u32) -> &[ParkedShard] {
        self.parked
            .get(position as usize)
            .map_or(&[], Vec::as_slice)
    }

    pub(crate) fn park(&mut self, position: u32, entry: ParkedShard) {
        let before = self.saturated_classes(position);
        let list = &mut self.parked[position as usize];
        let index = list.binary_search(&entry).unwrap_or_else(|index| index);
        list.insert(index, entry);
        self.parked_total += 1;
        self.update_saturated(position, before);
    }

    /// Removes a parked request; returns false if it was not parked.
    pub(crate) fn unpark(&mut self, position: u32, entry: ParkedShard) -> bool {
        let before = self.saturated_classes(position);
        let list = &mut self.parked[position as usize];
        let Ok(index) = list.binary_search(&entry) else {
            return false;
        };
        list.remove(index);
        self.parked_total -= 1;
        self.update_saturated(position, before);
        true
    }

    fn saturated_classes(&self, position: u32) -> [bool; CLASSES] {
        let list = &self.parked[position as usize];
        // The list is sorted by class first, so the entry at the limit decides for every class.
        let bound = list.get(MAX_PARKED_PER_SHARD - 1);
        std::array::from_fn(|class| bound.is_some_and(|entry| usize::from(entry.class) <= class))
    }

    fn update_saturated(&mut self, position: u32, before: [bool; CLASSES]) {
        let after = self.saturated_classes(position);
        for class in 0..CLASSES {
            match (before[class], after[class]) {
                (false, true) => self.saturated[class] += 1,
                (true, false) => self.saturated[class] -= 1,
                _ => {}
            }
        }
    }
}
