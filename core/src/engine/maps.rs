//! Adoption and removal of shard maps.
//!
//! The targets of a newer map must first report which index versions they hold. The map is
//! therefore adopted once it can be served at least as completely as the current one, or after a
//! short delay in any case. See `docs/DESIGN.md`, "Snapshot".

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

/// Maximum delay of adopting a newer map. It is bounded because a target that the newer map no
/// longer lists must stop getting work.
const MAX_ADOPTION_DELAY: Duration = Duration::from_secs(1);
/// How long queries of a new map wait for targets that have not reported their index versions.
const VERSION_REPORT_WAIT: Duration = Duration::from_millis(500);

/// Returns the connection share that was announced for a target, possibly before a map listed the
/// target.
fn known_share(shares: &[ConnectionShare], target: TargetId) -> Option<u32> {
    let index = shares
        .binary_search_by_key(&target, |share| share.target)
        .ok()?;
    Some(shares[index].connections)
}

impl SearchEngine {
    /// Takes a new map. A map that is older than or identical to the newest known one is ignored.
    pub(super) fn update_map(&mut self, now: Instant, map: &Arc<ShardMap>) {
        let slot = self.find_or_add_collection(&map.collection);
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
            self.schedule_queue(slot);
            return;
        }
        collection.pending = Some(plan);
        if let Some(replaced) = replaced {
            self.retire_plan(replaced);
        }
        self.timers
            .add(now + MAX_ADOPTION_DELAY, TimerKind::AdoptMap(slot));
        self.adopt_if_ready(slot);
    }

    fn find_or_add_collection(&mut self, name: &str) -> Slot {
        if let Some(slot) = self.collection_names.find(name) {
            return slot;
        }
        let reserves_starts = self.options.protections.reserved_starts;
        let slot = self
            .collections
            .insert(CollectionState::new(reserves_starts));
        self.collection_names.insert(name.into(), slot);
        slot
    }

    fn add_plan(
        &mut self,
        now: Instant,
        map: &Arc<ShardMap>,
        collection: Slot,
        is_replacement: bool,
    ) -> Slot {
        let adaptive = self.options.protections.adaptive_limits;
        let mut targets = Vec::with_capacity(map.targets.len());
        for entry in &map.targets {
            let own_data_centre = &self.options.data_centre;
            let local = own_data_centre.is_empty() || *own_data_centre == entry.data_centre;
            let (target, is_new) = self
                .targets
                .update_or_insert(entry, collection, adaptive, local);
            targets.push(target);
            if let Some(state) = self.targets.get_mut(target) {
                state.map_count += 1;
                if is_new && let Some(share) = known_share(&self.shares, entry.target) {
                    state.limit.set_share(share);
                }
                if is_new && is_replacement {
                    // A target added to a map in service has probably just started.
                    state.mark_cold();
                }
            }
        }
        let version_wait_until = now + VERSION_REPORT_WAIT;
        let plan = ShardPlan::new(Arc::clone(map), collection, &targets, version_wait_until);
        self.timers
            .add(version_wait_until, TimerKind::EndVersionWait(collection));
        let slot = self.plans.insert(plan);
        self.register_hosted_shards(slot);
        if let Some(state) = self.collections.get_mut(collection) {
            state.plans += 1;
        }
        slot
    }

    fn register_hosted_shards(&mut self, slot: Slot) {
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

    /// Adopts a pending map if it can be served at least as completely as the current one.
    pub(super) fn adopt_if_ready(&mut self, collection: Slot) {
        let Some(state) = self.collections.get(collection) else {
            return;
        };
        let (Some(current), Some(pending)) = (state.current, state.pending) else {
            return;
        };
        if self.servable_share(pending) >= self.servable_share(current) {
            self.adopt_pending(collection);
        }
    }

    /// Returns the share of a plan's shards that can be served, from 0 to 1.
    fn servable_share(&mut self, plan: Slot) -> f64 {
        let covered = self
            .fresh_snapshot(plan)
            .map_or(0, |snapshot| snapshot.covered);
        let shards = self.plans.get(plan).map_or(1, ShardPlan::shard_count);
        f64::from(covered) / f64::from(shards.max(1))
    }

    /// Makes the pending map the current one.
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
        self.schedule_queue(collection);
    }

    /// Adopts the pending map of a target's collection, after the target has refused a shard that
    /// the current map assigns to it.
    pub(super) fn adopt_pending_of(&mut self, target: TargetRef) {
        let Some(state) = self.targets.get(target) else {
            return;
        };
        let collection = state.collection;
        self.adopt_pending(collection);
    }

    /// Removes a collection: waiting queries are refused, running queries continue.
    pub(super) fn remove_map(&mut self, name: &str, actions: &mut Vec<EngineAction>) {
        let Some(slot) = self.collection_names.remove(name) else {
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
        let unused = plan.running_queries == 0;
        let map = Arc::clone(&plan.map);
        for entry in &map.targets {
            self.unlist_target(entry.target);
        }
        if unused {
            self.drop_plan(slot);
        }
    }

    fn unlist_target(&mut self, target: TargetId) {
        let Some(target) = self.targets.find(target) else {
            return;
        };
        let Some(state) = self.targets.get_mut(target) else {
            return;
        };
        state.map_count -= 1;
        if state.map_count == 0 {
            self.mark_target_changed(target);
        }
    }

    /// Ends the use of a plan by one query.
    pub(super) fn release_plan(&mut self, slot: Slot) {
        let Some(plan) = self.plans.get_mut(slot) else {
            return;
        };
        plan.running_queries -= 1;
        if plan.retired && plan.running_queries == 0 {
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
            self.targets.remove_if_unused(target);
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

    /// Returns the epoch of the map that new queries of a collection use, if there is one.
    pub fn map_epoch(&self, collection: &str) -> Option<MapEpoch> {
        let slot = self.collection_names.find(collection)?;
        let plan = self.collections.get(slot)?.current?;
        Some(self.plans.get(plan)?.map.epoch)
    }
}
