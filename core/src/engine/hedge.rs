//! Hedging: second requests for slow shard requests.
//!
//! A shard request that has taken longer than nearly all recent requests of its collection is also
//! sent to a second replica; the first reply counts and the other attempt is cancelled. Budgets
//! limit the extra load to a few percent, and nothing is hedged while requests wait for
//! connections. See `docs/DESIGN.md`, "Hedging".

use std::time::{Duration, Instant};

use crate::account::RepeatPolicy;
use crate::action::{AttemptCause, EngineAction, EngineDecision};
use crate::engine::SearchEngine;
use crate::engine::budget::TokenBudget;
use crate::engine::query::{LiveAttempt, QueryStage, QueryState, ShardStage};
use crate::engine::replies::MAX_ATTEMPTS;
use crate::engine::slots::Slot;
use crate::engine::timers::{QueryRef, TargetRef, TimerKind};

/// Maximum share of all shard requests of a daemon that may be hedged.
pub(super) const DAEMON_HEDGE_SHARE: f64 = 0.04;
/// Maximum number of hedges that a daemon may send in a burst.
const DAEMON_HEDGE_BURST: f64 = 50.0;
/// Lower bound of the hedge delay.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(1);
/// Lag of a hedge check above which the process was probably paused; such a check sends no hedge.
const MAX_TIMER_LAG: Duration = Duration::from_millis(20);
/// Number of checks, within one median latency, of a request that could not be hedged.
const CHECKS_PER_DELAY: u32 = 4;
/// Minimum time between two checks of a query.
const MIN_CHECK_INTERVAL: Duration = Duration::from_micros(500);

/// Creates the hedge budget that all accounts share.
pub(super) fn daemon_budget() -> TokenBudget {
    TokenBudget::new(DAEMON_HEDGE_BURST, 0.0)
}

/// Ages at which a shard request is hedged.
#[derive(Clone, Copy, Debug)]
struct HedgeDelays {
    /// For a target that is not known to be slow.
    normal: Duration,
    /// For a target that is known to be slow or was slow until recently.
    slow_target: Duration,
}

/// A shard request that has exceeded its hedge delay.
#[derive(Clone, Copy, Debug)]
struct SlowShard {
    shard_index: u32,
    target: TargetRef,
    age: Duration,
}

impl SearchEngine {
    /// Schedules the first check of a query's outstanding shard requests.
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

    /// Checks a query's outstanding shard requests and hedges those that exceed their delay.
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
        let is_running = matches!(state.stage, QueryStage::Running { .. });
        if !is_running || state.next_hedge_check != Some(due) {
            return;
        }
        let Some(delays) = self.hedge_delays(state.collection) else {
            return;
        };
        let is_late = now.saturating_duration_since(due) > MAX_TIMER_LAG;
        if is_late && self.options.protections.pause_handling {
            // After a pause, replies may already be waiting; they are handled first.
            self.schedule_hedge_check(query, now + delays.normal);
            return;
        }
        let (slow, mut next) = self.slow_shards(now, state, delays);
        for shard in slow {
            if !self.handle_slow_shard(now, query, shard, delays, actions) {
                // The request is checked again soon, because capacity for a hedge may become free.
                next = next.min(now + delays.slow_target / CHECKS_PER_DELAY);
            }
        }
        self.schedule_hedge_check(query, next.max(now + MIN_CHECK_INTERVAL));
    }

    /// Returns the hedge delays of a collection, if its latencies are known.
    fn hedge_delays(&self, collection: Slot) -> Option<HedgeDelays> {
        let quantiles = self.collections.get(collection)?.latencies.quantiles()?;
        Some(HedgeDelays {
            normal: quantiles.hedge.max(MIN_HEDGE_DELAY),
            slow_target: quantiles.median.max(MIN_HEDGE_DELAY),
        })
    }

    /// Schedules an immediate check of the queries in flight to a target found to be slow.
    pub(super) fn recheck_in_flight_queries(&mut self, now: Instant, target: TargetRef) {
        let Some(state) = self.targets.get(target) else {
            return;
        };
        let queries: Vec<QueryRef> = state
            .in_flight_attempts
            .iter()
            .filter_map(|in_flight| self.attempts.get(in_flight.attempt))
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

    /// Returns the shard requests that exceed their delay, and when the next one may exceed it.
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

    /// Returns whether a target is known to be slow, or was readmitted and has not replied since.
    fn is_known_slow(&self, target: TargetRef) -> bool {
        self.targets.get(target).is_some_and(|state| {
            state.is_ejected() || (state.readmitted_at.is_some() && state.latency.samples() == 0)
        })
    }

    /// Returns the time from which an attempt's age is measured. Pauses of this process are not
    /// attributed to the target.
    fn outstanding_since(&self, attempt: &LiveAttempt) -> Instant {
        self.resumed_at
            .map_or(attempt.sent_at, |resumed| resumed.max(attempt.sent_at))
    }

    /// Hedges a slow shard request; returns false if the request was not hedged.
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
        let account_has_token = self
            .accounts
            .get_mut(account)
            .is_some_and(|account| account.hedges.has_token(now));
        account_has_token && self.hedges.has_token(now)
    }

    /// Returns whether requests wait for connections to a shard's targets, in which case a hedge
    /// would only delay them. Requests that wait for other shards do not matter.
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
