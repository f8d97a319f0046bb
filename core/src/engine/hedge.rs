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
/// How often a request that could not be hedged is looked at in the time that one usually takes.
const LOOKS_PER_DELAY: u32 = 4;
/// The shortest time between two looks at a query.
const LEAST_LOOK: Duration = Duration::from_micros(500);

/// The budget of all accounts together.
pub(super) fn fleet_budget() -> TokenBudget {
    TokenBudget::new(FLEET_HEDGE_BURST, 0.0)
}

/// After how long a shard request is hedged.
#[derive(Clone, Copy, Debug)]
struct HedgeDelays {
    /// Where nothing is known against its target.
    usual: Duration,
    /// Where its target is known to be slow, or was until just now.
    suspect: Duration,
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
        let Some(delays) = self.hedge_delays(state.collection) else {
            return;
        };
        let suspect = state.shards.iter().any(|progress| {
            let attempt = progress.live[0].and_then(|attempt| self.attempts.get(attempt));
            attempt.is_some_and(|attempt| self.is_suspect(attempt.target))
        });
        let delay = if suspect {
            delays.suspect
        } else {
            delays.usual
        };
        self.look_at(query, now + delay);
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
        let Some(delays) = self.hedge_delays(state.collection) else {
            return;
        };
        let overdue = now.saturating_duration_since(due) > STALE_WAKE;
        if overdue && self.options.protections.pause_checks {
            // What looks slow may have been answered long since; replies come first.
            self.look_at(query, now + delays.usual);
            return;
        }
        let (slow, mut next) = self.slow_shards(now, state, delays);
        for shard in slow {
            if !self.take_slow_shard(now, query, shard, delays, actions) {
                // Room for a hedge may come up soon.
                next = next.min(now + delays.suspect / LOOKS_PER_DELAY);
            }
        }
        self.look_at(query, next.max(now + LEAST_LOOK));
    }

    /// How long a shard request of a collection may take before it is hedged.
    fn hedge_delays(&self, collection: Slot) -> Option<HedgeDelays> {
        let quantiles = self.collections.get(collection)?.latencies.quantiles()?;
        Some(HedgeDelays {
            usual: quantiles.hedge.max(LEAST_DELAY),
            suspect: quantiles.median.max(LEAST_DELAY),
        })
    }

    /// Looks at once at the queries that a target holds, since it has turned out to be slow.
    pub(super) fn look_at_flights(&mut self, now: Instant, target: TargetRef) {
        let Some(state) = self.targets.get(target) else {
            return;
        };
        let queries: Vec<QueryRef> = state
            .flights
            .iter()
            .filter_map(|flight| self.attempts.get(flight.attempt))
            .filter(|attempt| !attempt.cancelled)
            .map(|attempt| attempt.query)
            .collect();
        for query in queries {
            self.look_at(query, now);
        }
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
        delays: HedgeDelays,
    ) -> (Vec<SlowShard>, Instant) {
        let mut slow = Vec::new();
        let mut next = now + delays.usual;
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
            let delay = if self.is_suspect(attempt.target) {
                delays.suspect
            } else {
                delays.usual
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

    /// Whether a target is known to be slow, or has yet to show that it no longer is.
    fn is_suspect(&self, target: TargetRef) -> bool {
        self.targets.get(target).is_some_and(|state| {
            state.is_ejected() || (state.readmitted_at.is_some() && state.latency.samples() == 0)
        })
    }

    /// Since when an attempt counts as outstanding: a pause of the process is not the target's.
    fn counted_since(&self, attempt: &LiveAttempt) -> Instant {
        self.resumed_at
            .map_or(attempt.sent_at, |resumed| resumed.max(attempt.sent_at))
    }

    /// Hedges a slow shard request if it may be; false if it was not.
    fn take_slow_shard(
        &mut self,
        now: Instant,
        query: QueryRef,
        shard: SlowShard,
        delays: HedgeDelays,
        actions: &mut Vec<EngineAction>,
    ) -> bool {
        if shard.age >= delays.usual * 2 {
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
