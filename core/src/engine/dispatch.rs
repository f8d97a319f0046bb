//! Sending a shard request: chooses a target and sends, or waits for a free connection.
//!
//! Requests wait here and not at the target, because at the target their order is fixed.

use std::sync::Arc;
use std::time::Instant;

use rand::RngCore;

use crate::action::{AttemptCause, AttemptPlan, EngineAction, EngineDecision};
use crate::coverage::MissingReason;
use crate::engine::SearchEngine;
use crate::engine::choice::{ChoiceInput, TargetChoice};
use crate::engine::plan::ParkedShard;
use crate::engine::query::{LiveAttempt, QueryStage, ShardProgress, ShardStage};
use crate::engine::slots::Slot;
use crate::engine::submit::class_rank;
use crate::engine::target::HostedShard;
use crate::engine::timers::{QueryRef, TargetRef};
use crate::engine::verifier;
use crate::ids::TargetId;

/// Position of a query's shard in the plan that the query runs on.
#[derive(Clone, Copy, Debug)]
pub(super) struct ShardLocation {
    /// Plan that the query runs on.
    pub(super) plan: Slot,
    /// Position of the shard in the plan.
    pub(super) position: u32,
}

impl SearchEngine {
    /// Sends a shard request, parks it until a connection is free, or marks the shard as missing.
    pub(super) fn request_shard(
        &mut self,
        now: Instant,
        query: QueryRef,
        shard_index: u32,
        cause: AttemptCause,
        actions: &mut Vec<EngineAction>,
    ) {
        match self.choose_target(now, query, shard_index) {
            TargetChoice::Selected(target) => {
                self.send(now, query, shard_index, target, cause, actions);
            }
            TargetChoice::Wait => self.park(query, shard_index, cause),
            TargetChoice::Unavailable(reason) => {
                self.mark_shard_missing(query, shard_index, reason);
            }
        }
    }

    pub(super) fn shard_location(
        &self,
        query: QueryRef,
        shard_index: u32,
    ) -> Option<ShardLocation> {
        let state = self.queries.get(query)?;
        let QueryStage::Running { plan } = state.stage else {
            return None;
        };
        let position = state.shards.get(shard_index as usize)?.position;
        Some(ShardLocation { plan, position })
    }

    fn choose_target(&mut self, now: Instant, query: QueryRef, shard_index: u32) -> TargetChoice {
        let selector = self.next_selector();
        let mut scratch = std::mem::take(&mut self.scratch);
        let choice = self
            .choice_input(now, query, shard_index)
            .map(|input| input.choose(&mut scratch, selector));
        self.scratch = scratch;
        choice.unwrap_or(TargetChoice::Unavailable(MissingReason::NoTarget))
    }

    /// Returns the number that selects a target: random, or a counter for round robin.
    pub(super) fn next_selector(&mut self) -> u64 {
        if self.options.protections.two_choices {
            self.rng.next_u64()
        } else {
            self.round_robin = self.round_robin.wrapping_add(1);
            self.round_robin
        }
    }

