//! Asking one shard: choosing its target, sending, or waiting for a free connection.
//!
//! What waits, waits here and not at the target, where its order could no longer change.

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

/// What a look-up of a shard's request finds.
#[derive(Clone, Copy, Debug)]
pub(super) struct ShardPlace {
    /// The plan that its query goes by.
    pub(super) plan: Slot,
    /// Its position in the plan.
    pub(super) position: u32,
}

impl SearchEngine {
    /// Sends a shard request, lets it wait for a connection, or gives the shard up.
    pub(super) fn ask_shard(
        &mut self,
        now: Instant,
        query: QueryRef,
        place: u32,
        cause: AttemptCause,
        actions: &mut Vec<EngineAction>,
    ) {
        match self.choose_target(now, query, place) {
            TargetChoice::Ask(target) => self.send(now, query, place, target, cause, actions),
            TargetChoice::Wait => self.park(query, place, cause),
            TargetChoice::Unavailable(reason) => self.give_up(query, place, reason),
        }
    }

    /// Where a query's shard stands in its plan.
    pub(super) fn shard_place(&self, query: QueryRef, place: u32) -> Option<ShardPlace> {
        let state = self.queries.get(query)?;
        let QueryStage::Running { plan } = state.stage else {
            return None;
        };
        let position = state.shards.get(place as usize)?.position;
        Some(ShardPlace { plan, position })
    }

    fn choose_target(&mut self, now: Instant, query: QueryRef, place: u32) -> TargetChoice {
        let dice = self.roll();
        let mut scratch = std::mem::take(&mut self.scratch);
        let choice = self
            .choice_input(now, query, place)
            .map(|input| input.choose(&mut scratch, dice));
        self.scratch = scratch;
        choice.unwrap_or(TargetChoice::Unavailable(MissingReason::NoTarget))
    }

    /// The number that a choice goes by: random, or the next in turn for a round robin.
    pub(super) fn roll(&mut self) -> u64 {
        if self.options.protections.two_choices {
            self.rng.next_u64()
        } else {
            self.turn = self.turn.wrapping_add(1);
            self.turn
        }
    }

