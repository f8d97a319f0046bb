//! Start of waiting queries: selection, snapshot and first shard requests.
//!
//! See `docs/DESIGN.md`, "Admission" and "Snapshot".

use std::time::Instant;

use crate::action::{AttemptCause, EngineAction, EngineDecision};
use crate::coverage::Snapshot;
use crate::engine::SearchEngine;
use crate::engine::admission::{FlowKey, WaitingQuery};
use crate::engine::plan::{PlanSnapshot, ShardPlan};
use crate::engine::query::{QueryStage, ShardProgress};
use crate::engine::slots::Slot;
use crate::engine::snapshot::choose_snapshot;
use crate::engine::timers::QueryRef;
use crate::search::RequestKind;

impl SearchEngine {
    /// Returns the snapshot for new queries of a plan, recomputed if targets have changed.
    pub(super) fn fresh_snapshot(&mut self, plan: Slot) -> Option<PlanSnapshot> {
        let plan = self.plans.get_mut(plan)?;
        if plan.stale {
            plan.snapshot = choose_snapshot(plan, &self.targets);
            plan.stale = false;
        }
        plan.snapshot
    }

    /// Starts waiting queries of a collection, in order, while its plan has a snapshot and is not
    /// saturated.
    pub(super) fn start_waiting(
        &mut self,
        now: Instant,
        collection: Slot,
        actions: &mut Vec<EngineAction>,
    ) {
        loop {
            let Some(state) = self.collections.get(collection) else {
                return;
            };
            if state.queue.is_empty() {
                return;
            }
            let Some(plan) = state.current else {
                return;
            };
            let Some(snapshot) = self.snapshot_for_start(now, plan) else {
                return;
            };
            let Some((key, entry)) = self.next_query(collection, plan) else {
                return;
            };
            self.take_from_queue(now, collection, plan, key, entry);
            self.start_query(now, entry.query, plan, snapshot, actions);
        }
    }

    /// Returns the snapshot for new queries of a plan, unless the plan still waits for targets to
    /// report their versions.
    fn snapshot_for_start(&mut self, now: Instant, plan: Slot) -> Option<PlanSnapshot> {
        let snapshot = self.fresh_snapshot(plan)?;
        let version_wait_until = self.plans.get(plan)?.version_wait_until;
        (snapshot.unreported == 0 || now >= version_wait_until).then_some(snapshot)
    }

    fn next_query(&self, collection: Slot, plan: Slot) -> Option<(FlowKey, WaitingQuery)> {
        let queue = &self.collections.get(collection)?.queue;
        let plan = self.plans.get(plan)?;
        queue.next(|key, query| {
            self.queries
                .get(query)
                .is_some_and(|state| can_start(plan, key, state.kind))
        })
    }

    fn take_from_queue(
        &mut self,
        now: Instant,
        collection: Slot,
        plan: Slot,
        key: FlowKey,
        entry: WaitingQuery,
    ) {
        let Some(state) = self.queries.get(entry.query) else {
            return;
        };
        let shards = self.plans.get(plan).map_or(1, ShardPlan::shard_count);
        let cost = match state.kind {
            RequestKind::Search => 1.0,
            RequestKind::Execute { .. } => 1.0 / f64::from(shards),
        };
        let account = state.account;
        if let Some(collection) = self.collections.get_mut(collection) {
            collection.queue.start(now, key, entry, cost);
        }
        if let Some(account) = self.accounts.get_mut(account) {
            account.waiting -= 1;
        }
    }

    /// Pins a query to a snapshot and sends its shard requests.
    pub(super) fn start_query(
        &mut self,
        now: Instant,
        query: QueryRef,
        plan: Slot,
        snapshot: PlanSnapshot,
        actions: &mut Vec<EngineAction>,
    ) {
        let Some(plan_state) = self.plans.get_mut(plan) else {
            return;
        };
        let Some(state) = self.queries.get_mut(query) else {
            return;
        };
        plan_state.running_queries += 1;
        state.stage = QueryStage::Running { plan };
        state.snapshot = Snapshot {
            epoch: plan_state.map.epoch,
            version: snapshot.version,
        };
        state.shards = requested_shards(plan_state, state.kind);
        state.open_shards = state.shards.len() as u32;
        let restarted = state.restarts > 0;
        let decision = if restarted {
            EngineDecision::Restarted {
                query: state.query,
                snapshot: state.snapshot,
            }
        } else {
            EngineDecision::Planned {
                query: state.query,
                snapshot: state.snapshot,
                shards: state.open_shards,
                waited: now.saturating_duration_since(state.submitted),
            }
        };
        let shards = state.open_shards;
        actions.push(EngineAction::Decided(decision));
        if shards == 0 {
            // The map does not contain the shard of a non-idempotent request.
            self.pending_work.finished_queries.push(query);
            return;
        }
        let cause = if restarted {
            AttemptCause::Retry
        } else {
            AttemptCause::First
        };
        for shard_index in 0..shards {
            self.request_shard(now, query, shard_index, cause, actions);
        }
        self.schedule_hedge_checks(now, query);
    }
}

fn can_start(plan: &ShardPlan, key: FlowKey, kind: RequestKind) -> bool {
    let class = usize::from(key.class);
    match kind {
        RequestKind::Search => !plan.is_saturated(class),
        RequestKind::Execute { shard } => plan
            .position(shard)
            .is_none_or(|position| !plan.is_shard_saturated(position, class)),
    }
}

fn requested_shards(plan: &ShardPlan, kind: RequestKind) -> Vec<ShardProgress> {
    match kind {
        RequestKind::Search => (0..plan.shard_count())
            .map(|position| ShardProgress::new(position, plan.shard(position)))
            .collect(),
        RequestKind::Execute { shard } => plan
            .position(shard)
            .map(|position| ShardProgress::new(position, shard))
            .into_iter()
            .collect(),
    }
}