    /// Collects the input of the choice of a target for a shard.
    pub(super) fn choice_input(
        &self,
        now: Instant,
        query: QueryRef,
        shard_index: u32,
    ) -> Option<ChoiceInput<'_>> {
        let state = self.queries.get(query)?;
        let QueryStage::Running { plan } = state.stage else {
            return None;
        };
        let progress = state.shards.get(shard_index as usize)?;
        Some(ChoiceInput {
            now,
            resumed_at: self.resumed_at,
            plan: self.plans.get(plan)?,
            targets: &self.targets,
            version: state.snapshot.version,
            progress,
            excluded: self.targets_in_flight(progress),
            typical_seconds: self
                .typical_latency(state.collection)
                .map(|typical| typical.as_secs_f64()),
            two_choices: self.options.protections.two_choices,
        })
    }

    fn targets_in_flight(&self, progress: &ShardProgress) -> [Option<TargetId>; 2] {
        progress.in_flight.map(|attempt| {
            let attempt = self.attempts.get(attempt?)?;
            Some(attempt.target.target)
        })
    }

    /// Sends a shard request to a target. All sends go through this function.
    pub(super) fn send(
        &mut self,
        now: Instant,
        query: QueryRef,
        shard_index: u32,
        target: TargetRef,
        cause: AttemptCause,
        actions: &mut Vec<EngineAction>,
    ) {
        let Some(location) = self.shard_location(query, shard_index) else {
            return;
        };
        let (Some(state), Some(plan), Some(target_state)) = (
            self.queries.get_mut(query),
            self.plans.get(location.plan),
            self.targets.get_mut(target),
        ) else {
            return;
        };
        verifier::check_send(now, state, target_state, plan, state.snapshot.version);
        let progress = &mut state.shards[shard_index as usize];
        let attempt = self.attempts.insert(LiveAttempt {
            attempt: 0,
            query,
            shard_index,
            shard: progress.shard,
            target,
            sent_at: now,
            cancelled: false,
        });
        progress.add_attempt(attempt);
        progress.stage = ShardStage::Requested;
        target_state.add_in_flight(attempt, now);
        let plan = AttemptPlan {
            attempt,
            query: state.query,
            request: state.request.clone(),
            target: target.target,
            address: target_state.entry.address,
            shard: progress.shard,
            kind: state.kind,
            snapshot: state.snapshot,
            text: Arc::clone(&state.text),
            limit: state.limit,
            fingerprint: state.fingerprint,
            deadline: state.deadline,
            cause,
        };
        if cause == AttemptCause::First {
            let account = state.account;
            self.earn_budgets(account);
        }
        if cause == AttemptCause::Retry {
            actions.push(EngineAction::Decided(EngineDecision::Retried {
                query: plan.query,
                shard: plan.shard,
                target: plan.target,
            }));
        }
        actions.push(EngineAction::Send(plan));
    }

    fn earn_budgets(&mut self, account: Slot) {
        self.hedges.earn(1.0, super::hedge::DAEMON_HEDGE_SHARE);
        if let Some(account) = self.accounts.get_mut(account) {
            account.retries.earn(1.0, account.policy.retry_share);
            account.hedges.earn(1.0, account.policy.hedge_share);
        }
    }

    /// Parks a shard request until a connection is free.
    fn park(&mut self, query: QueryRef, shard_index: u32, cause: AttemptCause) {
        let Some(location) = self.shard_location(query, shard_index) else {
            return;
        };
        let ordered = self.options.protections.ordered_admission;
        let (Some(state), Some(plan)) = (
            self.queries.get_mut(query),
            self.plans.get_mut(location.plan),
        ) else {
            return;
        };
        let entry = ParkedShard {
            class: if ordered {
                class_rank(state.urgency)
            } else {
                0
            },
            rank: if ordered {
                state.deadline
            } else {
                state.submitted
            },
            query,
            shard_index,
        };
        state.shards[shard_index as usize].stage = ShardStage::Parked(entry, cause);
        plan.park(location.position, entry);
    }

    /// Removes a shard request from the parked ones; returns false if it was not parked.
    pub(super) fn unpark(&mut self, query: QueryRef, shard_index: u32) -> bool {
        let Some(location) = self.shard_location(query, shard_index) else {
            return false;
        };
        let (Some(state), Some(plan)) = (
            self.queries.get_mut(query),
            self.plans.get_mut(location.plan),
        ) else {
            return false;
        };
        let progress = &mut state.shards[shard_index as usize];
        let ShardStage::Parked(entry, _) = progress.stage else {
            return false;
        };
        progress.stage = ShardStage::Requested;
        plan.unpark(location.position, entry);
        let collection = plan.collection;
        self.schedule_queue(collection);
        true
    }

    /// Schedules the parked requests of a target that has free capacity or whose state has changed.
    pub(super) fn schedule_parked(&mut self, target: TargetRef) {
        if !self.pending_work.freed_targets.contains(&target) {
            self.pending_work.freed_targets.push(target);
        }
    }

    /// Dispatches the parked requests of all shards that a target holds, in their order.
    pub(super) fn dispatch_parked(
        &mut self,
        now: Instant,
        target: TargetRef,
        actions: &mut Vec<EngineAction>,
    ) {
        let Some(state) = self.targets.get(target) else {
            return;
        };
        self.pending_work.hosted_buffer.clear();
        self.pending_work
            .hosted_buffer
            .extend_from_slice(&state.hosted);
        let hosted_shards = std::mem::take(&mut self.pending_work.hosted_buffer);
        for hosted in &hosted_shards {
            self.dispatch_shard(now, *hosted, actions);
        }
        self.pending_work.hosted_buffer = hosted_shards;
    }

    fn dispatch_shard(
        &mut self,
        now: Instant,
        hosted: HostedShard,
        actions: &mut Vec<EngineAction>,
    ) {
        let Some(plan) = self.plans.get(hosted.plan) else {
            return;
        };
        let collection = plan.collection;
        if plan.parked(hosted.position).is_empty() {
            if self.has_waiting(collection) {
                self.schedule_queue(collection);
            }
            return;
        }
        for entry in plan.parked(hosted.position).to_vec() {
            self.dispatch_entry(now, entry, actions);
        }
        self.schedule_queue(collection);
    }

    fn has_waiting(&self, collection: Slot) -> bool {
        self.collections
            .get(collection)
            .is_some_and(|state| !state.queue.is_empty())
    }

    fn dispatch_entry(
        &mut self,
        now: Instant,
        entry: ParkedShard,
        actions: &mut Vec<EngineAction>,
    ) {
        let Some(state) = self.queries.get(entry.query) else {
            return;
        };
        let progress = &state.shards[entry.shard_index as usize];
        let ShardStage::Parked(_, cause) = progress.stage else {
            return;
        };
        let choice = self.choose_target(now, entry.query, entry.shard_index);
        match choice {
            TargetChoice::Wait => {}
            TargetChoice::Selected(target) => {
                self.unpark(entry.query, entry.shard_index);
                self.send(now, entry.query, entry.shard_index, target, cause, actions);
            }
            TargetChoice::Unavailable(reason) => {
                self.unpark(entry.query, entry.shard_index);
                self.mark_shard_missing(entry.query, entry.shard_index, reason);
            }
        }
    }
}
