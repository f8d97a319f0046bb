//! Choice of the replica that a shard request is sent to: [`TargetChoice`].
//!
//! Takes the better of two random replicas, compared by the number of requests that this daemon
//! has in flight to each and by the recent latency; replicas with similar scores alternate. A
//! replica in the daemon's own data centre is preferred unless it is much slower. See
//! `docs/DESIGN.md`, "Target choice".

use std::time::Instant;

use crate::coverage::MissingReason;
use crate::engine::plan::ShardPlan;
use crate::engine::query::ShardProgress;
use crate::engine::target::{TargetState, TargetTable};
use crate::engine::timers::TargetRef;
use crate::ids::{IndexVersion, TargetId};

/// Latency assumed for a target without samples if its collection has none either.
const UNKNOWN_LATENCY_SECONDS: f64 = 0.001;
/// Score penalty of a fully cold target, in multiples of its regular score.
const COLD_PENALTY: f64 = 3.0;
/// Maximum ratio of two scores at which the lower one counts as better: half as many requests in
/// flight, or half the latency. Smaller differences are mostly noise.
const BETTER_SCORE_RATIO: f64 = 0.5;
/// A remote target is preferred to a local one if its score is below this ratio of the local one.
const REMOTE_SCORE_RATIO: f64 = 0.7;
/// Maximum number of candidates that are all compared; of more, two random ones are compared.
const MAX_FULLY_COMPARED: usize = 3;
/// One in this many choices ignores the penalty of cold targets.
const COLD_TRIAL_INTERVAL: u64 = 8;
/// Score penalty of a target that has just reported full load, in multiples of its regular score.
const REPORTED_LOAD_PENALTY: f64 = 1.5;
/// Maximum number of consecutive losses of a target at which a shard request still waits for it.
const MAX_AWAITED_LOSSES: u32 = 3;

/// Result of choosing a target for a shard request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TargetChoice {
    /// Send the request to this target.
    Selected(TargetRef),
    /// Wait, because the suitable targets have no free connection or are expected back soon.
    Wait,
    /// No target is suitable.
    Unavailable(MissingReason),
}

/// Input of the choice of a target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ChoiceInput<'a> {
    pub(crate) now: Instant,
    /// When the process last resumed from a pause; in-flight times are measured from then on.
    pub(crate) resumed_at: Option<Instant>,
    /// Plan that the query runs on.
    pub(crate) plan: &'a ShardPlan,
    pub(crate) targets: &'a TargetTable,
    /// Index version that the query is pinned to.
    pub(crate) version: IndexVersion,
    /// Shard that a target is chosen for.
    pub(crate) progress: &'a ShardProgress,
    /// Targets that already have an attempt for this shard in flight.
    pub(crate) excluded: [Option<TargetId>; 2],
    /// Median latency of the collection in seconds, if known.
    pub(crate) typical_seconds: Option<f64>,
    /// Whether candidates are compared by score; if false, the selector alone picks the replica.
    pub(crate) two_choices: bool,
}

/// Replicas of equal preference: those with a free connection, and whether there are busy ones.
#[derive(Debug, Default)]
struct ReplicaTier {
    free: Vec<TargetRef>,
    has_busy: bool,
}

impl ReplicaTier {
    fn clear(&mut self) {
        self.free.clear();
        self.has_busy = false;
    }

    fn add(&mut self, replica: TargetRef, state: &TargetState) {
        if state.has_capacity() {
            self.free.push(replica);
        } else {
            self.has_busy = true;
        }
    }
}

/// Replicas grouped by preference; reused so that choosing a target does not allocate.
#[derive(Debug, Default)]
pub(crate) struct ChoiceScratch {
    ready: ReplicaTier,
    ejected: ReplicaTier,
    failed: ReplicaTier,
    has_lost: bool,
    lacks_version: bool,
}

impl ChoiceScratch {
    fn clear(&mut self) {
        self.ready.clear();
        self.ejected.clear();
        self.failed.clear();
        self.has_lost = false;
        self.lacks_version = false;
    }
}

