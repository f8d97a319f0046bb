//! A shard map in the form that the data path uses: [`ShardPlan`].
//!
//! A running query keeps to the plan that it began with, so a plan lives on after its map has been
//! replaced, until its last query has ended.

use std::sync::Arc;
use std::time::Instant;

use crate::engine::slots::Slot;
use crate::engine::timers::{QueryRef, TargetRef};
use crate::ids::{IndexVersion, ShardId};
use crate::shard_map::ShardMap;

/// How many shard requests may wait for a connection of one shard's targets before no further
/// query is started; the rest waits as whole queries, whose order can still change.
const PARKED_PER_SHARD: usize = 4;
/// The number of classes.
pub(crate) const CLASSES: usize = 3;

/// A shard request that waits for a free connection, in the order in which they get one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ParkedShard {
    /// The class: 0 is served first.
    pub(crate) class: u8,
    /// The query's deadline, or its arrival where the order is first in first out.
    pub(crate) rank: Instant,
    /// The query.
    pub(crate) query: QueryRef,
    /// The place of the shard among the query's.
    pub(crate) shard_index: u32,
}

/// The snapshot that new queries of a plan are pinned to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PlanSnapshot {
    /// The index version.
    pub(crate) version: IndexVersion,
    /// How many shards can be served at it.
    pub(crate) covered: u32,
    /// How many of the others have a target that has not told its versions yet.
    pub(crate) unreported: u32,
}

/// A shard map, ready for use.
#[derive(Debug)]
pub(crate) struct ShardPlan {
    /// The map.
    pub(crate) map: Arc<ShardMap>,
    /// The collection that it belongs to.
    pub(crate) collection: Slot,
    /// Until when queries wait for targets that have not told their versions yet.
    pub(crate) version_wait_until: Instant,
    /// How many running queries go by it.
    pub(crate) running_queries: u32,
    /// Whether its map has been replaced.
    pub(crate) retired: bool,
    /// The snapshot for new queries, as last computed.
    pub(crate) snapshot: Option<PlanSnapshot>,
    /// Whether the snapshot must be computed again.
    pub(crate) stale: bool,
    replicas: Vec<TargetRef>,
    offsets: Vec<u32>,
    parked: Vec<Vec<ParkedShard>>,
    parked_total: u32,
    saturated: [u32; CLASSES],
}

impl ShardPlan {
    /// Makes the plan of a map whose targets are already known, in the map's order.
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

    /// How many shards it has.
    pub(crate) fn shard_count(&self) -> u32 {
        self.map.shards.len() as u32
    }

    /// The shard at a position.
    pub(crate) fn shard(&self, position: u32) -> ShardId {
        self.map.shards[position as usize].shard
    }

    /// The position of a shard.
    pub(crate) fn position(&self, shard: ShardId) -> Option<u32> {
        self.map
            .shards
            .binary_search_by_key(&shard, |entry| entry.shard)
            .ok()
            .map(|position| position as u32)
    }

    /// The replicas of the shard at a position.
    pub(crate) fn replicas(&self, position: u32) -> &[TargetRef] {
        let from = self.offsets[position as usize] as usize;
        let to = self.offsets[position as usize + 1] as usize;
        &self.replicas[from..to]
    }

    /// Whether the targets are so busy that no further query of a class is started.
    pub(crate) fn is_saturated(&self, class: usize) -> bool {
        self.saturated[class] > 0
    }

    /// Whether one shard's targets are so busy that nothing more of a class is started on it.
    pub(crate) fn is_shard_saturated(&self, position: u32, class: usize) -> bool {
        self.saturated_classes(position)[class]
    }

    /// How many shard requests wait for a connection.
    pub(crate) fn parked_total(&self) -> u32 {
        self.parked_total
    }

    /// The shard requests that wait for a connection of one shard's targets.
    pub(crate) fn parked(&self, position: u32) -> &[ParkedShard] {
        self.parked
            .get(position as usize)
            .map_or(&[], Vec::as_slice)
    }

    /// Lets a shard request wait.
    pub(crate) fn park(&mut self, position: u32, entry: ParkedShard) {
        let before = self.saturated_classes(position);
        let list = &mut self.parked[position as usize];
        let index = list.binary_search(&entry).unwrap_or_else(|index| index);
        list.insert(index, entry);
        self.parked_total += 1;
        self.update_saturated(position, before);
    }

    /// Takes a waiting shard request away; false if it did not wait.
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
        // The list is sorted by class first, so the entry at the bound tells for every class.
        let bound = list.get(PARKED_PER_SHARD - 1);
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
