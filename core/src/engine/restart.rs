//! Restart of a whole query when its snapshot is no longer available.
//!
//! An answer never mixes two snapshots, so a restart discards all hits received so far.
//! See `docs/DESIGN.md`, "Snapshot".

use std::time::Instant;

use crate::action::EngineAction;
use crate::coverage::{MissingReason, Snapshot};
use crate::engine::SearchEngine;
use crate::engine::plan::PlanSnapshot;
use crate::engine::query::{QueryStage, ShardStage};
use crate::engine::slots::Slot;
use crate::engine::snapshot::can_serve;
use crate::engine::timers::QueryRef;

/// Maximum number of restarts of a query.
const MAX_RESTARTS: u8 = 2;

impl SearchEngine {
    /// Restarts a query at a newer snapshot if that is allowed and serves the missing shards.
    pub(super) fn restart_query(
        &mut self,
        now: Instant,
        query: QueryRef,
        actions: &mut Vec<EngineAction>,
    ) {
        let Some((plan, snapshot)) = self.newer_snapshot(now, query) else {
            return;
        };
        self.drop_progress(query, actions);
        let Some(state) = self.queries.get_mut(query) else {
            return;
        };
        state.restarts += 1;
        state.hits.clear();
        self.start_query(now, query, plan, snapshot, actions);
    }

    fn newer_snapshot(&mut self, now: Instant, query: QueryRef) -> Option<(Slot, PlanSnapshot)> {
        if !self.options.protections.snapshot_restart {
            return None;
        }
        let state = self.queries.get(query)?;
        let collection = state.collection;
        let allowed = state.restarts < MAX_RESTARTS
            && now < state.deadline
            && !state.quarantined
            && (state.is_repeatable() || !state.may_have_run);
        if !allowed {
            return None;
        }
        self.adopt_if_ready(collection);
        let plan = self.collections.get(collection)?.current?;
        let snapshot = self.fresh_snapshot(plan)?;
        let epoch = self.plans.get(plan)?.map.epoch;
        let state = self.queries.get(query)?;
        let newer = Snapshot {
            epoch,
            version: snapshot.version,
        };
        if newer <= state.snapshot || !self.serves_unavailable_shards(query, plan, snapshot) {
            return None;
        }
        Some((plan, snapshot))
    }

    /// Returns whether a snapshot serves the shards that became unavailable to the query. A shard
    /// that the newer map does not contain was split or moved; its successors are requested
    /// instead.
    fn serves_unavailable_shards(
        &self,
        query: QueryRef,
        plan: Slot,
        snapshot: PlanSnapshot,
    ) -> bool {
        let (Some(state), Some(plan)) = (self.queries.get(query), self.plans.get(plan)) else {
            return false;
        };
        state
            .shards
            .iter()
            .filter(|progress| {
                matches!(
                    progress.stage,
                    ShardStage::Missing(MissingReason::WrongVersion | MissingReason::NoTarget)
                )
            })
            .all(|progress| {
                plan.position(progress.shard).is_none_or(|position| {
                    can_serve(plan, &self.targets, position, snapshot.version)
                })
            })
    }

    /// Cancels all requests of a running query and releases its plan.
    pub(super) fn drop_progress(&mut self, query: QueryRef, actions: &mut Vec<EngineAction>) {
        let Some(state) = self.queries.get(query) else {
            return;
        };
        let QueryStage::Running { plan } = state.stage else {
            return;
        };
        for shard_index in 0..state.shards.len() as u32 {
            self.unpark(query, shard_index);
            self.cancel_shard(query, shard_index, actions);
        }
        self.release_plan(plan);
    }

    /// Cancels the attempts of a query's shard that are in flight.
    pub(super) fn cancel_shard(
        &mut self,
        query: QueryRef,
        shard_index: u32,
        actions: &mut Vec<EngineAction>,
    ) {
        let Some(state) = self.queries.get_mut(query) else {
            return;
        };
        let progress = &mut state.shards[shard_index as usize];
        let in_flight = std::mem::take(&mut progress.in_flight);
        // The reply to a cancelled attempt is ignored, so whether it ran stays unknown.
        state.may_have_run |= in_flight.iter().any(Option::is_some);
        for attempt in in_flight.into_iter().flatten() {
            self.cancel(attempt, actions);
        }
    }
}
