//! Second requests beside slow ones.
//!
//! A shard request that has taken longer than nearly all of its collection's recent ones is sent
//! to a second replica too; the first reply counts and the loser is cancelled. Budgets hold the
//! extra load to a few in a hundred, and nothing is hedged while requests wait for connections.
//! See `docs/DESIGN.md`, "Hedging".

use std::time::{Duration, Instant};

use crate::account::RepeatPolicy;
use crate::action::{AttemptCause, EngineAction, EngineDecision};
use crate::engine::SearchEngine;
use crate::engine::budget::TokenBudget;
use crate::engine::query::{LiveAttempt, QueryStage, QueryState, ShardStage};
use crate::engine::replies::MOST_TRIES;
use crate::engine::slots::Slot;
use crate::engine::timers::{QueryRef, TargetRef, TimerKind};

/// The share of all shard requests of a daemon that may be hedged.
pub(super) const FLEET_HEDGE_SHARE: f64 = 0.04;
/// Hedges that a daemon may send at once.
const FLEET_HEDGE_BURST: f64 = 50.0;
/// The shortest hedge delay.
const LEAST_DELAY: Duration = Duration::from_millis(1);
/// A look that comes this much later than it was due follows a pause, and acts on nothing.
const STALE_WAKE: Duration = Duration::from_millis(20);
/// How often in one hedge delay a slow shard request that could not be hedged is looked at again.
const LOOKS_A_DELAY: u32 = 8;
/// The shortest time between two looks at a query.
const LEAST_LOOK: Duration = Duration::from_micros(500);

/// The budget of all accounts together.
pub(super) fn fleet_budget() -> TokenBudget {
    TokenBudget::new(FLEET_HEDGE_BURST, 0.0)
}

/// A shard request that has taken long.
#[derive(Clone, Copy, Debug)]
struct SlowShard {
    place: u32,
    target: TargetRef,
    age: Duration,
}

impl SearchEngine {
    /// Arranges the first look at a query's outstanding shard requests.
    pub(super) fn begin_hedge_watch(&mut self, now: Instant, query: QueryRef) {
        let protections = self.options.protections;
        if !protections.hedging && !protections.ejection {
            return;
        }
        let Some(state) = self.queries.get(query) else {
            return;
        };
        if let Some(delay) = self.hedge_delay(state.collection) {
            self.look_at(query, now + delay);
        }
    }

    /// Looks at a query's outstanding shard requests and hedges those that have taken long.
    pub(super) fn watch_shards(
        &mut self,
        now: Instant,
        due: Instant,
        query: QueryRef,
        actions: &mut Vec<EngineAction>,
    ) {
        let Some(state) = self.queries.get(query) else {
            return;
        };
        let running = matches!(state.stage, QueryStage::Running { .. });
        if !running || state.hedge_at != Some(due) {
            return;
        }
        let Some(delay) = self.hedge_delay(state.collection) else {
            return;
        };
        let overdue = now.saturating_duration_since(due) > STALE_WAKE;
        if overdue && self.options.protections.pause_checks {
            // What looks slow may have been answered long since; replies come first.
            self.look_at(query, now + delay);
            return;
        }
        let (slow, next) = self.slow_shards(now, state, delay);
        let mut again = next;
        for shard in slow {
            if !self.take_slow_shard(now, query, shard, delay, actions) {
                // No replica was free to hedge with: one may be well before the delay is over.
                again = again.min(now + delay / LOOKS_A_DELAY);
            }
        }
        self.look_at(query, again.max(now + LEAST_LOOK));
    }

    /// How long a shard request of a collection may take before it is hedged.
    pub(super) fn hedge_delay(&self, collection: Slot) -> Option<Duration> {
        let quantiles = self.collections.get(collection)?.latencies.quantiles()?;
        Some(quantiles.hedge.max(LEAST_DELAY))
    }

    fn look_at(&mut self, query: QueryRef, at: Instant) {
        if let Some(state) = self.queries.get_mut(query) {
            state.hedge_at = Some(at);
            self.timers.add(at, TimerKind::Hedge(query));
        }
    }

