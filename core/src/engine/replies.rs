//! What comes back from targets: replies, refusals and losses.
//!
//! A reply counts only for the query, shard, version and attempt that it was asked for; whatever
//! else comes back changes nothing but makes its shard tried again, or missing. See
//! `docs/DESIGN.md`, "Coverage".

use std::time::Instant;

use crate::action::{AttemptCause, EngineAction};
use crate::coverage::MissingReason;
use crate::engine::SearchEngine;
use crate::engine::query::{FailedTry, LiveAttempt, ShardStage};
use crate::engine::timers::{QueryRef, TargetRef, TimerKind};
use crate::event::{AttemptFailure, AttemptReply};
use crate::ids::{AttemptId, IndexVersion};
use crate::search::RequestKind;

/// How many attempts a shard request may take in all.
pub(super) const MOST_TRIES: u8 = 4;

/// Why an attempt brought nothing.
#[derive(Clone, Copy, Debug)]
struct TryEnd {
    /// What it would make of the shard.
    reason: MissingReason,
    /// Whether the target certainly did not run it.
    not_run: bool,
    /// Whether the same target may be asked again.
    again: bool,
}

impl SearchEngine {
    /// Takes a reply.
    pub(super) fn take_reply(
        &mut self,
        now: Instant,
        reply: AttemptReply,
        actions: &mut Vec<EngineAction>,
    ) {
        let Some(attempt) = self.end_attempt(reply.attempt) else {
            // It has ended already: a duplicate, or of an earlier life.
            return;
        };
        self.learn_own(now, attempt.target, reply.held);
        self.learn_reply(now, &attempt, actions);
        if attempt.cancelled {
            return;
        }
        let Some(state) = self.queries.get_mut(attempt.query) else {
            return;
        };
        let foreign = reply.query != state.query
            || reply.shard != attempt.shard
            || !reply.complete
            || reply.hits.iter().any(|hit| hit.shard != attempt.shard);
        if foreign || reply.version != state.snapshot.version {
            let reason = if foreign {
                MissingReason::Failed
            } else {
                MissingReason::WrongVersion
            };
            let end = TryEnd {
                reason,
                not_run: false,
                again: false,
            };
            self.end_try(now, attempt, end, actions);
            return;
        }
        state.may_have_run = true;
        state.add_hits(reply.hits);
        self.settle_answered(now, attempt, actions);
    }

    /// Takes a failure.
    pub(super) fn take_failure(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        failure: &AttemptFailure,
        actions: &mut Vec<EngineAction>,
    ) {
        let Some(attempt) = self.end_attempt(attempt) else {
            return;
        };
        self.learn_failure(now, attempt.target, failure);
        if attempt.cancelled {
            return;
        }
        let end = TryEnd {
            reason: missing_reason(failure),
            not_run: failure.is_not_run(),
            again: may_ask_again(failure),
        };
        self.end_try(now, attempt, end, actions);
    }

    /// Ends an attempt and frees its connection.
    pub(super) fn end_attempt(&mut self, attempt: AttemptId) -> Option<LiveAttempt> {
        let attempt = self.attempts.remove(attempt)?;
        if let Some(target) = self.targets.get_mut(attempt.target) {
            let counted = target.end_flight(attempt.attempt);
            assert!(
                counted,
                "invariant: every live attempt is counted at its target"
            );
        }
        self.mark_freed(attempt.target);
        self.targets.forget_unused(attempt.target);
        Some(attempt)
    }

    fn settle_answered(
        &mut self,
        now: Instant,
        attempt: LiveAttempt,
        actions: &mut Vec<EngineAction>,
    ) {
        let Some(state) = self.queries.get_mut(attempt.query) else {
            return;
        };
        let progress = &mut state.shards[attempt.place as usize];
        assert!(
            progress.stage == ShardStage::Asked,
            "invariant: a shard is answered once, and only while it is asked"
        );
        progress.remove_live(attempt.attempt);
        progress.stage = ShardStage::Answered;
        let losers = std::mem::take(&mut progress.live);
        state.open -= 1;
        if state.open == 0 {
            self.due.finishes.push(attempt.query);
        }
        for loser in losers.into_iter().flatten() {
            self.learn_loser(now, loser);
            self.cancel(loser, actions);
        }
    }

    /// Gives up on an attempt in flight: its reply is no longer wanted. It holds its connection
    /// until its end is reported, however long that takes, so that the share is never exceeded.
    pub(super) fn cancel(&mut self, attempt: AttemptId, actions: &mut Vec<EngineAction>) {
        let Some(entry) = self.attempts.get_mut(attempt) else {
            return;
        };
        entry.cancelled = true;
        let target = entry.target.target;
        let Some(state) = self.queries.get(entry.query) else {
            return;
        };
        // A non-idempotent request that is under way is left to end in its own way.
        if state.kind == RequestKind::Search {
            actions.push(EngineAction::Cancel { attempt, target });
        }
    }

