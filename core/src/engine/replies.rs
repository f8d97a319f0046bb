//! Handling of replies, refusals and failures of attempts.
//!
//! A reply is accepted only if its query, shard, index version and attempt match the request. A
//! reply to an attempt that has ended is ignored; after any other mismatch the shard is retried or
//! marked as missing. See `docs/DESIGN.md`, "Coverage".

use std::time::Instant;

use crate::action::{AttemptCause, EngineAction};
use crate::coverage::MissingReason;
use crate::engine::SearchEngine;
use crate::engine::query::{FailedAttempt, LiveAttempt, ShardStage};
use crate::engine::timers::{QueryRef, TargetRef, TimerKind};
use crate::event::{AttemptFailure, AttemptReply};
use crate::ids::{AttemptId, IndexVersion};
use crate::search::RequestKind;

/// Maximum number of attempts for one shard of a query.
pub(super) const MAX_ATTEMPTS: u8 = 4;

/// Consequences of an attempt that ended without an accepted reply.
#[derive(Clone, Copy, Debug)]
struct AttemptEnd {
    /// Reason given for the missing shard if no other attempt succeeds.
    reason: MissingReason,
    /// Whether the target certainly did not run the request.
    not_run: bool,
    /// Whether the same target may be tried again.
    may_retry_target: bool,
}

impl SearchEngine {
    pub(super) fn handle_reply(
        &mut self,
        now: Instant,
        reply: AttemptReply,
        actions: &mut Vec<EngineAction>,
    ) {
        let Some(attempt) = self.end_attempt(reply.attempt) else {
            // The attempt is not live: the reply is a duplicate, or belongs to an attempt of an
            // earlier process.
            return;
        };
        self.record_own_versions(now, attempt.target, reply.held);
        self.record_reply(now, &attempt, actions);
        if attempt.cancelled {
            return;
        }
        let Some(state) = self.queries.get_mut(attempt.query) else {
            return;
        };
        let mismatched = reply.query != state.query
            || reply.shard != attempt.shard
            || !reply.complete
            || reply.hits.iter().any(|hit| hit.shard != attempt.shard);
        if mismatched || reply.version != state.snapshot.version {
            let reason = if mismatched {
                MissingReason::Failed
            } else {
                MissingReason::WrongVersion
            };
            let end = AttemptEnd {
                reason,
                not_run: false,
                may_retry_target: false,
            };
            self.handle_failed_attempt(now, attempt, end, actions);
            return;
        }
        state.may_have_run = true;
        state.add_hits(reply.hits);
        self.mark_shard_answered(now, attempt, actions);
    }

    pub(super) fn handle_failure(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        failure: &AttemptFailure,
        actions: &mut Vec<EngineAction>,
    ) {
        let Some(attempt) = self.end_attempt(attempt) else {
            return;
        };
        self.record_failure(now, attempt.target, failure);
        if attempt.cancelled {
            return;
        }
        let end = AttemptEnd {
            reason: missing_reason(failure),
            not_run: failure.is_not_run(),
            may_retry_target: may_retry_on_target(failure),
        };
        self.handle_failed_attempt(now, attempt, end, actions);
    }

    /// Removes an attempt and frees its connection. Returns nothing if the attempt is not live.
    pub(super) fn end_attempt(&mut self, attempt: AttemptId) -> Option<LiveAttempt> {
        let attempt = self.attempts.remove(attempt)?;
        if let Some(target) = self.targets.get_mut(attempt.target) {
            let counted = target.remove_in_flight(attempt.attempt);
            assert!(
                counted,
                "invariant: every live attempt is counted at its target"
            );
        }
        self.schedule_parked(attempt.target);
        self.targets.remove_if_unused(attempt.target);
        Some(attempt)
    }

