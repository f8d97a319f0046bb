//! State updates: reports about targets, connection shares, quarantines and process pauses.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::action::EngineAction;
use crate::coverage::MissingReason;
use crate::engine::SearchEngine;
use crate::engine::query::{QueryStage, ShardStage};
use crate::engine::target::LoadReport;
use crate::engine::timers::{QueryRef, TargetRef};
use crate::event::{ConnectionShare, TargetUpdate, TargetUpdateKind};
use crate::ids::{Fingerprint, IndexVersion};
use crate::outcome::{Refusal, RefusalCode};

/// How long a target's own report takes precedence over second-hand reports, which lag.
const OWN_REPORT_PRECEDENCE: Duration = Duration::from_secs(5);

impl SearchEngine {
    /// Applies new connection shares; a target that is not listed keeps its share.
    pub(super) fn update_shares(&mut self, shares: Arc<[ConnectionShare]>) {
        // The list is kept for targets that a later map adds.
        self.shares = shares;
        for share in Arc::clone(&self.shares).iter() {
            let Some(target) = self.targets.find(share.target) else {
                continue;
            };
            let Some(state) = self.targets.get_mut(target) else {
                continue;
            };
            let before = state.limit.share();
            state.limit.set_share(share.connections);
            if (before == 0) == (share.connections == 0) {
                self.schedule_parked(target);
            } else {
                self.mark_target_changed(target);
            }
        }
    }

    /// Applies a report about a target; reports about unknown targets are ignored.
    pub(super) fn apply_target_update(
        &mut self,
        now: Instant,
        update: &TargetUpdate,
        actions: &mut Vec<EngineAction>,
    ) {
        let Some(target) = self.targets.find(update.target) else {
            return;
        };
        match &update.kind {
            TargetUpdateKind::Load { load, age } => {
                if let (Some(state), Some(taken_at)) =
                    (self.targets.get_mut(target), now.checked_sub(*age))
                {
                    let load = load.clamp(0.0, 1.0);
                    state.report = Some(LoadReport { load, taken_at });
                }
            }
            TargetUpdateKind::Held(held) => self.apply_version_report(now, target, held),
            TargetUpdateKind::Draining => self.mark_draining(now, target),
            TargetUpdateKind::Live => self.mark_live(now, target),
            TargetUpdateKind::Leaving(leaving) => self.set_reported_leaving(target, *leaving),
            TargetUpdateKind::Reachable => self.mark_reachable(now, target, actions),
        }
    }

    /// Applies a report of held versions, unless the target has recently reported them in a reply.
    fn apply_version_report(&mut self, now: Instant, target: TargetRef, held: &[IndexVersion]) {
        let reported_at = self
            .targets
            .get(target)
            .and_then(|state| state.versions_reported_at);
        if reported_at.is_none_or(|at| now.saturating_duration_since(at) >= OWN_REPORT_PRECEDENCE) {
            self.update_held_versions(target, held.to_vec());
        }
    }

    /// Records that a target itself reports that it is draining.
    pub(super) fn mark_draining(&mut self, now: Instant, target: TargetRef) {
        let Some(state) = self.targets.get_mut(target) else {
            return;
        };
        state.drain_seen_at = Some(now);
        if !state.drain_reports.by_target {
            state.drain_reports.by_target = true;
            self.mark_target_changed(target);
        }
    }

    /// Applies a report that a target accepts work, unless the target has recently reported that it
    /// is draining: such reports lag.
    fn mark_live(&mut self, now: Instant, target: TargetRef) {
        let Some(state) = self.targets.get_mut(target) else {
            return;
        };
        let drain_seen_recently = state
            .drain_seen_at
            .is_some_and(|at| now.saturating_duration_since(at) < OWN_REPORT_PRECEDENCE);
        if !state.drain_reports.by_target || drain_seen_recently {
            return;
        }
        state.drain_reports.by_target = false;
        // The target was away, so its first requests will be slow.
        state.mark_cold();
        self.mark_target_changed(target);
    }

    /// Sets whether others report that a target is leaving.
    fn set_reported_leaving(&mut self, target: TargetRef, leaving: bool) {
        let Some(state) = self.targets.get_mut(target) else {
            return;
        };
        if state.drain_reports.by_others == leaving {
            return;
        }
        state.drain_reports.by_others = leaving;
        if !leaving {
            state.mark_cold();
        }
        self.mark_target_changed(target);
    }

    fn mark_reachable(&mut self, now: Instant, target: TargetRef, actions: &mut Vec<EngineAction>) {
        if let Some(state) = self.targets.get_mut(target)
            && state.lost_until.is_some()
        {
            state.lost_until = Some(now);
            self.end_expired_exclusion(now, target, actions);
        }
    }

    pub(super) fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        self.options.protections.quarantine && self.quarantined.binary_search(&fingerprint).is_ok()
    }

    /// Starts or ends the quarantine of a fingerprint, also for queries that wait or run.
    pub(super) fn update_quarantine(
        &mut self,
        fingerprint: Fingerprint,
        held: bool,
        actions: &mut Vec<EngineAction>,
    ) {
        match (self.quarantined.binary_search(&fingerprint), held) {
            (Err(index), true) => self.quarantined.insert(index, fingerprint),
            (Ok(index), false) => {
                self.quarantined.remove(index);
            }
            _ => return,
        }
        if !self.options.protections.quarantine {
            return;
        }
        let affected: Vec<QueryRef> = self
            .queries
            .iter()
            .filter(|(_, state)| state.fingerprint == fingerprint)
            .map(|(query, _)| query)
            .collect();
        for query in affected {
            self.set_quarantined(query, held, actions);
        }
    }

    fn set_quarantined(&mut self, query: QueryRef, held: bool, actions: &mut Vec<EngineAction>) {
        let Some(state) = self.queries.get_mut(query) else {
            return;
        };
        state.quarantined = held;
        if !held {
            return;
        }
        if state.stage == QueryStage::Waiting {
            let refusal = Refusal::not_run(
                RefusalCode::Quarantined,
                "queue",
                "the request is quarantined because it crashed targets",
            );
            self.end_waiting(query, refusal, actions);
            return;
        }
        for index in 0..state.shards.len() as u32 {
            let parked = self.queries.get(query).is_some_and(|state| {
                matches!(state.shards[index as usize].stage, ShardStage::Parked(..))
            });
            if parked {
                self.close_shard(query, index, MissingReason::Quarantined, actions);
            }
        }
    }

    /// Discards time-dependent state after a process pause, during which it became unreliable.
    pub(super) fn discard_stale_state(&mut self, now: Instant) {
        if !self.options.protections.pause_handling {
            return;
        }
        self.resumed_at = Some(now);
        for state in self.targets.iter_mut() {
            state.discard_stale_state();
        }
        for (_, collection) in self.collections.iter_mut() {
            collection.latencies.clear();
        }
        for (_, plan) in self.plans.iter_mut() {
            plan.stale = true;
        }
        self.pending_work.freed_targets = self.targets.references();
    }
}
