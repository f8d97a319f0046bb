//! Evaluation of reply latencies: concurrency limits and ejection of slow targets.
//!
//! A target whose recent latency is far above that of the other targets of its collection is
//! ejected: it gets no work for a short time, provided that enough replicas of each of its shards
//! remain. See `docs/DESIGN.md`, "Target choice".

use std::time::{Duration, Instant};

use crate::action::{EngineAction, EngineDecision};
use crate::engine::SearchEngine;
use crate::engine::latency::{LatencyAverage, LatencyQuantiles};
use crate::engine::query::LiveAttempt;
use crate::engine::slots::Slot;
use crate::engine::target::TargetState;
use crate::engine::timers::{TargetRef, TimerKind};
use crate::ids::AttemptId;

/// A target is slow if its average latency exceeds this many times the collection's median.
const SLOW_RATIO: u32 = 3;
/// Minimum number of latency samples before a target is compared with its collection.
const MIN_COMPARED_SAMPLES: u32 = 3;
/// Duration of the first ejection of a target.
const FIRST_EJECTION_PERIOD: Duration = Duration::from_millis(500);
/// Maximum number of times that the ejection period doubles.
const MAX_DOUBLINGS: u32 = 4;
/// How long a readmitted target is on probation: another ejection during this time, which one slow
/// reply can cause, lasts twice as long as the previous one.
const PROBATION_PERIOD: Duration = Duration::from_secs(10);
/// At most one in this many targets of a collection may be ejected at once; in a smaller
/// collection one target may be.
const MIN_TARGETS_PER_EJECTION: usize = 5;

impl SearchEngine {
    /// Updates the target's state from a reply, including one to a cancelled attempt.
    pub(super) fn record_reply(
        &mut self,
        now: Instant,
        attempt: &LiveAttempt,
        actions: &mut Vec<EngineAction>,
    ) {
        let sent_before_pause = self
            .resumed_at
            .is_some_and(|resumed| attempt.sent_at < resumed);
        let Some(state) = self.targets.get_mut(attempt.target) else {
            return;
        };
        let was_lost = state.lost_until.is_some();
        state.mark_alive();
        if !attempt.cancelled && !sent_before_pause {
            let latency = now.saturating_duration_since(attempt.sent_at);
            self.record_latency(now, attempt.target, latency, actions);
        }
        if was_lost {
            self.mark_target_changed(attempt.target);
        }
    }

    fn record_latency(
        &mut self,
        now: Instant,
        target: TargetRef,
        latency: Duration,
        actions: &mut Vec<EngineAction>,
    ) {
        let Some(state) = self.targets.get_mut(target) else {
            return;
        };
        let before = state.limit.current();
        state.latency.record(now, latency);
        let in_flight = state.in_flight() + 1;
        state.limit.on_reply(now, latency, in_flight);
        let limit = state.limit.current();
        if limit != before {
            let target = target.target;
            actions.push(EngineAction::Decided(EngineDecision::LimitChanged {
                target,
                limit,
            }));
        }
        let is_cold = state.replies_until_warm > 0;
        let slow = self.is_slow(target);
        if is_cold {
            return;
        }
        if slow {
            self.try_eject(now, target, actions);
        }
        // Latencies of slow or ejected targets stay out of the collection's histogram, which
        // describes healthy targets.
        let ejected = self
            .targets
            .get(target)
            .is_some_and(TargetState::is_ejected);
        if !slow && !ejected {
            self.record_collection_latency(target, latency);
        }
    }

    fn record_collection_latency(&mut self, target: TargetRef, latency: Duration) {
        let collection = self.targets.get(target).map(|state| state.collection);
        let collection = collection.and_then(|slot| self.collections.get_mut(slot));
        if let Some(collection) = collection {
            collection.latencies.record(latency);
        }
    }

    /// Records the elapsed time of an attempt that another attempt for its shard has overtaken. The
    /// elapsed time is a lower bound of the latency, so it counts only if it exceeds the average.
    pub(super) fn record_overtaken_attempt(&mut self, now: Instant, attempt: AttemptId) {
        let Some(attempt) = self.attempts.get(attempt).copied() else {
            return;
        };
        if self
            .resumed_at
            .is_some_and(|resumed| attempt.sent_at < resumed)
        {
            return;
        }
        let elapsed = now.saturating_duration_since(attempt.sent_at);
        if let Some(state) = self.targets.get_mut(attempt.target)
            && state.latency.mean().is_none_or(|mean| elapsed > mean)
        {
            state.latency.record(now, elapsed);
        }
    }

    /// Considers ejecting a target that has held a request far longer than most requests take.
    pub(super) fn consider_stuck_target(
        &mut self,
        now: Instant,
        target: TargetRef,
        actions: &mut Vec<EngineAction>,
    ) {
        let is_warm = self
            .targets
            .get(target)
            .is_some_and(|state| state.replies_until_warm == 0);
        if is_warm {
            self.try_eject(now, target, actions);
        }
    }