    fn mark_shard_answered(
        &mut self,
        now: Instant,
        attempt: LiveAttempt,
        actions: &mut Vec<EngineAction>,
    ) {
        let Some(state) = self.queries.get_mut(attempt.query) else {
            return;
        };
        let progress = &mut state.shards[attempt.shard_index as usize];
        assert!(
            progress.stage == ShardStage::Requested,
            "invariant: a shard is answered once, and only while it is requested"
        );
        progress.remove_attempt(attempt.attempt);
        progress.stage = ShardStage::Answered;
        let other_attempts = std::mem::take(&mut progress.in_flight);
        state.open_shards -= 1;
        if state.open_shards == 0 {
            self.pending_work.finished_queries.push(attempt.query);
        }
        for other_attempt in other_attempts.into_iter().flatten() {
            self.record_overtaken_attempt(now, other_attempt);
            self.cancel(other_attempt, actions);
        }
    }

    /// Cancels an attempt in flight, whose reply is no longer needed. The attempt holds its
    /// connection until its end is reported, so that the connection share is never exceeded.
    pub(super) fn cancel(&mut self, attempt: AttemptId, actions: &mut Vec<EngineAction>) {
        let Some(entry) = self.attempts.get_mut(attempt) else {
            return;
        };
        entry.cancelled = true;
        let target = entry.target.target;
        let Some(state) = self.queries.get(entry.query) else {
            return;
        };
        // A non-idempotent request in flight is not cancelled at the target.
        if state.kind == RequestKind::Search {
            actions.push(EngineAction::Cancel { attempt, target });
        }
    }

    /// Handles an attempt without an accepted reply: waits for the shard's other attempt, retries,
    /// or marks the shard as missing.
    fn handle_failed_attempt(
        &mut self,
        now: Instant,
        attempt: LiveAttempt,
        end: AttemptEnd,
        actions: &mut Vec<EngineAction>,
    ) {
        let Some(state) = self.queries.get_mut(attempt.query) else {
            return;
        };
        state.may_have_run |= !end.not_run;
        let progress = &mut state.shards[attempt.shard_index as usize];
        progress.remove_attempt(attempt.attempt);
        progress.may_have_run |= !end.not_run;
        progress.failed.push(FailedAttempt {
            target: attempt.target.target,
            reason: end.reason,
            may_retry_target: end.may_retry_target,
        });
        if progress.is_in_flight() {
            return;
        }
        if self.may_retry(now, attempt.query, attempt.shard_index) {
            self.request_shard(
                now,
                attempt.query,
                attempt.shard_index,
                AttemptCause::Retry,
                actions,
            );
        } else {
            self.mark_shard_missing(attempt.query, attempt.shard_index, end.reason);
        }
    }

    fn may_retry(&mut self, now: Instant, query: QueryRef, shard_index: u32) -> bool {
        let Some(state) = self.queries.get(query) else {
            return false;
        };
        let progress = &state.shards[shard_index as usize];
        let is_safe = state.is_repeatable() || !progress.may_have_run;
        if state.quarantined
            || !is_safe
            || progress.attempts_sent >= MAX_ATTEMPTS
            || now >= state.deadline
        {
            return false;
        }
        let account = state.account;
        self.accounts
            .get_mut(account)
            .is_some_and(|account| account.retries.spend(now))
    }

    /// Marks a shard as missing and, if its targets or its version are no longer available,
    /// schedules the query for a restart at another snapshot.
    pub(super) fn mark_shard_missing(
        &mut self,
        query: QueryRef,
        shard_index: u32,
        reason: MissingReason,
    ) {
        let Some(state) = self.queries.get_mut(query) else {
            return;
        };
        let reason = if state.quarantined {
            MissingReason::Quarantined
        } else {
            reason
        };
        let progress = &mut state.shards[shard_index as usize];
        assert!(
            progress.stage == ShardStage::Requested,
            "invariant: a shard is marked as missing once, and only while it is open"
        );
        progress.stage = ShardStage::Missing(reason);
        state.open_shards -= 1;
        let is_unavailable = matches!(
            reason,
            MissingReason::WrongVersion | MissingReason::NoTarget
        );
        if is_unavailable && !self.pending_work.restart_candidates.contains(&query) {
            self.pending_work.restart_candidates.push(query);
        }
        if state.open_shards == 0 {
            self.pending_work.finished_queries.push(query);
        }
    }

