//! What is known of each target: [`RelayTarget`], kept in [`RelayTargets`].

use std::time::{Duration, Instant};

use super::target_record::{TargetName, TargetRecord};
use super::{AttemptKey, TargetKey};
use crate::engine::latency::LatencyAverage;

/// How long a target that failed gets no work the first time.
const FIRST_SUSPENSION: Duration = Duration::from_millis(100);
/// How often that time may double.
const MOST_DOUBLINGS: u32 = 5;
/// Failures in a row, after bytes were sent, that suspend a target.
const STRIKES_TO_SUSPEND: u32 = 2;
/// The weight of a new outcome in the share of failures.
const FAILURE_WEIGHT: f64 = 0.2;
/// What a share of failures of 1 multiplies a target's score by, beyond 1.
const FAILURE_FACTOR: f64 = 6.0;
/// The time in which half of what is known of failures is forgotten, in seconds.
const FAILURE_HALF_LIFE: f64 = 2.0;
/// The least time between two questions to a target that is there but slow: a connection costs it
/// some of its room.
const PROBE_GAP: Duration = Duration::from_secs(1);
/// What a cold target's score is multiplied by.
const COLD_FACTOR: f64 = 1.6;
/// What a target of another data centre has its score multiplied by: its answers take longer.
const REMOTE_FACTOR: f64 = 1.35;

/// Why a target is or is not among the first choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Standing {
    /// Listed.
    Listed,
    /// No longer listed, but perhaps only lapsed while the list was out of reach.
    Unlisted {
        /// Since when.
        since: Instant,
        /// When it counts as leaving unless it comes back.
        until: Instant,
    },
    /// Said to leave; asked only if nobody else can answer.
    Leaving {
        /// When it is asked no more.
        until: Instant,
    },
    /// Another target answers at its address.
    Replaced,
}

/// An attempt in flight.
#[derive(Clone, Copy, Debug)]
pub(super) struct Flight {
    pub(super) attempt: AttemptKey,
    pub(super) sent_at: Instant,
    /// How long such an attempt usually takes.
    pub(super) usual: Duration,
}

/// What is known of one incarnation of a target.
#[derive(Debug)]
pub(super) struct RelayTarget {
    pub(super) key: TargetKey,
    pub(super) record: TargetRecord,
    pub(super) standing: Standing,
    /// Whether it stands in this daemon's data centre.
    pub(super) local: bool,
    /// The attempts in flight, in the order of their sends.
    pub(super) flights: Vec<Flight>,
    pub(super) last_sent: Option<Instant>,
    cold_until: Instant,
    /// Its latency as a multiple of what is usual on the route, kept in the average's unit.
    slowness: LatencyAverage,
    failure_share: f64,
    failure_noted: Option<Instant>,
    strikes: u32,
    /// Whether the last connection to it could be had; if not, it gets no request until it gives one.
    reachable: bool,
    /// Whether it is being asked for a connection.
    pub(super) probed: bool,
    /// When it last gave one that it was asked for.
    probed_at: Option<Instant>,
    suspended_until: Option<Instant>,
}

impl RelayTarget {
    /// A target that nothing is known of but its record.
    pub(super) fn new(now: Instant, key: TargetKey, record: TargetRecord, local: bool) -> Self {
        Self {
            key,
            cold_until: now + record.cold_left,
            record,
            standing: Standing::Listed,
            local,
            flights: Vec::new(),
            last_sent: None,
            slowness: LatencyAverage::default(),
            failure_share: 0.0,
            failure_noted: None,
            strikes: 0,
            reachable: true,
            probed: false,
            probed_at: None,
            suspended_until: None,
        }
    }

    /// Whether it gets no work for now, since it failed.
    pub(super) fn is_suspended(&self, now: Instant) -> bool {
        !self.reachable || self.suspended_until.is_some_and(|until| now < until)
    }

