//! What latencies teach: limits, and targets that are slow beside their group.
//!
//! A target whose recent latency is far above that of its collection's other targets gets no work
//! for a moment, as long as enough replicas of each of its shards are left. See `docs/DESIGN.md`,
//! "Target choice".

use std::time::{Duration, Instant};

use crate::action::{EngineAction, EngineDecision};
use crate::engine::SearchEngine;
use crate::engine::latency::{LatencyAverage, LatencyQuantiles};
use crate::engine::query::LiveAttempt;
use crate::engine::slots::Slot;
use crate::engine::target::TargetState;
use crate::engine::timers::{TargetRef, TimerKind};
use crate::ids::AttemptId;

/// A target is slow when its average is this many times the median of its group.
const SLOW_RATIO: u32 = 3;
/// Samples that make a target's average worth comparing.
const SLOW_SAMPLES: u32 = 3;
/// How long a target is ejected the first time.
const FIRST_EJECTION: Duration = Duration::from_millis(500);
/// How often the time of ejection may double.
const MOST_DOUBLINGS: u32 = 4;
/// How long after its return a target is on probation, where one slow reply ejects it again.
const PROBATION: Duration = Duration::from_secs(10);
/// One in so many targets of a collection may be ejected at once.
const GROUP_PART: usize = 5;

impl SearchEngine {
    /// Learns from a reply that is there, wanted or not.
    pub(super) fn learn_reply(
        &mut self,
        now: Instant,
        attempt: &LiveAttempt,
        actions: &mut Vec<EngineAction>,
    ) {
        let paused_since = self
            .resumed_at
            .is_some_and(|resumed| attempt.sent_at < resumed);
        let Some(state) = self.targets.get_mut(attempt.target) else {
            return;
        };
        let was_lost = state.lost_until.is_some();
        state.note_alive();
        if !attempt.cancelled && !paused_since {
            let latency = now.saturating_duration_since(attempt.sent_at);
            self.learn_latency(now, attempt.target, latency, actions);
        }
        if was_lost {
            self.note_changed(attempt.target);
        }
    }

    fn learn_latency(
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
        let cold = state.cold_replies > 0;
        let slow = self.is_slow(target);
        if cold {
            return;
        }
        if slow {
            self.consider_ejection(now, target, actions);
        }
        // The group's histogram is of what its targets do when they are well.
        let ejected = self
            .targets
            .get(target)
            .is_some_and(TargetState::is_ejected);
        if !slow && !ejected {
            self.learn_group(target, latency);
        }
    }

    fn learn_group(&mut self, target: TargetRef, latency: Duration) {
        let collection = self.targets.get(target).map(|state| state.collection);
        let collection = collection.and_then(|slot| self.collections.get_mut(slot));
        if let Some(collection) = collection {
            collection.latencies.record(latency);
        }
    }

    /// Learns from an attempt that lost against its hedge: it would have taken longer still.
    pub(super) fn learn_loser(&mut self, now: Instant, attempt: AttemptId) {
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

    /// Notes a target that holds a request far longer than nearly all others take.
    pub(super) fn note_stuck(
        &mut self,
        now: Instant,
        target: TargetRef,
        actions: &mut Vec<EngineAction>,
    ) {
        let warm = self
            .targets
            .get(target)
            .is_some_and(|state| state.cold_replies == 0);
        if warm {
            self.consider_ejection(now, target, actions);
        }
    }

    /// Whether a target's recent latency is far above that of its group.
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
        let enough = state.latency.samples() >= SLOW_SAMPLES || state.readmitted_at.is_some();
        enough && mean > slow_bound(quantiles)
    }

    fn consider_ejection(
        &mut self,
        now: Instant,
        target: TargetRef,
        actions: &mut Vec<EngineAction>,
    ) {
        if !self.options.protections.ejection || !self.may_eject(target) {
            return;
        }
        let Some(state) = self.targets.get_mut(target) else {
            return;
        };
        let on_probation = state
            .readmitted_at
            .is_some_and(|at| now.saturating_duration_since(at) < PROBATION);
        if !on_probation {
            state.ejections = 0;
        }
        let period = FIRST_EJECTION * (1 << state.ejections.min(MOST_DOUBLINGS));
        state.ejections += 1;
        state.ejected_until = Some(now + period);
        self.timers.add(now + period, TimerKind::Target(target));
        self.look_at_flights(now, target);
        let target = target.target;
        actions.push(EngineAction::Decided(EngineDecision::Ejected {
            target,
            period,
        }));
    }

    /// Whether a target can be spared: by each of its shards, and by its group.
    fn may_eject(&self, target: TargetRef) -> bool {
        let Some(state) = self.targets.get(target) else {
            return false;
        };
        if state.is_ejected() || !state.is_usable() {
            return false;
        }
        let mean = state.latency.mean().unwrap_or_default();
        let spared = state.hosted.iter().all(|hosted| {
            self.can_spare(target, hosted.plan, hosted.position)
                && self.is_slowest(target, mean, hosted.plan, hosted.position)
        });
        spared && self.can_group_spare(state.collection)
    }

    /// Whether so few targets of a collection are ejected that it can be one more.
    fn can_group_spare(&self, collection: Slot) -> bool {
        let plan = self
            .collections
            .get(collection)
            .and_then(|collection| collection.current)
            .and_then(|plan| self.plans.get(plan));
        let Some(plan) = plan else {
            return false;
        };
        let group = plan.map.targets.len();
        // Counted anew each time: it is rare, and a count kept beside the targets could go astray.
        let ejected = plan
            .map
            .targets
            .iter()
            .filter_map(|entry| self.targets.get(self.targets.find(entry.target)?))
            .filter(|state| state.is_ejected());
        ejected.count() < (group / GROUP_PART).max(1)
    }

    /// Whether a target is far slower than each other replica of a shard that has work. Where they
    /// are slow too the shard is overloaded, and one replica less would make that worse.
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

    /// Whether at least half of a shard's usable replicas would still get work.
    fn can_spare(&self, target: TargetRef, plan: u32, position: u32) -> bool {
        let Some(plan) = self.plans.get(plan) else {
            return true;
        };
        if plan.retired {
            return true;
        }
        let mut usable = 0_u32;
        let mut left = 0_u32;
        for replica in plan.replicas(position) {
            let Some(state) = self.targets.get(*replica) else {
                continue;
            };
            if !state.is_usable() {
                continue;
            }
            usable += 1;
            if !state.is_ejected() && *replica != target {
                left += 1;
            }
        }
        left >= usable.div_ceil(2).max(1)
    }

    /// Lets a target have work again when its loss or its ejection is over.
    pub(super) fn end_absence(
        &mut self,
        now: Instant,
        target: TargetRef,
        actions: &mut Vec<EngineAction>,
    ) {
        let Some(state) = self.targets.get_mut(target) else {
            return;
        };
        let found = state.lost_until.is_some_and(|until| until <= now);
        if found {
            state.end_loss();
        }
        let readmitted = state.ejected_until.is_some_and(|until| until <= now);
        if readmitted {
            state.ejected_until = None;
            state.readmitted_at = Some(now);
            state.latency = LatencyAverage::default();
            state.limit.begin_gently();
            let target = target.target;
            actions.push(EngineAction::Decided(EngineDecision::Readmitted { target }));
        }
        if found || readmitted {
            self.note_changed(target);
        }
    }
}

/// The average above which a target is slow: far above the median, and above what is hedged.
fn slow_bound(quantiles: LatencyQuantiles) -> Duration {
    (quantiles.median * SLOW_RATIO).max(quantiles.hedge)
}