    /// Updates the index versions that a target reported in one of its own replies.
    fn record_own_versions(&mut self, now: Instant, target: TargetRef, held: Vec<IndexVersion>) {
        if let Some(state) = self.targets.get_mut(target) {
            state.versions_reported_at = Some(now);
        }
        self.update_held_versions(target, held);
    }

    /// Updates the index versions that a target holds.
    pub(super) fn update_held_versions(&mut self, target: TargetRef, mut held: Vec<IndexVersion>) {
        let Some(state) = self.targets.get_mut(target) else {
            return;
        };
        if state.has_reported_versions && state.held_versions == held {
            return;
        }
        state.has_reported_versions = true;
        held.sort_unstable();
        held.dedup();
        state.held_versions = held;
        self.mark_target_changed(target);
    }

    /// Marks the snapshots of a target's plans as stale and schedules the queries and parked
    /// requests that depend on the target.
    pub(super) fn mark_target_changed(&mut self, target: TargetRef) {
        let Some(state) = self.targets.get(target) else {
            return;
        };
        let mut collections = Vec::new();
        for hosted in &state.hosted {
            if let Some(plan) = self.plans.get_mut(hosted.plan) {
                plan.stale = true;
                if !collections.contains(&plan.collection) {
                    collections.push(plan.collection);
                }
            }
        }
        for collection in collections {
            self.adopt_if_ready(collection);
            self.schedule_queue(collection);
        }
        self.schedule_parked(target);
    }

    fn record_failure(&mut self, now: Instant, target: TargetRef, failure: &AttemptFailure) {
        match failure {
            AttemptFailure::NotSent
            | AttemptFailure::Lost
            | AttemptFailure::Silent
            | AttemptFailure::Garbled => self.record_connection_loss(now, target),
            AttemptFailure::Shed => {
                if let Some(state) = self.targets.get_mut(target) {
                    state.limit.on_shed(now);
                }
            }
            AttemptFailure::Draining => {
                self.mark_draining(now, target);
            }
            AttemptFailure::WrongVersion { held } => {
                self.record_own_versions(now, target, held.clone());
            }
            AttemptFailure::NotHosted => self.adopt_pending_of(target),
            AttemptFailure::Expired | AttemptFailure::Cancelled => {}
        }
    }

    fn record_connection_loss(&mut self, now: Instant, target: TargetRef) {
        let Some(state) = self.targets.get_mut(target) else {
            return;
        };
        if let Some(until) = state.record_failed_attempt(now) {
            self.timers.add(until, TimerKind::TargetExclusion(target));
            self.mark_target_changed(target);
        }
    }
}

fn missing_reason(failure: &AttemptFailure) -> MissingReason {
    match failure {
        AttemptFailure::Shed => MissingReason::Shed,
        AttemptFailure::WrongVersion { .. } => MissingReason::WrongVersion,
        AttemptFailure::NotHosted | AttemptFailure::Draining => MissingReason::NoTarget,
        AttemptFailure::Expired => MissingReason::Deadline,
        AttemptFailure::NotSent
        | AttemptFailure::Cancelled
        | AttemptFailure::Lost
        | AttemptFailure::Silent
        | AttemptFailure::Garbled => MissingReason::Failed,
    }
}

/// Returns whether the same query may be sent to the target again, on another connection.
fn may_retry_on_target(failure: &AttemptFailure) -> bool {
    match failure {
        AttemptFailure::NotSent
        | AttemptFailure::Lost
        | AttemptFailure::Silent
        | AttemptFailure::Garbled
        | AttemptFailure::Cancelled => true,
        AttemptFailure::Shed
        | AttemptFailure::Draining
        | AttemptFailure::WrongVersion { .. }
        | AttemptFailure::NotHosted
        | AttemptFailure::Expired => false,
    }
}