    /// Whether the last connection to it could be had.
    pub(super) fn is_reachable(&self) -> bool {
        self.reachable
    }

    /// Whether it is to be asked for a connection now.
    pub(super) fn wants_probe(&self, now: Instant) -> bool {
        let due = self.suspended_until.is_none_or(|until| until <= now);
        !self.reachable && !self.probed && due
    }

    /// Whether it gave a connection just now, so that it needs not be asked again yet.
    pub(super) fn is_reached_lately(&self, now: Instant) -> bool {
        self.probed_at
            .is_some_and(|at| now.saturating_duration_since(at) < PROBE_GAP)
    }

    /// Notes that it gave a connection; true if it had been taken for unreachable.
    pub(super) fn note_reached(&mut self, now: Instant) -> bool {
        self.probed_at = Some(now);
        if self.reachable {
            return false;
        }
        self.reachable = true;
        self.strikes = 0;
        self.suspended_until = None;
        // What it did before it went says nothing of it now.
        self.failure_share = 0.0;
        self.slowness = LatencyAverage::default();
        true
    }

    /// Until when it gets no work.
    pub(super) fn suspended_until(&self) -> Option<Instant> {
        self.suspended_until
    }

    /// Whether it accepted connections and has only just been suspended, so that it may be tried
    /// for want of a better one.
    pub(super) fn is_first_suspension(&self) -> bool {
        self.reachable && self.strikes <= STRIKES_TO_SUSPEND
    }

    /// Begins an attempt.
    pub(super) fn start_flight(&mut self, flight: Flight) {
        self.last_sent = Some(flight.sent_at);
        self.flights.push(flight);
    }

    /// Ends an attempt.
    pub(super) fn end_flight(&mut self, attempt: AttemptKey) {
        self.flights.retain(|flight| flight.attempt != attempt);
    }

    /// Learns from an answer; `took` is nothing where the time tells nothing of the target. True
    /// if it was suspended.
    pub(super) fn note_answer(
        &mut self,
        now: Instant,
        took: Option<Duration>,
        usual: Duration,
    ) -> bool {
        if let Some(took) = took {
            let ratio = took.as_secs_f64() / usual.as_secs_f64().max(1e-6);
            self.slowness.record(now, Duration::from_secs_f64(ratio));
        }
        self.note_outcome(now, 0.0);
        self.strikes = 0;
        self.reachable = true;
        self.suspended_until.take().is_some()
    }

    /// Learns that an attempt took at least this long without an answer.
    pub(super) fn note_overdue(&mut self, now: Instant, took: Duration, usual: Duration) {
        let ratio = took.as_secs_f64() / usual.as_secs_f64().max(1e-6);
        self.slowness.record(now, Duration::from_secs_f64(ratio));
    }

    /// Learns from an answer that was no success, or a rejection: it lives, but does not serve.
    pub(super) fn note_refused(&mut self, now: Instant) {
        self.note_outcome(now, 1.0);
        self.strikes = 0;
    }

    /// Learns from a broken attempt; for how long it is suspended, if it is. A target that can't
    /// be connected to is suspended at once.
    pub(super) fn note_broken(&mut self, now: Instant, connected: bool) -> Option<Duration> {
        self.note_outcome(now, 1.0);
        self.strikes += 1;
        self.reachable = connected;
        if connected && self.strikes < STRIKES_TO_SUSPEND {
            return None;
        }
        let doublings = (self.strikes - 1).min(MOST_DOUBLINGS);
        let period = FIRST_SUSPENSION * (1 << doublings);
        self.suspended_until = Some(now + period);
        Some(period)
    }

    fn note_outcome(&mut self, now: Instant, failed: f64) {
        let share = self.failure_share(now);
        self.failure_share = share + FAILURE_WEIGHT * (failed - share);
        self.failure_noted = Some(now);
    }

