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
use crate::engine::replies::MAX_ATTEMPTS;
use crate::engine::slots::Slot;
use crate::engine::timers::{QueryRef, TargetRef, TimerKind};

/// The share of all shard requests of a daemon that may be hedged.
pub(super) const DAEMON_HEDGE_SHARE: f64 = 0.04;
/// Hedges that a daemon may send at once.
const DAEMON_HEDGE_BURST: f64 = 50.0;
/// The shortest hedge delay.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(1);
/// A look that comes this much later than it was due follows a pause, and acts on nothing.
const MAX_TIMER_LAG: Duration = Duration::from_millis(20);
/// How often a request that could not be hedged is looked at in the time that one usually takes.
const CHECKS_PER_DELAY: u32 = 4;
/// The shortest time between two looks at a query.
const MIN_CHECK_INTERVAL: Duration = Duration::from_micros(500);

/// The budget of all accounts together.
pub(super) fn daemon_budget() -> TokenBudget {
    TokenBudget::new(DAEMON_HEDGE_BURST, 0.0)
}

/// After how long a shard request is hedged.
#[derive(Clone, Copy, Debug)]
struct HedgeDelays {
    /// Where nothing is known against its target.
    normal: Duration,
    /// Where its target is known to be slow, or was until just now.
    slow_target: Duration,
}

/// A shard request that has taken long.
#[derive(Clone, Copy, Debug)]
struct SlowShard {
    shard_index: u32,
    target: TargetRef,
    age: Duration,
}

impl SearchEngine {
    /// Arranges the first look at a query's outstanding shard requests.
    pub(super) fn schedule_hedge_checks(&mut self, now: Instant, query: QueryRef) {
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
        let slow_target = state.shards.iter().any(|progress| {
            let attempt = progress.in_flight[0].and_then(|attempt| self.attempts.get(attempt));
            attempt.is_some_and(|attempt| self.is_known_slow(attempt.target))
        });
        let delay = if slow_target {
            delays.slow_target
        } else {
            delays.normal
        };
        self.schedule_hedge_check(query, now + delay);
    }

    /// Looks at a query's outstanding shard requests and hedges those that have taken long.
    pub(super) fn check_hedges(
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
        if !running || state.next_hedge_check != Some(due) {
            return;
        }
        let Some(delays) = self.hedge_delays(state.collection) else {
            return;
        };
        let overdue = now.saturating_duration_since(due) > MAX_TIMER_LAG;
        if overdue && self.options.protections.pause_checks {
            // What looks slow may have been answered long since; replies come first.
            self.schedule_hedge_check(query, now + delays.normal);
            return;
        }
        let (slow, mut next) = self.slow_shards(now, state, delays);
        for shard in slow {
            if !self.handle_slow_shard(now, query, shard, delays, actions) {
                // Room for a hedge may come up soon.
                next = next.min(now + delays.slow_target / CHECKS_PER_DELAY);
            }
        }
        self.schedule_hedge_check(query, next.max(now + MIN_CHECK_INTERVAL));
    }

    /// How long a shard request of a collection may take before it is hedged.
    fn hedge_delays(&self, collection: Slot) -> Option<HedgeDelays> {
        let quantiles = self.collections.get(collection)?.latencies.quantiles()?;
        Some(HedgeDelays {
            normal: quantiles.hedge.max(MIN_HEDGE_DELAY),
            slow_target: quantiles.median.max(MIN_HEDGE_DELAY),
        })
    }

    /// Looks at once at the queries that a target holds, since it has turned out to be slow.
    pub(super) fn recheck_in_flight_queries(&mut self, now: Instant, target: TargetRef) {
        let Some(state) = self.targets.get(target) else {
            return;
        };
        let queries: Vec<QueryRef> = state
            .in_flight_attempts
            .iter()
            .filter_map(|sent| self.attempts.get(sent.attempt))
            .filter(|attempt| !attempt.cancelled)
            .map(|attempt| attempt.query)
            .collect();
        for query in queries {
            self.schedule_hedge_check(query, now);
        }
    }

    fn schedule_hedge_check(&mut self, query: QueryRef, at: Instant) {
        if let Some(state) = self.queries.get_mut(query) {
            state.next_hedge_check = Some(at);
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
        let mut next = now + delays.normal;
        for (shard_index, progress) in state.shards.iter().enumerate() {
            if progress.stage != ShardStage::Requested {
                continue;
            }
            let [first, second] = progress.in_flight;
            let (Some(only), None) = (first.or(second), first.and(second)) else {
                continue;
            };
            let Some(attempt) = self.attempts.get(only) else {
                continue;
            };
            let delay = if self.is_known_slow(attempt.target) {
                delays.slow_target
            } else {
                delays.normal
            };
            let since = self.outstanding_since(attempt);
            let age = now.saturating_duration_since(since);
            if age >= delay {
                slow.push(SlowShard {
                    shard_index: shard_index as u32,
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
    fn is_known_slow(&self, target: TargetRef) -> bool {
        self.targets.get(target).is_some_and(|state| {
            state.is_ejected() || (state.readmitted_at.is_some() && state.latency.samples() == 0)
        })
    }

    /// Since when an attempt counts as outstanding: a pause of the process is not the target's.
    fn outstanding_since(&self, attempt: &LiveAttempt) -> Instant {
        self.resumed_at
            .map_or(attempt.sent_at, |resumed| resumed.max(attempt.sent_at))
    }

    /// Hedges a slow shard request if it may be; false if it was not.
    fn handle_slow_shard(
        &mut self,
        now: Instant,
        query: QueryRef,
        shard: SlowShard,
        delays: HedgeDelays,
        actions: &mut Vec<EngineAction>,
    ) -> bool {
        if shard.age >= delays.normal * 2 {
            self.consider_stuck_target(now, shard.target, actions);
        }
        if !self.may_hedge(now, query, shard.shard_index) {
            return false;
        }
        let Some(target) = self.choose_hedge_target(now, query, shard.shard_index) else {
            return false;
        };
        let Some(state) = self.queries.get(query) else {
            return false;
        };
        let account = state.account;
        actions.push(EngineAction::Decided(EngineDecision::Hedged {
            query: query.query,
            shard: state.shards[shard.shard_index as usize].shard,
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
            shard.shard_index,
            target,
            AttemptCause::Hedge,
            actions,
        );
        true
    }

    fn may_hedge(&mut self, now: Instant, query: QueryRef, shard_index: u32) -> bool {
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
            && state.shards[shard_index as usize].attempts_sent < MAX_ATTEMPTS
            && now < state.deadline;
        let position = state.shards[shard_index as usize].position;
        if !allowed || self.has_parked_requests(plan, position) {
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
    fn has_parked_requests(&self, plan: Slot, position: u32) -> bool {
        self.plans
            .get(plan)
            .is_some_and(|plan| !plan.parked(position).is_empty())
    }

    fn choose_hedge_target(
        &mut self,
        now: Instant,
        query: QueryRef,
        shard_index: u32,
    ) -> Option<TargetRef> {
        let selector = self.next_selector();
        let mut scratch = std::mem::take(&mut self.scratch);
        let target = self
            .choice_input(now, query, shard_index)
            .and_then(|input| input.choose_hedge_target(&mut scratch, selector));
        self.scratch = scratch;
        target
    }
}
