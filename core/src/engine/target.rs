//! State of the targets: [`TargetState`], kept in a [`TargetTable`].

use std::time::{Duration, Instant};

use crate::engine::latency::LatencyAverage;
use crate::engine::limit::ConcurrencyLimit;
use crate::engine::slots::{KeyIndex, Slot, SlotTable};
use crate::engine::timers::TargetRef;
use crate::ids::{AttemptId, IndexVersion, TargetId};
use crate::shard_map::TargetEntry;

/// Connection share of a target until the daemon announces the actual one.
const INITIAL_SHARE: u32 = 1;
/// Number of replies after which a cold target counts as warm.
const WARM_REPLIES: u32 = 16;
/// Number of consecutive failures, without a reply in between, after which a target counts as lost.
const FAILURES_UNTIL_LOST: u32 = 2;
/// Time without work after the first loss of a target; it doubles with each further loss in a row.
const FIRST_LOSS_PERIOD: Duration = Duration::from_millis(100);
/// Maximum time without work before a lost target is tried again.
const MAX_LOSS_PERIOD: Duration = Duration::from_millis(1_600);
/// Maximum age at which a load report is still considered.
const MAX_REPORT_AGE: Duration = Duration::from_secs(1);

/// A shard held by a target, by its position in a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct HostedShard {
    pub(crate) plan: Slot,
    pub(crate) position: u32,
}

/// Load reported by a target; a weak hint that loses weight with age.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadReport {
    /// Share of the target's slots that were busy, from 0 to 1.
    pub(crate) load: f64,
    /// Time at which the load was measured.
    pub(crate) taken_at: Instant,
}

/// An attempt in flight to a target and the time at which it was sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InFlightAttempt {
    pub(crate) attempt: AttemptId,
    pub(crate) sent_at: Instant,
}

/// Sources that report a target as draining; the target gets no new work while either does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct DrainReports {
    /// The target itself reports that it is draining.
    pub(crate) by_target: bool,
    /// The platform's list or a peer reports that the target is leaving.
    pub(crate) by_others: bool,
}

/// State of one target.
#[derive(Debug)]
pub(crate) struct TargetState {
    /// Entry of the target in the newest map that lists it.
    pub(crate) entry: TargetEntry,
    /// Number of current and pending maps that list the target; if 0, the target gets no new work.
    pub(crate) map_count: u32,
    /// Shards held by the target, in all plans that are still in use.
    pub(crate) hosted: Vec<HostedShard>,
    /// Collection whose other targets the target is compared with.
    pub(crate) collection: Slot,
    /// Whether the target is in the daemon's data centre.
    pub(crate) local: bool,
    /// Index versions that the target holds, sorted.
    pub(crate) held_versions: Vec<IndexVersion>,
    /// Whether the versions held by the target were ever reported.
    pub(crate) has_reported_versions: bool,
    /// When the target last reported its versions in a reply of its own. Such a report takes
    /// precedence over second-hand reports for a while.
    pub(crate) versions_reported_at: Option<Instant>,
    /// Sources that report the target as draining.
    pub(crate) drain_reports: DrainReports,
    /// When the target last reported that it is draining.
    pub(crate) drain_seen_at: Option<Instant>,
    /// Time until which the target counts as lost.
    pub(crate) lost_until: Option<Instant>,
    /// Time until which the target is ejected for being slow.
    pub(crate) ejected_until: Option<Instant>,
    /// When the target was last readmitted after an ejection.
    pub(crate) readmitted_at: Option<Instant>,
    /// Number of consecutive ejections.
    pub(crate) ejections: u32,
    /// Attempts in flight, including cancelled ones, in the order of sending.
    pub(crate) in_flight_attempts: Vec<InFlightAttempt>,
    /// When a request was last sent to the target.
    pub(crate) sent_at: Option<Instant>,
    /// Limit of the attempts in flight.
    pub(crate) limit: ConcurrencyLimit,
    /// Recent latency of the target as measured by this daemon.
    pub(crate) latency: LatencyAverage,
    /// Most recent load report.
    pub(crate) report: Option<LoadReport>,
    /// Number of replies until the target counts as warm.
    pub(crate) replies_until_warm: u32,
    failures: u32,
    losses: u32,
}

