//! What the engine knows of each target: [`TargetState`], kept in a [`TargetTable`].

use std::time::{Duration, Instant};

use crate::engine::latency::LatencyAverage;
use crate::engine::limit::ConcurrencyLimit;
use crate::engine::slots::{KeyIndex, Slot, SlotTable};
use crate::engine::timers::TargetRef;
use crate::ids::{AttemptId, IndexVersion, TargetId};
use crate::shard_map::TargetEntry;

/// The connections that may be held to a target before the daemon has told the share.
const INITIAL_SHARE: u32 = 1;
/// Replies after which a cold target counts as warm.
const WARM_REPLIES: u32 = 16;
/// After how many failures in a row, with no reply between, a target counts as lost.
const FAILURES_UNTIL_LOST: u32 = 2;
/// How long a target that was lost for the first time gets no work.
const FIRST_LOSS_PERIOD: Duration = Duration::from_millis(100);
/// The longest time that a lost target gets no work before it is tried again.
const MAX_LOSS_PERIOD: Duration = Duration::from_millis(1_600);
/// How old a load report may be and still count.
const MAX_REPORT_AGE: Duration = Duration::from_secs(1);

/// A shard that a target holds, by its place in a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct HostedShard {
    /// The plan.
    pub(crate) plan: Slot,
    /// The shard's position in the plan.
    pub(crate) position: u32,
}

/// A target's report of its load: a weak hint with an age.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadReport {
    /// Busy slots as a share of all, 0 to 1.
    pub(crate) load: f64,
    /// When it was true.
    pub(crate) taken_at: Instant,
}

/// An attempt in flight to a target, with when it was sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InFlightAttempt {
    /// The attempt.
    pub(crate) attempt: AttemptId,
    /// When it was sent.
    pub(crate) sent_at: Instant,
}

/// Who says that a target is leaving; it gets no new work as long as anyone does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct DrainReports {
    /// It says so itself.
    pub(crate) by_target: bool,
    /// The platform's list or a peer says so.
    pub(crate) by_others: bool,
}

/// What the engine knows of one target.
#[derive(Debug)]
pub(crate) struct TargetState {
    /// Its entry in the newest map that lists it.
    pub(crate) entry: TargetEntry,
    /// How many maps in force list it; 0 means that it gets no new work.
    pub(crate) map_count: u32,
    /// The shards that it holds, in all plans that are still in use.
    pub(crate) hosted: Vec<HostedShard>,
    /// The collection whose other targets it is compared with.
    pub(crate) collection: Slot,
    /// Whether it stands in the daemon's data centre.
    pub(crate) local: bool,
    /// The index versions that it holds, sorted.
    pub(crate) held_versions: Vec<IndexVersion>,
    /// Whether it has told them.
    pub(crate) has_reported_versions: bool,
    /// When it last told of its versions in a reply of its own, beside which reports are old.
    pub(crate) versions_reported_at: Option<Instant>,
    /// Who says that it is leaving.
    pub(crate) drain_reports: DrainReports,
    /// When it was last seen to be leaving.
    pub(crate) drain_seen_at: Option<Instant>,
    /// Until when it counts as lost.
    pub(crate) lost_until: Option<Instant>,
    /// Until when it is ejected for being slow.
    pub(crate) ejected_until: Option<Instant>,
    /// When it last came back from ejection.
    pub(crate) readmitted_at: Option<Instant>,
    /// How often in a row it has been ejected.
    pub(crate) ejections: u32,
    /// Attempts in flight, cancelled ones included, in the order of sending.
    pub(crate) in_flight_attempts: Vec<InFlightAttempt>,
    /// When a request was last sent to it.
    pub(crate) sent_at: Option<Instant>,
    /// How many may be in flight.
    pub(crate) limit: ConcurrencyLimit,
    /// Its recent latency as seen from here.
    pub(crate) latency: LatencyAverage,
    /// Its last load report.
    pub(crate) report: Option<LoadReport>,
    /// Replies still needed until it counts as warm.
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

    /// Whether it is leaving, by its own word or by that of others, or no map lists it.
    fn is_draining_or_unlisted(&self) -> bool {
        self.map_count == 0 || self.drain_reports.by_target || self.drain_reports.by_others
    }

    /// Whether it may get new work at all, whatever its version and its free connections.
    pub(crate) fn is_usable(&self) -> bool {
        !self.is_draining_or_unlisted() && self.lost_until.is_none() && self.limit.share() > 0
    }

    /// Whether it holds an index version.
    pub(crate) fn holds(&self, version: IndexVersion) -> bool {
        self.held_versions.binary_search(&version).is_ok()
    }