    /// What the choice of a target for a shard is made from.
    pub(super) fn choice_input(
        &self,
        now: Instant,
        query: QueryRef,
        place: u32,
    ) -> Option<ChoiceInput<'_>> {
        let state = self.queries.get(query)?;
        let QueryStage::Running { plan } = state.stage else {
            return None;
        };
        let progress = state.shards.get(place as usize)?;
        Some(ChoiceInput {
            now,
            resumed_at: self.resumed_at,
            plan: self.plans.get(plan)?,
            targets: &self.targets,
            version: state.snapshot.version,
            progress,
            asked: self.asked_targets(progress),
            usual_seconds: self
                .usual_latency(state.collection)
                .map(|usual| usual.as_secs_f64()),
            two_choices: self.options.protections.two_choices,
        })
    }

    fn asked_targets(&self, progress: &ShardProgress) -> [Option<TargetId>; 2] {
        progress.live.map(|attempt| {
            let attempt = self.attempts.get(attempt?)?;
            Some(attempt.target.target)
        })
    }

    /// Sends a shard request to a target; every send goes through here.
    pub(super) fn send(
        &mut self,
        now: Instant,
        query: QueryRef,
        place: u32,
        target: TargetRef,
        cause: AttemptCause,
        actions: &mut Vec<EngineAction>,
    ) {
        let Some(at) = self.shard_place(query, place) else {
            return;
        };
        let (Some(state), Some(plan), Some(target_state)) = (
            self.queries.get_mut(query),
            self.plans.get(at.plan),
            self.targets.get_mut(target),
        ) else {
            return;
        };
        verifier::check_send(now, state, target_state, plan, state.snapshot.version);
        let progress = &mut state.shards[place as usize];
        let attempt = self.attempts.insert(LiveAttempt {
            attempt: 0,
            query,
            place,
            shard: progress.shard,
            target,
            sent_at: now,
            cancelled: false,
        });
        progress.add_live(attempt);
        progress.stage = ShardStage::Asked;
        target_state.start_flight(attempt, now);
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
        self.hedges.earn(1.0, super::hedge::FLEET_HEDGE_SHARE);
        if let Some(account) = self.accounts.get_mut(account) {
            account.retries.earn(1.0, account.policy.retry_share);
            account.hedges.earn(1.0, account.policy.hedge_share);
        }
    }

    /// Lets a shard request wait for a free connection.
    fn park(&mut self, query: QueryRef, place: u32, cause: AttemptCause) {
        let Some(at) = self.shard_place(query, place) else {
            return;
        };
        let ordered = self.options.protections.ordered_admission;
        let (Some(state), Some(plan)) = (self.queries.get_mut(query), self.plans.get_mut(at.plan))
        else {
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
            place,
        };
        state.shards[place as usize].stage = ShardStage::Parked(entry, cause);
        plan.park(at.position, entry);
    }

    /// Ends the waiting of a shard request; false if it did not wait.
    pub(super) fn unpark(&mut self, query: QueryRef, place: u32) -> bool {
        let Some(at) = self.shard_place(query, place) else {
            return false;
        };
        let (Some(state), Some(plan)) = (self.queries.get_mut(query), self.plans.get_mut(at.plan))
        else {
            return false;
        };
        let progress = &mut state.shards[place as usize];
        let ShardStage::Parked(entry, _) = progress.stage else {
            return false;
        };
        progress.stage = ShardStage::Asked;
        plan.unpark(at.position, entry);
        let collection = plan.collection;
        self.mark_queue(collection);
        true
    }

    /// Notes that a target has room, or that its state has changed.
    pub(super) fn mark_freed(&mut self, target: TargetRef) {
        if !self.due.freed.contains(&target) {
            self.due.freed.push(target);
        }
    }

    /// Serves the shard requests that wait for a target's shards, first those that come first.
    pub(super) fn serve_parked(
        &mut self,
        now: Instant,
        target: TargetRef,
        actions: &mut Vec<EngineAction>,
    ) {
        let Some(state) = self.targets.get(target) else {
            return;
        };
        self.due.hosts.clear();
        self.due.hosts.extend_from_slice(&state.hosted);
        let hosts = std::mem::take(&mut self.due.hosts);
        for hosted in &hosts {
            self.serve_shard(now, *hosted, actions);
        }
        self.due.hosts = hosts;
    }

    fn serve_shard(&mut self, now: Instant, at: HostedShard, actions: &mut Vec<EngineAction>) {
        let Some(plan) = self.plans.get(at.plan) else {
            return;
        };
        let collection = plan.collection;
        if plan.parked(at.position).is_empty() {
            if self.has_waiting(collection) {
                self.mark_queue(collection);
            }
            return;
        }
        for entry in plan.parked(at.position).to_vec() {
            self.serve_entry(now, entry, actions);
        }
        self.mark_queue(collection);
    }

    fn has_waiting(&self, collection: Slot) -> bool {
        self.collections
            .get(collection)
            .is_some_and(|state| !state.queue.is_empty())
    }

    fn serve_entry(&mut self, now: Instant, entry: ParkedShard, actions: &mut Vec<EngineAction>) {
        let Some(state) = self.queries.get(entry.query) else {
            return;
        };
        let progress = &state.shards[entry.place as usize];
        let ShardStage::Parked(_, cause) = progress.stage else {
            return;
        };
        let choice = self.choose_target(now, entry.query, entry.place);
        match choice {
            TargetChoice::Wait => {}
            TargetChoice::Ask(target) => {
                self.unpark(entry.query, entry.place);
                self.send(now, entry.query, entry.place, target, cause, actions);
            }
            TargetChoice::Unavailable(reason) => {
                self.unpark(entry.query, entry.place);
                self.give_up(entry.query, entry.place, reason);
            }
        }
    }
}