impl TargetState {
    fn new(entry: TargetEntry, collection: Slot, adaptive: bool, local: bool) -> Self {
        let limit = ConcurrencyLimit::new(adaptive, entry.slots, INITIAL_SHARE);
        Self {
            entry,
            map_count: 0,
            hosted: Vec::new(),
            collection,
            local,
            held_versions: Vec::new(),
            has_reported_versions: false,
            versions_reported_at: None,
            drain_reports: DrainReports::default(),
            drain_seen_at: None,
            lost_until: None,
            ejected_until: None,
            readmitted_at: None,
            ejections: 0,
            in_flight_attempts: Vec::new(),
            sent_at: None,
            limit,
            latency: LatencyAverage::default(),
            report: None,
            replies_until_warm: 0,
            failures: 0,
            losses: 0,
        }
    }

    /// Returns whether the target is reported as draining or no map lists it.
    fn is_draining_or_unlisted(&self) -> bool {
        self.map_count == 0 || self.drain_reports.by_target || self.drain_reports.by_others
    }

    /// Returns whether the target may get new work, regardless of its versions and free
    /// connections.
    pub(crate) fn is_usable(&self) -> bool {
        !self.is_draining_or_unlisted() && self.lost_until.is_none() && self.limit.share() > 0
    }

    pub(crate) fn holds(&self, version: IndexVersion) -> bool {
        self.held_versions.binary_search(&version).is_ok()
    }

    /// Returns whether the limit allows one more attempt.
    pub(crate) fn has_capacity(&self) -> bool {
        self.in_flight() < self.limit.current()
    }

    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight_attempts.len() as u32
    }

    pub(crate) fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    pub(crate) fn add_in_flight(&mut self, attempt: AttemptId, sent_at: Instant) {
        self.sent_at = Some(sent_at);
        self.in_flight_attempts
            .push(InFlightAttempt { attempt, sent_at });
    }

    /// Removes an attempt in flight; returns false if it was not in flight.
    pub(crate) fn remove_in_flight(&mut self, attempt: AttemptId) -> bool {
        let index = self
            .in_flight_attempts
            .iter()
            .position(|in_flight| in_flight.attempt == attempt);
        match index {
            Some(index) => {
                self.in_flight_attempts.remove(index);
                true
            }
            None => false,
        }
    }

    /// Records a reply, which shows that the target is reachable.
    pub(crate) fn mark_alive(&mut self) {
        self.failures = 0;
        self.losses = 0;
        self.lost_until = None;
        self.replies_until_warm = self.replies_until_warm.saturating_sub(1);
    }

    /// Records a failed attempt; returns the end of the loss if the target now counts as lost.
    pub(crate) fn record_failed_attempt(&mut self, now: Instant) -> Option<Instant> {
        self.failures += 1;
        if self.failures < FAILURES_UNTIL_LOST || self.lost_until.is_some() {
            return None;
        }
        let until = now
            + FIRST_LOSS_PERIOD
                .saturating_mul(1 << self.losses.min(8))
                .min(MAX_LOSS_PERIOD);
        self.losses += 1;
        self.lost_until = Some(until);
        Some(until)
    }

    /// Ends a loss so that the target is tried again; a single failure marks it as lost again.
    pub(crate) fn end_loss(&mut self) {
        self.lost_until = None;
        self.failures = FAILURES_UNTIL_LOST - 1;
        self.limit.reset_to_minimum();
    }

    /// Returns whether the target is lost but likely to be back soon: it was lost at most
    /// `max_losses` times in a row, has a connection share, and is neither draining nor unlisted.
    pub(crate) fn is_expected_back(&self, max_losses: u32) -> bool {
        self.lost_until.is_some()
            && self.losses <= max_losses
            && !self.is_draining_or_unlisted()
            && self.limit.share() > 0
    }

    /// Marks the target as cold: it has just started, and its first requests will be slow.
    pub(crate) fn mark_cold(&mut self) {
        self.replies_until_warm = WARM_REPLIES;
        self.limit.reset_to_minimum();
        self.latency = LatencyAverage::default();
    }

    /// Returns how cold the target is: 1 without any reply yet, 0 if warm.
    pub(crate) fn cold_fraction(&self) -> f64 {
        f64::from(self.replies_until_warm) / f64::from(WARM_REPLIES)
    }

    /// Returns the last reported load, from 0 to 1, decreasing with the age of the report.
    pub(crate) fn reported_load(&self, now: Instant) -> f64 {
        let Some(report) = self.report else {
            return 0.0;
        };
        let age = now.saturating_duration_since(report.taken_at);
        if age >= MAX_REPORT_AGE {
            return 0.0;
        }
        report.load * (1.0 - age.as_secs_f64() / MAX_REPORT_AGE.as_secs_f64())
    }

    /// Discards time-dependent state, which is unreliable after a process pause.
    pub(crate) fn discard_stale_state(&mut self) {
        self.latency = LatencyAverage::default();
        self.report = None;
        self.ejected_until = None;
        self.readmitted_at = None;
        self.ejections = 0;
        self.lost_until = None;
        self.failures = 0;
        self.losses = 0;
    }

    /// Returns the state name shown to operators.
    pub(crate) fn state_name(&self) -> &'static str {
        if self.is_draining_or_unlisted() {
            "draining"
        } else if self.lost_until.is_some() {
            "lost"
        } else if self.is_ejected() {
            "ejected"
        } else {
            "live"
        }
    }
}