    fn failure_share(&self, now: Instant) -> f64 {
        let Some(noted) = self.failure_noted else {
            return 0.0;
        };
        let age = now.saturating_duration_since(noted).as_secs_f64();
        self.failure_share * (-age / FAILURE_HALF_LIFE).exp2()
    }

    /// What an attempt would probably take, in multiples of what is usual; less is better.
    ///
    /// An attempt that must run at most once can't be repeated when it fails, so failures weigh
    /// more for it.
    pub(super) fn score(&self, now: Instant, resumed_at: Option<Instant>, careful: bool) -> f64 {
        let slots = f64::from(self.record.slots.max(1));
        let load = 1.0 + self.flights.len() as f64 / slots;
        let slowness = self.slowness.conservative_seconds(now, 1.0).max(0.3);
        let slowness = slowness.max(self.oldest_ratio(now, resumed_at));
        let weight = if careful { 3.0 } else { 1.0 };
        let failing = 1.0 + FAILURE_FACTOR * weight * self.failure_share(now);
        let cold = if now < self.cold_until {
            COLD_FACTOR
        } else {
            1.0
        };
        let distance = if self.local { 1.0 } else { REMOTE_FACTOR };
        load * slowness * failing * cold * distance
    }

    /// How long the oldest attempt in flight has taken, in multiples of what is usual.
    fn oldest_ratio(&self, now: Instant, resumed_at: Option<Instant>) -> f64 {
        let Some(oldest) = self.flights.first() else {
            return 0.0;
        };
        let since = resumed_at.map_or(oldest.sent_at, |resumed| resumed.max(oldest.sent_at));
        let age = now.saturating_duration_since(since).as_secs_f64();
        age / oldest.usual.as_secs_f64().max(1e-6)
    }
}

/// All targets that are listed or leaving, sorted by key, and the newest of each name.
#[derive(Debug, Default)]
pub(super) struct RelayTargets {
    entries: Vec<RelayTarget>,
    /// Sorted by name.
    names: Vec<(TargetName, TargetKey)>,
    last_key: TargetKey,
}

impl RelayTargets {
    /// The key for the next target.
    pub(super) fn next_key(&mut self) -> TargetKey {
        self.last_key += 1;
        self.last_key
    }

    /// Adds a target, which is the newest of its name from now on.
    pub(super) fn insert(&mut self, target: RelayTarget) {
        let (name, key) = (target.record.name.clone(), target.key);
        match self.name_place(&name) {
            Ok(place) => self.names[place].1 = key,
            Err(place) => self.names.insert(place, (name, key)),
        }
        self.entries.push(target);
    }

    /// A target.
    pub(super) fn get(&self, key: TargetKey) -> Option<&RelayTarget> {
        let place = self.place(key).ok()?;
        self.entries.get(place)
    }

    /// A target.
    pub(super) fn get_mut(&mut self, key: TargetKey) -> Option<&mut RelayTarget> {
        let place = self.place(key).ok()?;
        self.entries.get_mut(place)
    }

    /// The newest incarnation of a name.
    pub(super) fn find_name(&self, name: &str) -> Option<TargetKey> {
        let place = self.name_place(name).ok()?;
        self.names.get(place).map(|(_, key)| *key)
    }

    /// Forgets a target.
    pub(super) fn remove(&mut self, key: TargetKey) -> Option<RelayTarget> {
        let place = self.place(key).ok()?;
        let target = self.entries.remove(place);
        if let Ok(place) = self.name_place(&target.record.name)
            && self.names[place].1 == key
        {
            self.names.remove(place);
        }
        Some(target)
    }

    /// All targets.
    pub(super) fn iter(&self) -> impl Iterator<Item = &RelayTarget> {
        self.entries.iter()
    }

    fn place(&self, key: TargetKey) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&key, |target| target.key)
    }

    fn name_place(&self, name: &str) -> Result<usize, usize> {
        let names = &self.names;
        names.binary_search_by(|(other, _)| other.as_ref().cmp(name))
    }
}