    /// Returns whether a target's recent latency is far above that of its collection.
    fn is_slow(&self, target: TargetRef) -> bool {
        let Some(state) = self.targets.get(target) else {
            return false;
        };
        let quantiles = self
            .collections
            .get(state.collection)
            .and_then(|collection| collection.latencies.quantiles());
        let (Some(quantiles), Some(mean)) = (quantiles, state.latency.mean()) else {
            return false;
        };
        let has_enough_samples =
            state.latency.samples() >= MIN_COMPARED_SAMPLES || state.readmitted_at.is_some();
        has_enough_samples && mean > slow_threshold(quantiles)
    }

    fn try_eject(&mut self, now: Instant, target: TargetRef, actions: &mut Vec<EngineAction>) {
        if !self.options.protections.ejection || !self.may_eject(target) {
            return;
        }
        let Some(state) = self.targets.get_mut(target) else {
            return;
        };
        let on_probation = state
            .readmitted_at
            .is_some_and(|at| now.saturating_duration_since(at) < PROBATION_PERIOD);
        if !on_probation {
            state.ejections = 0;
        }
        let period = FIRST_EJECTION_PERIOD * (1 << state.ejections.min(MAX_DOUBLINGS));
        state.ejections += 1;
        state.ejected_until = Some(now + period);
        self.timers
            .add(now + period, TimerKind::TargetExclusion(target));
        self.recheck_in_flight_queries(now, target);
        let target = target.target;
        actions.push(EngineAction::Decided(EngineDecision::Ejected {
            target,
            period,
        }));
    }

    /// Returns whether enough replicas of each of the target's shards and enough targets of its
    /// collection remain without it.
    fn may_eject(&self, target: TargetRef) -> bool {
        let Some(state) = self.targets.get(target) else {
            return false;
        };
        if state.is_ejected() || !state.is_usable() {
            return false;
        }
        let mean = state.latency.mean().unwrap_or_default();
        let all_shards_covered = state.hosted.iter().all(|hosted| {
            self.leaves_enough_replicas(target, hosted.plan, hosted.position)
                && self.is_slowest(target, mean, hosted.plan, hosted.position)
        });
        all_shards_covered && self.is_below_ejection_cap(state.collection)
    }

    /// Returns whether one more target of a collection may be ejected.
    fn is_below_ejection_cap(&self, collection: Slot) -> bool {
        let plan = self
            .collections
            .get(collection)
            .and_then(|collection| collection.current)
            .and_then(|plan| self.plans.get(plan));
        let Some(plan) = plan else {
            return false;
        };
        let target_count = plan.map.targets.len();
        // Counted on demand: ejections are rare, and a separate counter could get out of step.
        let ejected = plan
            .map
            .targets
            .iter()
            .filter_map(|entry| self.targets.get(self.targets.find(entry.target)?))
            .filter(|state| state.is_ejected());
        ejected.count() < (target_count / MIN_TARGETS_PER_EJECTION).max(1)
    }

    /// Returns whether a target is far slower than every other replica of the shard that gets work.
    /// If the others are slow too, the shard is overloaded and ejecting a replica would make the
    /// overload worse.
    fn is_slowest(&self, target: TargetRef, mean: Duration, plan: u32, position: u32) -> bool {
        let Some(plan) = self.plans.get(plan) else {
            return true;
        };
        plan.replicas(position)
            .iter()
            .filter(|replica| **replica != target)
            .filter_map(|replica| self.targets.get(*replica))
            .filter(|state| state.is_usable() && !state.is_ejected())
            .filter_map(|state| state.latency.mean())
            .all(|other| mean > other * SLOW_RATIO)
    }

    /// Returns whether at least half of a shard's usable replicas would still get work.
    fn leaves_enough_replicas(&self, target: TargetRef, plan: u32, position: u32) -> bool {
        let Some(plan) = self.plans.get(plan) else {
            return true;
        };
        if plan.retired {
            return true;
        }
        let mut usable = 0_u32;
        let mut remaining = 0_u32;
        for replica in plan.replicas(position) {
            let Some(state) = self.targets.get(*replica) else {
                continue;
            };
            if !state.is_usable() {
                continue;
            }
            usable += 1;
            if !state.is_ejected() && *replica != target {
                remaining += 1;
            }
        }
        remaining >= usable.div_ceil(2).max(1)
    }

    /// Ends a target's loss or ejection whose time is over.
    pub(super) fn end_expired_exclusion(
        &mut self,
        now: Instant,
        target: TargetRef,
        actions: &mut Vec<EngineAction>,
    ) {
        let Some(state) = self.targets.get_mut(target) else {
            return;
        };
        let recovered = state.lost_until.is_some_and(|until| until <= now);
        if recovered {
            state.end_loss();
        }
        let readmitted = state.ejected_until.is_some_and(|until| until <= now);
        if readmitted {
            state.ejected_until = None;
            state.readmitted_at = Some(now);
            state.latency = LatencyAverage::default();
            state.limit.reset_to_minimum();
            let target = target.target;
            actions.push(EngineAction::Decided(EngineDecision::Readmitted { target }));
        }
        if recovered || readmitted {
            self.mark_target_changed(target);
        }
    }
}

/// Returns the average latency above which a target is slow: far above the collection's median
/// and above the hedge delay.
fn slow_threshold(quantiles: LatencyQuantiles) -> Duration {
    (quantiles.median * SLOW_RATIO).max(quantiles.hedge)
}