impl ChoiceInput<'_> {
    /// Chooses a target; `selector` is a random number, or a counter for round robin.
    pub(crate) fn choose(&self, scratch: &mut ChoiceScratch, selector: u64) -> TargetChoice {
        self.classify_replicas(scratch);
        for tier in [&scratch.ready, &scratch.ejected, &scratch.failed] {
            if !tier.free.is_empty() {
                return TargetChoice::Selected(self.pick(&tier.free, selector));
            }
            if tier.has_busy {
                return TargetChoice::Wait;
            }
        }
        if scratch.has_lost {
            return TargetChoice::Wait;
        }
        TargetChoice::Unavailable(self.missing_reason(scratch))
    }

    /// Chooses a target for a hedge: a warm target that is not ejected and has either a free slot
    /// or at most half of its limit in use.
    pub(crate) fn choose_hedge_target(
        &self,
        scratch: &mut ChoiceScratch,
        selector: u64,
    ) -> Option<TargetRef> {
        self.classify_replicas(scratch);
        scratch.ready.free.retain(|candidate| {
            self.targets.get(*candidate).is_some_and(|state| {
                let in_flight = state.in_flight();
                let spare = in_flight * 2 <= state.limit.current() || in_flight < state.entry.slots;
                state.replies_until_warm == 0 && spare
            })
        });
        (!scratch.ready.free.is_empty()).then(|| self.pick(&scratch.ready.free, selector))
    }

    fn classify_replicas(&self, scratch: &mut ChoiceScratch) {
        scratch.clear();
        for replica in self.plan.replicas(self.progress.position) {
            let Some(state) = self.targets.get(*replica) else {
                continue;
            };
            if self.excluded.contains(&Some(replica.target)) {
                continue;
            }
            self.classify_replica(*replica, state, scratch);
        }
    }

    fn classify_replica(
        &self,
        replica: TargetRef,
        state: &TargetState,
        scratch: &mut ChoiceScratch,
    ) {
        let failed = self
            .progress
            .failed
            .iter()
            .rev()
            .find(|entry| entry.target == replica.target);
        if failed.is_some_and(|entry| !entry.may_retry_target) {
            return;
        }
        if !state.is_usable() {
            scratch.has_lost |=
                state.is_expected_back(MAX_AWAITED_LOSSES) && state.holds(self.version);
            return;
        }
        if !state.holds(self.version) {
            scratch.lacks_version = true;
            return;
        }
        let tier = if failed.is_some() {
            &mut scratch.failed
        } else if state.is_ejected() {
            &mut scratch.ejected
        } else {
            &mut scratch.ready
        };
        tier.add(replica, state);
    }

    fn pick(&self, candidates: &[TargetRef], selector: u64) -> TargetRef {
        if !self.two_choices {
            return candidates[(selector % candidates.len() as u64) as usize];
        }
        let best = if candidates.len() <= MAX_FULLY_COMPARED {
            self.best_of(candidates.iter().copied(), selector)
        } else {
            self.better_of_two(candidates, selector)
        };
        let best = best.unwrap_or(candidates[0]);
        let local = candidates
            .iter()
            .copied()
            .filter(|candidate| self.is_local(*candidate));
        match self.best_of(local, selector) {
            Some(local) => self.prefer_local(local, best, selector),
            None => best,
        }
    }

    fn better_of_two(&self, candidates: &[TargetRef], selector: u64) -> Option<TargetRef> {
        let first = scale_to_index(selector as u32, candidates.len());
        let mut second = scale_to_index((selector >> 32) as u32, candidates.len() - 1);
        if second >= first {
            second += 1;
        }
        let pair = [candidates[first], candidates[second]];
        self.best_of(pair.into_iter(), selector)
    }

    fn best_of(
        &self,
        candidates: impl Iterator<Item = TargetRef>,
        selector: u64,
    ) -> Option<TargetRef> {
        candidates.reduce(|left, right| self.choose_better(left, right, selector))
    }

    fn is_local(&self, candidate: TargetRef) -> bool {
        self.targets.get(candidate).is_some_and(|state| state.local)
    }

    /// Returns the better of two targets. If their scores are similar, returns the one whose last
    /// request is older, which spreads the load as evenly as round robin.
    fn choose_better(&self, left: TargetRef, right: TargetRef, selector: u64) -> TargetRef {
        let (left_score, right_score) = (self.score(left, selector), self.score(right, selector));
        if right_score <= left_score * BETTER_SCORE_RATIO {
            return right;
        }
        if left_score <= right_score * BETTER_SCORE_RATIO
            || self.last_sent(left) <= self.last_sent(right)
        {
            return left;
        }
        right
    }

    fn prefer_local(&self, local: TargetRef, best: TargetRef, selector: u64) -> TargetRef {
        if self.is_local(best)
            || self.score(best, selector) >= self.score(local, selector) * REMOTE_SCORE_RATIO
        {
            return local;
        }
        best
    }

    fn last_sent(&self, candidate: TargetRef) -> Option<Instant> {
        self.targets.get(candidate).and_then(|state| state.sent_at)
    }

    /// Estimates the time to a reply in seconds; lower is better.
    fn score(&self, candidate: TargetRef, selector: u64) -> f64 {
        let Some(state) = self.targets.get(candidate) else {
            return f64::INFINITY;
        };
        let load = f64::from(state.in_flight() + 1) / f64::from(state.limit.current().max(1));
        let typical = self.typical_seconds.unwrap_or(UNKNOWN_LATENCY_SECONDS);
        let seconds = state.latency.conservative_seconds(self.now, typical);
        let seconds = seconds.max(self.oldest_in_flight_seconds(state));
        let cold_factor = if skips_cold_penalty(selector) {
            1.0
        } else {
            1.0 + COLD_PENALTY * state.cold_fraction()
        };
        let reported_factor = 1.0 + REPORTED_LOAD_PENALTY * state.reported_load(self.now);
        load * seconds * cold_factor * reported_factor
    }

    /// Returns the age of the oldest attempt in flight, which reveals a stuck target first.
    fn oldest_in_flight_seconds(&self, state: &TargetState) -> f64 {
        let Some(oldest) = state.in_flight_attempts.first() else {
            return 0.0;
        };
        let since = self
            .resumed_at
            .map_or(oldest.sent_at, |resumed| resumed.max(oldest.sent_at));
        self.now.saturating_duration_since(since).as_secs_f64()
    }

    fn missing_reason(&self, scratch: &ChoiceScratch) -> MissingReason {
        if scratch.lacks_version {
            return MissingReason::WrongVersion;
        }
        self.progress
            .failed
            .last()
            .map_or(MissingReason::NoTarget, |entry| entry.reason)
    }
}

/// Returns whether this choice ignores the penalty of cold targets. Cold targets need some
/// requests, because only work warms them up.
fn skips_cold_penalty(selector: u64) -> bool {
    selector.is_multiple_of(COLD_TRIAL_INTERVAL)
}

/// Scales a random number to an index below `bound`.
fn scale_to_index(random: u32, bound: usize) -> usize {
    ((u64::from(random) * bound as u64) >> 32) as usize
}