/// All targets of all collections.
#[derive(Debug, Default)]
pub(crate) struct TargetTable {
    states: SlotTable<TargetState>,
    index: KeyIndex<TargetId>,
}

impl TargetTable {
    /// Returns the target of a reference, unless its slot was reused.
    pub(crate) fn get(&self, reference: TargetRef) -> Option<&TargetState> {
        self.states
            .get(reference.slot)
            .filter(|state| state.entry.target == reference.target)
    }

    /// Returns the target of a reference, unless its slot was reused.
    pub(crate) fn get_mut(&mut self, reference: TargetRef) -> Option<&mut TargetState> {
        self.states
            .get_mut(reference.slot)
            .filter(|state| state.entry.target == reference.target)
    }

    /// Returns the reference of the target with an id.
    pub(crate) fn find(&self, target: TargetId) -> Option<TargetRef> {
        let slot = self.index.find(&target)?;
        Some(TargetRef { slot, target })
    }

    /// Inserts a target or updates it from a map entry; the returned flag is true for a new target.
    pub(crate) fn update_or_insert(
        &mut self,
        entry: &TargetEntry,
        collection: Slot,
        adaptive: bool,
        local: bool,
    ) -> (TargetRef, bool) {
        if let Some(reference) = self.find(entry.target) {
            let state = self
                .get_mut(reference)
                .expect("an indexed target has a state");
            state.limit.set_slots(entry.slots);
            state.entry = entry.clone();
            state.collection = collection;
            state.local = local;
            return (reference, false);
        }
        let state = TargetState::new(entry.clone(), collection, adaptive, local);
        let slot = self.states.insert(state);
        self.index.insert(entry.target, slot);
        let target = entry.target;
        (TargetRef { slot, target }, true)
    }

    /// Removes a target that no plan lists and that has no attempt in flight.
    pub(crate) fn remove_if_unused(&mut self, reference: TargetRef) {
        let Some(state) = self.get(reference) else {
            return;
        };
        if state.hosted.is_empty() && state.in_flight_attempts.is_empty() {
            self.states.remove(reference.slot);
            self.index.remove(&reference.target);
        }
    }

    /// Returns all targets, sorted by id.
    pub(crate) fn sorted(&self) -> impl Iterator<Item = &TargetState> {
        self.index
            .entries()
            .iter()
            .filter_map(|(_, slot)| self.states.get(*slot))
    }

    /// Returns the references of all targets.
    pub(crate) fn references(&self) -> Vec<TargetRef> {
        self.index
            .entries()
            .iter()
            .map(|&(target, slot)| TargetRef { slot, target })
            .collect()
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut TargetState> {
        self.states.iter_mut().map(|(_, state)| state)
    }
}
