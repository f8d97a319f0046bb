//! Shard maps coming into force and going.
//!
//! A newer map is adopted when it can be served at least as whole as the one in force, or after a
//! short while in any case: its new targets must first tell which index versions they hold. See
//! `docs/DESIGN.md`, "Snapshot".

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::action::EngineAction;
use crate::engine::SearchEngine;
use crate::engine::collection::CollectionState;
use crate::engine::plan::ShardPlan;
use crate::engine::slots::Slot;
use crate::engine::target::HostedShard;
use crate::engine::timers::{QueryRef, TargetRef, TimerKind};
use crate::event::ConnectionShare;
use crate::ids::{MapEpoch, TargetId};
use crate::outcome::{Refusal, RefusalCode};
use crate::shard_map::ShardMap;

/// How long a newer map waits to be served whole; a target that left must get no work after that.
const ADOPT_GRACE: Duration = Duration::from_secs(1);
/// How long queries of a new map wait for targets that have not told their versions.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// The connections that were told for a target before any map listed it.
fn told_share(shares: &[ConnectionShare], target: TargetId) -> Option<u32> {
    let place = shares
        .binary_search_by_key(&target, |share| share.target)
        .ok()?;
    Some(shares[place].connections)
}

impl SearchEngine {
    /// Takes a map; one that is older than the newest known is ignored.
    pub(super) fn put_map(&mut self, now: Instant, map: &Arc<ShardMap>) {
        let slot = self.find_or_add(&map.collection);
        let Some(collection) = self.collections.get(slot) else {
            return;
        };
        let current = collection.current;
        let replaced = collection.pending;
        let newest = replaced.or(current).and_then(|plan| self.plans.get(plan));
        if newest.is_some_and(|plan| map.epoch < plan.map.epoch || plan.map == *map) {
            return;
        }
        let plan = self.add_plan(now, map, slot, current.is_some());
        let Some(collection) = self.collections.get_mut(slot) else {
            return;
        };
        if current.is_none() {
            collection.current = Some(plan);
            self.mark_queue(slot);
            return;
        }
        collection.pending = Some(plan);
        if let Some(replaced) = replaced {
            self.retire_plan(replaced);
        }
        self.timers.add(now + ADOPT_GRACE, TimerKind::Adopt(slot));
        self.adopt_if_ready(slot);
    }

    fn find_or_add(&mut self, name: &str) -> Slot {
        if let Some(slot) = self.names.find(name) {
            return slot;
        }
        let reserves_starts = self.options.protections.reserved_starts;
        let slot = self
            .collections
            .insert(CollectionState::new(reserves_starts));
        self.names.insert(name.into(), slot);
        slot
    }

    fn add_plan(
        &mut self,
        now: Instant,
        map: &Arc<ShardMap>,
        collection: Slot,
        replaces: bool,
    ) -> Slot {
        let adaptive = self.options.protections.adaptive_limits;
        let mut targets = Vec::with_capacity(map.targets.len());
        for entry in &map.targets {
            let home = &self.options.data_centre;
            let local = home.is_empty() || *home == entry.data_centre;
            let (target, fresh) = self.targets.learn(entry, collection, adaptive, local);
            targets.push(target);
            if let Some(state) = self.targets.get_mut(target) {
                state.listed += 1;
                if fresh && let Some(share) = told_share(&self.shares, entry.target) {
                    state.limit.set_share(share);
                }
                if fresh && replaces {
                    // It came up while others ran, so it is probably just starting.
                    state.begin_cold();
                }
            }
        }
        let settled_at = now + SETTLE_TIME;
        let plan = ShardPlan::new(Arc::clone(map), collection, &targets, settled_at);
        self.timers.add(settled_at, TimerKind::Settle(collection));
        let slot = self.plans.insert(plan);
        self.note_hosted(slot);
        if let Some(state) = self.collections.get_mut(collection) {
            state.plans += 1;
        }
        slot
    }

    fn note_hosted(&mut self, slot: Slot) {
        let Some(plan) = self.plans.get(slot) else {
            return;
        };
        for position in 0..plan.shard_count() {
            for replica in plan.replicas(position) {
                if let Some(state) = self.targets.get_mut(*replica) {
                    state.hosted.push(HostedShard {
                        plan: slot,
                        position,
                    });
                }
            }
        }
    }