    /// Whether an attempt more would still be within its limit.
    pub(crate) fn has_room(&self) -> bool {
        self.in_flight() < self.limit.current()
    }

    /// How many attempts are in flight.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight_attempts.len() as u32
    }

    /// Whether it is ejected for being slow.
    pub(crate) fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Adds an attempt in flight.
    pub(crate) fn add_in_flight(&mut self, attempt: AttemptId, sent_at: Instant) {
        self.sent_at = Some(sent_at);
        self.in_flight_attempts
            .push(InFlightAttempt { attempt, sent_at });
    }

    /// Removes an attempt in flight.
    pub(crate) fn remove_in_flight(&mut self, attempt: AttemptId) -> bool {
        let index = self
            .in_flight_attempts
            .iter()
            .position(|sent| sent.attempt == attempt);
        match index {
            Some(index) => {
                self.in_flight_attempts.remove(index);
                true
            }
            None => false,
        }
    }

    /// Notes a reply: the target is there.
    pub(crate) fn mark_alive(&mut self) {
        self.failures = 0;
        self.losses = 0;
        self.lost_until = None;
        self.replies_until_warm = self.replies_until_warm.saturating_sub(1);
    }

    /// Notes an attempt that failed on the way; returns until when the target counts as lost.
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

    /// Lets a lost target be tried again; one more failure loses it anew.
    pub(crate) fn end_loss(&mut self) {
        self.lost_until = None;
        self.failures = FAILURES_UNTIL_LOST - 1;
        self.limit.reset_to_minimum();
    }

    /// Whether it was lost a moment ago and may well be back within moments.
    pub(crate) fn is_expected_back(&self, max_losses: u32) -> bool {
        self.lost_until.is_some()
            && self.losses <= max_losses
            && !self.is_draining_or_unlisted()
            && self.limit.share() > 0
    }

    /// Treats it as cold: it has just come up, and its first requests will be slow.
    pub(crate) fn mark_cold(&mut self) {
        self.replies_until_warm = WARM_REPLIES;
        self.limit.reset_to_minimum();
        self.latency = LatencyAverage::default();
    }

    /// How cold it is: 1 for a target with no reply yet, 0 for a warm one.
    pub(crate) fn cold_fraction(&self) -> f64 {
        f64::from(self.replies_until_warm) / f64::from(WARM_REPLIES)
    }

    /// The load that its last report gives, 0 to 1, fading with the report's age.
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

    /// Drops every belief that has an age, since nobody looked for a while.
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

    /// Its state as operators read it.
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
    /// The target at a position, if it is still that target.
    pub(crate) fn get(&self, reference: TargetRef) -> Option<&TargetState> {
        self.states
            .get(reference.slot)
            .filter(|state| state.entry.target == reference.target)
    }

    /// The target at a position, if it is still that target.
    pub(crate) fn get_mut(&mut self, reference: TargetRef) -> Option<&mut TargetState> {
        self.states
            .get_mut(reference.slot)
            .filter(|state| state.entry.target == reference.target)
    }

    /// Where a target is kept.
    pub(crate) fn find(&self, target: TargetId) -> Option<TargetRef> {
        let slot = self.index.find(&target)?;
        Some(TargetRef { slot, target })
    }

    /// Takes over a map's entry of a target; true if the target was not known.
    pub(crate) fn update_or_insert(
        &mut self,
        entry: &TargetEntry,
        collection: Slot,
        adaptive: bool,
        local: bool,
    ) -> (TargetRef, bool) {
        if let Some(reference) = self.find(entry.target) {
            let state = self.get_mut(reference).expect("an indexed target is kept");
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

    /// Forgets a target that no plan lists and that has nothing in flight.
    pub(crate) fn forget_unused(&mut self, reference: TargetRef) {
        let Some(state) = self.get(reference) else {
            return;
        };
        if state.hosted.is_empty() && state.in_flight_attempts.is_empty() {
            self.states.remove(reference.slot);
            self.index.remove(&reference.target);
        }
    }

    /// All targets, sorted by id.
    pub(crate) fn sorted(&self) -> impl Iterator<Item = &TargetState> {
        self.index
            .entries()
            .iter()
            .filter_map(|(_, slot)| self.states.get(*slot))
    }

    /// Where all targets are kept.
    pub(crate) fn references(&self) -> Vec<TargetRef> {
        self.index
            .entries()
            .iter()
            .map(|&(target, slot)| TargetRef { slot, target })
            .collect()
    }

    /// All targets, to be changed.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut TargetState> {
        self.states.iter_mut().map(|(_, state)| state)
    }
}