    /// An attempt brought nothing: the shard waits for its other attempt, is tried again, or is
    /// given up.
    fn end_try(
        &mut self,
        now: Instant,
        attempt: LiveAttempt,
        end: TryEnd,
        actions: &mut Vec<EngineAction>,
    ) {
        let Some(state) = self.queries.get_mut(attempt.query) else {
            return;
        };
        state.may_have_run |= !end.not_run;
        let progress = &mut state.shards[attempt.place as usize];
        progress.remove_live(attempt.attempt);
        progress.may_have_run |= !end.not_run;
        progress.failed.push(FailedTry {
            target: attempt.target.target,
            reason: end.reason,
            again: end.again,
        });
        if progress.is_in_flight() {
            return;
        }
        if self.may_retry(now, attempt.query, attempt.place) {
            self.ask_shard(
                now,
                attempt.query,
                attempt.place,
                AttemptCause::Retry,
                actions,
            );
        } else {
            self.give_up(attempt.query, attempt.place, end.reason);
        }
    }

    fn may_retry(&mut self, now: Instant, query: QueryRef, place: u32) -> bool {
        let Some(state) = self.queries.get(query) else {
            return false;
        };
        let progress = &state.shards[place as usize];
        let safe = state.is_repeatable() || !progress.may_have_run;
        if state.quarantined || !safe || progress.tries >= MOST_TRIES || now >= state.deadline {
            return false;
        }
        let account = state.account;
        self.accounts
            .get_mut(account)
            .is_some_and(|account| account.retries.spend(now))
    }

    /// Gives a shard up; the query may still be restarted at another snapshot.
    pub(super) fn give_up(&mut self, query: QueryRef, place: u32, reason: MissingReason) {
        let Some(state) = self.queries.get_mut(query) else {
            return;
        };
        let reason = if state.quarantined {
            MissingReason::Quarantined
        } else {
            reason
        };
        let progress = &mut state.shards[place as usize];
        assert!(
            progress.stage == ShardStage::Asked,
            "invariant: a shard is given up once, and only while it is open"
        );
        progress.stage = ShardStage::Missing(reason);
        state.open -= 1;
        let gone = matches!(
            reason,
            MissingReason::WrongVersion | MissingReason::NoTarget
        );
        if gone && !self.due.restarts.contains(&query) {
            self.due.restarts.push(query);
        }
        if state.open == 0 {
            self.due.finishes.push(query);
        }
    }

    /// Notes the index versions that a target itself says it holds.
    fn learn_own(&mut self, now: Instant, target: TargetRef, held: Vec<IndexVersion>) {
        if let Some(state) = self.targets.get_mut(target) {
            state.held_at = Some(now);
        }
        self.learn_held(target, held);
    }

    /// Notes the index versions that a target holds.
    pub(super) fn learn_held(&mut self, target: TargetRef, mut held: Vec<IndexVersion>) {
        let Some(state) = self.targets.get_mut(target) else {
            return;
        };
        if state.has_told && state.held == held {
            return;
        }
        state.has_told = true;
        held.sort_unstable();
        held.dedup();
        state.held = held;
        self.note_changed(target);
    }

    /// Notes that a target's use has changed: snapshots and waiting shard requests depend on it.
    pub(super) fn note_changed(&mut self, target: TargetRef) {
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
            self.mark_queue(collection);
        }
        self.mark_freed(target);
    }

    fn learn_failure(&mut self, now: Instant, target: TargetRef, failure: &AttemptFailure) {
        match failure {
            AttemptFailure::NotSent
            | AttemptFailure::Lost
            | AttemptFailure::Silent
            | AttemptFailure::Garbled => self.learn_loss(now, target),
            AttemptFailure::Shed => {
                if let Some(state) = self.targets.get_mut(target) {
                    state.limit.on_shed(now);
                }
            }
            AttemptFailure::Draining => {
                self.set_draining(now, target);
            }
            AttemptFailure::WrongVersion { held } => self.learn_own(now, target, held.clone()),
            AttemptFailure::NotHosted => self.adopt_pending_of(target),
            AttemptFailure::Expired | AttemptFailure::Cancelled => {}
        }
    }

    fn learn_loss(&mut self, now: Instant, target: TargetRef) {
        let Some(state) = self.targets.get_mut(target) else {
            return;
        };
        if let Some(until) = state.note_failure(now) {
            self.timers.add(until, TimerKind::Target(target));
            self.note_changed(target);
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

/// Whether the target may be asked again by the same query, on another connection.
fn may_ask_again(failure: &AttemptFailure) -> bool {
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