    /// The shard requests that have taken longer than the delay, and when the next one will have.
    fn slow_shards(
        &self,
        now: Instant,
        state: &QueryState,
        delay: Duration,
    ) -> (Vec<SlowShard>, Instant) {
        let mut slow = Vec::new();
        let mut next = now + delay;
        for (place, progress) in state.shards.iter().enumerate() {
            if progress.stage != ShardStage::Asked {
                continue;
            }
            let [first, second] = progress.live;
            let (Some(only), None) = (first.or(second), first.and(second)) else {
                continue;
            };
            let Some(attempt) = self.attempts.get(only) else {
                continue;
            };
            let since = self.counted_since(attempt);
            let age = now.saturating_duration_since(since);
            if age >= delay {
                slow.push(SlowShard {
                    place: place as u32,
                    target: attempt.target,
                    age,
                });
            } else {
                next = next.min(since + delay);
            }
        }
        (slow, next)
    }

    /// Since when an attempt counts as outstanding: a pause of the process is not the target's.
    fn counted_since(&self, attempt: &LiveAttempt) -> Instant {
        self.resumed_at
            .map_or(attempt.sent_at, |resumed| resumed.max(attempt.sent_at))
    }

    /// Hedges a slow shard request; false if it could not be hedged now.
    fn take_slow_shard(
        &mut self,
        now: Instant,
        query: QueryRef,
        shard: SlowShard,
        delay: Duration,
        actions: &mut Vec<EngineAction>,
    ) -> bool {
        if shard.age >= delay * 2 {
            self.note_stuck(now, shard.target, actions);
        }
        if !self.may_hedge(now, query, shard.place) {
            return false;
        }
        let Some(target) = self.choose_spare(now, query, shard.place) else {
            return false;
        };
        let Some(state) = self.queries.get(query) else {
            return false;
        };
        let account = state.account;
        actions.push(EngineAction::Decided(EngineDecision::Hedged {
            query: query.query,
            shard: state.shards[shard.place as usize].shard,
            slow: shard.target.target,
            target: target.target,
        }));
        self.hedges.spend(now);
        if let Some(account) = self.accounts.get_mut(account) {
            account.hedges.spend(now);
        }
        self.send(
            now,
            query,
            shard.place,
            target,
            AttemptCause::Hedge,
            actions,
        );
        true
    }

    fn may_hedge(&mut self, now: Instant, query: QueryRef, place: u32) -> bool {
        let Some(state) = self.queries.get(query) else {
            return false;
        };
        let QueryStage::Running { plan } = state.stage else {
            return false;
        };
        let allowed = self.options.protections.hedging
            && state.is_repeatable()
            && state.repeat == RepeatPolicy::Hedge
            && !state.quarantined
            && state.shards[place as usize].tries < MOST_TRIES
            && now < state.deadline;
        let position = state.shards[place as usize].position;
        if !allowed || self.is_group_saturated(plan, position) {
            return false;
        }
        let account = state.account;
        let account_pays = self
            .accounts
            .get_mut(account)
            .is_some_and(|account| account.hedges.has_token(now));
        account_pays && self.hedges.has_token(now)
    }

    /// Whether requests wait for connections to a shard's targets: a hedge would then only make
    /// the others wait. A wait at other shards' targets says nothing of these.
    fn is_group_saturated(&self, plan: Slot, position: u32) -> bool {
        self.plans
            .get(plan)
            .is_some_and(|plan| !plan.parked(position).is_empty())
    }

    fn choose_spare(&mut self, now: Instant, query: QueryRef, place: u32) -> Option<TargetRef> {
        let dice = self.roll();
        let mut scratch = std::mem::take(&mut self.scratch);
        let target = self
            .choice_input(now, query, place)
            .and_then(|input| input.choose_spare(&mut scratch, dice));
        self.scratch = scratch;
        target
    }
}