    /// Adopts a pending map if it can be served at least as whole as the one in force.
    pub(super) fn adopt_if_ready(&mut self, collection: Slot) {
        let Some(state) = self.collections.get(collection) else {
            return;
        };
        let (Some(current), Some(pending)) = (state.current, state.pending) else {
            return;
        };
        if self.served_share(pending) >= self.served_share(current) {
            self.adopt_pending(collection);
        }
    }

    /// The share of a plan's shards that can be served, 0 to 1.
    fn served_share(&mut self, plan: Slot) -> f64 {
        let covered = self
            .fresh_snapshot(plan)
            .map_or(0, |snapshot| snapshot.covered);
        let shards = self.plans.get(plan).map_or(1, ShardPlan::shard_count);
        f64::from(covered) / f64::from(shards.max(1))
    }

    /// Puts a pending map in force.
    pub(super) fn adopt_pending(&mut self, collection: Slot) {
        let Some(state) = self.collections.get_mut(collection) else {
            return;
        };
        let Some(pending) = state.pending.take() else {
            return;
        };
        let replaced = state.current.replace(pending);
        if let Some(replaced) = replaced {
            self.retire_plan(replaced);
        }
        self.mark_queue(collection);
    }

    /// Adopts the pending maps of a target that says it does not hold what the map in force says.
    pub(super) fn adopt_pending_of(&mut self, target: TargetRef) {
        let Some(state) = self.targets.get(target) else {
            return;
        };
        let collection = state.collection;
        self.adopt_pending(collection);
    }

    /// Takes a collection out of service; its running queries go on with what they have sent.
    pub(super) fn remove_map(&mut self, name: &str, actions: &mut Vec<EngineAction>) {
        let Some(slot) = self.names.remove(name) else {
            return;
        };
        let Some(state) = self.collections.get_mut(slot) else {
            return;
        };
        let plans = [state.current.take(), state.pending.take()];
        let waiting: Vec<QueryRef> = state.queue.queries().collect();
        for query in waiting {
            let refusal = Refusal::not_run(
                RefusalCode::UnknownCollection,
                "queue",
                "the collection is no longer published",
            );
            self.end_waiting(query, refusal, actions);
        }
        for plan in plans.into_iter().flatten() {
            self.retire_plan(plan);
        }
    }

    fn retire_plan(&mut self, slot: Slot) {
        let Some(plan) = self.plans.get_mut(slot) else {
            return;
        };
        plan.retired = true;
        let unused = plan.users == 0;
        let map = Arc::clone(&plan.map);
        for entry in &map.targets {
            self.unlist(entry.target);
        }
        if unused {
            self.drop_plan(slot);
        }
    }

    fn unlist(&mut self, target: TargetId) {
        let Some(target) = self.targets.find(target) else {
            return;
        };
        let Some(state) = self.targets.get_mut(target) else {
            return;
        };
        state.listed -= 1;
        if state.listed == 0 {
            self.note_changed(target);
        }
    }

    /// Ends one query's use of a plan.
    pub(super) fn release_plan(&mut self, slot: Slot) {
        let Some(plan) = self.plans.get_mut(slot) else {
            return;
        };
        plan.users -= 1;
        if plan.retired && plan.users == 0 {
            self.drop_plan(slot);
        }
    }

    fn drop_plan(&mut self, slot: Slot) {
        let Some(plan) = self.plans.remove(slot) else {
            return;
        };
        for entry in &plan.map.targets {
            let Some(target) = self.targets.find(entry.target) else {
                continue;
            };
            if let Some(state) = self.targets.get_mut(target) {
                state.hosted.retain(|hosted| hosted.plan != slot);
            }
            self.targets.forget_unused(target);
        }
        self.release_collection(plan.collection);
    }

    fn release_collection(&mut self, slot: Slot) {
        let Some(state) = self.collections.get_mut(slot) else {
            return;
        };
        state.plans -= 1;
        if state.plans == 0 && state.current.is_none() {
            self.collections.remove(slot);
        }
    }

    /// The epoch of the map that new queries of a collection go by, if there is one.
    pub fn map_epoch(&self, collection: &str) -> Option<MapEpoch> {
        let slot = self.names.find(collection)?;
        let plan = self.collections.get(slot)?.current?;
        Some(self.plans.get(plan)?.map.epoch)
    }
}
