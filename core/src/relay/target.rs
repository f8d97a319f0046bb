//! State of each target: [`RelayTarget`], stored in [`RelayTargets`].

use std::time::{Duration, Instant};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::idle_links::IdleLinks;
use super::load_estimate::LoadEstimate;
use super::request::LiveAttempt;
use super::response_estimate::ResponseEstimate;
use super::target_hold::TargetHold;
use super::target_record::{TargetName, TargetRecord};
use super::{AttemptKey, TargetKey};
use crate::engine::latency::LatencyAverage;

/// Length of the first suspension of a target that failed.
const INITIAL_SUSPENSION: Duration = Duration::from_millis(100);
/// Maximum number of times that the suspension length doubles.
const MAX_DOUBLINGS: u32 = 5;
/// Number of consecutive failures, after bytes were sent, that suspend a target.
const FAILURES_TO_SUSPEND: u32 = 2;
/// Weight of a new outcome in the moving average of failures.
const FAILURE_WEIGHT: f64 = 0.2;
/// Increase of a target's score, relative to 1, at a failure rate of 1.
const FAILURE_FACTOR: f64 = 6.0;
/// Half-life of the failure rate, in seconds.
const FAILURE_HALF_LIFE: f64 = 2.0;
/// Minimum time between two probes of a target that is reachable but slow; a probe uses up some of
/// the target's connection capacity.
const MIN_PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Factor on the score of a target that is still cold after its start.
const COLD_FACTOR: f64 = 1.6;
/// Factor on the score of a target in another data centre, whose answers take longer.
const REMOTE_FACTOR: f64 = 1.35;
/// Factor on the expected latency of a request that needs a new connection.
const NEW_LINK_FACTOR: f64 = 1.4;

/// Whether a target is listed, which determines how readily it is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListingState {
    /// The target is listed.
    Listed,
    /// The target is no longer listed, perhaps only because its listing expired while the list was
    /// unreachable.
    Unlisted {
        /// Time at which the target ceased to be listed.
        since: Instant,
        /// Time from which the target is treated as leaving, unless it is listed again.
        until: Instant,
    },
    /// The target is leaving and is used only if there is no other.
    Leaving {
        /// Time from which the target is no longer used.
        until: Instant,
    },
    /// Another target answers at the address of this one.
    Replaced,
}

/// An attempt in flight at a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct InFlightAttempt {
    pub(super) attempt: AttemptKey,
    pub(super) sent_at: Instant,
    /// Typical latency of the route when the attempt was sent.
    pub(super) typical: Duration,
}

/// State of one incarnation of a target.
#[derive(Debug)]
pub(super) struct RelayTarget {
    pub(super) key: TargetKey,
    pub(super) record: TargetRecord,
    pub(super) listing: ListingState,
    /// Whether the target is in the data centre of this daemon.
    pub(super) is_local: bool,
    /// Attempts in flight, in the order in which they were sent.
    pub(super) in_flight: Vec<InFlightAttempt>,
    pub(super) last_sent: Option<Instant>,
    /// Position among equally good targets. It differs between daemons, which would otherwise all
    /// begin with the same target.
    pub(super) tie_order: u64,
    pub(super) idle_links: IdleLinks,
    pub(super) hold: TargetHold,
    pub(super) load: LoadEstimate,
    cold_until: Instant,
    /// Latency as a multiple of the route's typical latency; a factor of 1 is stored as one second.
    relative_latency: LatencyAverage,
    /// Recent response times and rejections, for admission control.
    pub(super) response: ResponseEstimate,
    /// Time until which no further attempt is sent, since the target is slow or full.
    pub(super) paced_until: Option<Instant>,
    failure_rate: f64,
    failure_updated_at: Option<Instant>,
    consecutive_failures: u32,
    /// Whether the last connection attempt succeeded; an unreachable target receives no requests
    /// until a probe succeeds.
    reachable: bool,
    pub(super) probe_pending: bool,
    /// Time of the last successful probe.
    reached_at: Option<Instant>,
    suspended_until: Option<Instant>,
}

impl RelayTarget {
    /// Creates the state of a target that has just been listed.
    pub(super) fn new(
        now: Instant,
        key: TargetKey,
        record: TargetRecord,
        is_local: bool,
        host: &str,
    ) -> Self {
        let host_seed = xxh3_64(host.as_bytes());
        let tie_order = xxh3_64_with_seed(record.name.as_bytes(), host_seed);
        Self {
            key,
            cold_until: now + record.cold_left,
            tie_order,
            hold: TargetHold::new(tie_order),
            load: LoadEstimate::default(),
            record,
            listing: ListingState::Listed,
            is_local,
            in_flight: Vec::new(),
            last_sent: None,
            idle_links: IdleLinks::default(),
            relative_latency: LatencyAverage::default(),
            response: ResponseEstimate::default(),
            paced_until: None,
            failure_rate: 0.0,
            failure_updated_at: None,
            consecutive_failures: 0,
            reachable: true,
            probe_pending: false,
            reached_at: None,
            suspended_until: None,
        }
    }

    /// Returns whether the target currently receives no requests because it failed.
    pub(super) fn is_suspended(&self, now: Instant) -> bool {
        !self.reachable || self.suspended_until.is_some_and(|until| now < until)
    }

    /// Returns whether the last connection attempt succeeded.
    pub(super) fn is_reachable(&self) -> bool {
        self.reachable
    }

    /// Returns whether the target is unreachable and due for a probe.
    pub(super) fn needs_probe(&self, now: Instant) -> bool {
        let due = self.suspended_until.is_none_or(|until| until <= now);
        !self.reachable && !self.probe_pending && due
    }

    /// Returns whether a probe succeeded within [`MIN_PROBE_INTERVAL`].
    pub(super) fn was_reached_recently(&self, now: Instant) -> bool {
        self.reached_at
            .is_some_and(|at| now.saturating_duration_since(at) < MIN_PROBE_INTERVAL)
    }

    /// Records a successful probe; returns true if the target was unreachable before.
    pub(super) fn record_reached(&mut self, now: Instant) -> bool {
        self.reached_at = Some(now);
        if self.reachable {
            return false;
        }
        self.reachable = true;
        self.consecutive_failures = 0;
        self.suspended_until = None;
        // Statistics from before the outage do not describe the target any more.
        self.failure_rate = 0.0;
        self.relative_latency = LatencyAverage::default();
        true
    }

    /// Returns the end of the current suspension, which may have passed.
    pub(super) fn suspended_until(&self) -> Option<Instant> {
        self.suspended_until
    }

    /// Returns whether the target accepted connections and has only just been suspended, so that it
    /// may be used if there is no better one.
    pub(super) fn is_first_suspension(&self) -> bool {
        self.reachable && self.consecutive_failures <= FAILURES_TO_SUSPEND
    }

    /// Adds an attempt in flight.
    pub(super) fn start_attempt(&mut self, attempt: InFlightAttempt) {
        self.last_sent = Some(attempt.sent_at);
        self.hold.count_send(attempt.sent_at);
        self.idle_links.take();
        self.in_flight.push(attempt);
    }

    /// Removes an attempt that has ended.
    pub(super) fn end_attempt(&mut self, attempt: AttemptKey) {
        self.in_flight
            .retain(|in_flight| in_flight.attempt != attempt);
    }

    /// Records a successful answer; `took` is `None` if the measured time is unreliable. Returns
    /// true if the target was suspended.
    pub(super) fn record_success(
        &mut self,
        now: Instant,
        took: Option<Duration>,
        attempt: &LiveAttempt,
    ) -> bool {
        if let Some(took) = took {
            let ratio = relative_time(took, attempt);
            self.relative_latency
                .record(now, Duration::from_secs_f64(ratio));
        }
        self.record_outcome(now, 0.0);
        self.consecutive_failures = 0;
        self.reachable = true;
        self.suspended_until.take().is_some()
    }

    /// Records that an attempt took at least `took` without an answer.
    pub(super) fn record_slow(&mut self, now: Instant, took: Duration, typical: Duration) {
        let ratio = took.as_secs_f64() / typical.as_secs_f64().max(1e-6);
        self.relative_latency
            .record(now, Duration::from_secs_f64(ratio));
    }

    /// Records a failure reply or a rejection: the target is alive but does not serve the request.
    pub(super) fn record_refusal(&mut self, now: Instant) {
        self.record_outcome(now, 1.0);
        self.consecutive_failures = 0;
    }

    /// Records an attempt that failed without a valid answer, and returns the length of the
    /// suspension if the target is suspended. A target that can't be connected to is suspended at
    /// once.
    pub(super) fn record_attempt_failure(
        &mut self,
        now: Instant,
        connected: bool,
    ) -> Option<Duration> {
        self.record_outcome(now, 1.0);
        self.consecutive_failures += 1;
        self.reachable = connected;
        if connected && self.consecutive_failures < FAILURES_TO_SUSPEND {
            return None;
        }
        let doublings = (self.consecutive_failures - 1).min(MAX_DOUBLINGS);
        let period = INITIAL_SUSPENSION * (1 << doublings);
        self.suspended_until = Some(now + period);
        Some(period)
    }

    fn record_outcome(&mut self, now: Instant, failed: f64) {
        let rate = self.failure_rate(now);
        self.failure_rate = rate + FAILURE_WEIGHT * (failed - rate);
        self.failure_updated_at = Some(now);
    }

    fn failure_rate(&self, now: Instant) -> f64 {
        let Some(updated_at) = self.failure_updated_at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(updated_at).as_secs_f64();
        self.failure_rate * (-age / FAILURE_HALF_LIFE).exp2()
    }

    /// Returns the expected latency of an attempt as a multiple of the typical one; lower is
    /// better.
    ///
    /// A request that must not run twice can't be retried after a failure, so failures have a
    /// higher weight for it.
    pub(super) fn score(
        &self,
        now: Instant,
        resumed_at: Option<Instant>,
        at_most_once: bool,
    ) -> f64 {
        let slots = f64::from(self.record.slots.max(1));
        let own_load = 1.0 + self.in_flight.len() as f64 / slots;
        let extra_load = self.load.extra_load(now);
        let load = extra_load.map_or(own_load, |extra| own_load + extra);
        let relative_latency = self
            .relative_latency
            .conservative_seconds(now, 1.0)
            .max(0.3);
        let relative_latency = relative_latency.max(self.oldest_relative_age(now, resumed_at));
        let weight = if at_most_once { 3.0 } else { 1.0 };
        let failure_factor = 1.0 + FAILURE_FACTOR * weight * self.failure_rate(now);
        let cold = if now < self.cold_until {
            COLD_FACTOR
        } else {
            1.0
        };
        let distance = if self.is_local { 1.0 } else { REMOTE_FACTOR };
        // A request that must not run twice seldom finds a connection that is recent enough for it.
        let link = if at_most_once {
            1.0
        } else {
            self.link_factor(now)
        };
        load * relative_latency * failure_factor * cold * distance * link
    }

    /// Returns the factor by which opening a connection, if one is needed, lengthens a request.
    pub(super) fn link_factor(&self, now: Instant) -> f64 {
        if self.idle_links.is_available(now) {
            1.0
        } else {
            NEW_LINK_FACTOR
        }
    }

    /// Returns by how much the oldest attempt in flight exceeds its typical latency, and that latency;
    /// the time before a pause is not counted.
    pub(super) fn overdue_time(
        &self,
        now: Instant,
        resumed_at: Option<Instant>,
    ) -> (Duration, Duration) {
        self.in_flight
            .first()
            .map_or_else(Default::default, |oldest| {
                let since =
                    resumed_at.map_or(oldest.sent_at, |resumed| resumed.max(oldest.sent_at));
                let age = now.saturating_duration_since(since);
                (age.saturating_sub(oldest.typical), oldest.typical)
            })
    }

    /// Returns the age of the oldest attempt in flight as a multiple of its typical latency.
    fn oldest_relative_age(&self, now: Instant, resumed_at: Option<Instant>) -> f64 {
        let Some(oldest) = self.in_flight.first() else {
            return 0.0;
        };
        let since = resumed_at.map_or(oldest.sent_at, |resumed| resumed.max(oldest.sent_at));
        let age = now.saturating_duration_since(since).as_secs_f64();
        age / oldest.typical.as_secs_f64().max(1e-6)
    }
}

/// Returns the response time of an attempt as a multiple of the typical one.
pub(super) fn relative_time(took: Duration, attempt: &LiveAttempt) -> f64 {
    let ratio = took.as_secs_f64() / attempt.typical.as_secs_f64().max(1e-6);
    // The time for a new connection says nothing about the target's speed.
    ratio.min(1.0).max(ratio / attempt.link_factor)
}

/// All targets that are listed or leaving, sorted by key, and the latest incarnation of each name.
#[derive(Debug, Default)]
pub(super) struct RelayTargets {
    entries: Vec<RelayTarget>,
    /// Latest incarnation of each name, sorted by name.
    names: Vec<(TargetName, TargetKey)>,
    last_key: TargetKey,
}

impl RelayTargets {
    /// Returns a new key for a target.
    pub(super) fn next_key(&mut self) -> TargetKey {
        self.last_key += 1;
        self.last_key
    }

    /// Adds a target, which becomes the latest incarnation of its name.
    pub(super) fn insert(&mut self, target: RelayTarget) {
        let (name, key) = (target.record.name.clone(), target.key);
        match self.name_index(&name) {
            Ok(index) => self.names[index].1 = key,
            Err(index) => self.names.insert(index, (name, key)),
        }
        self.entries.push(target);
    }

    /// Returns the target with the given key.
    pub(super) fn get(&self, key: TargetKey) -> Option<&RelayTarget> {
        let index = self.index(key).ok()?;
        self.entries.get(index)
    }

    /// Returns the target with the given key for modification.
    pub(super) fn get_mut(&mut self, key: TargetKey) -> Option<&mut RelayTarget> {
        let index = self.index(key).ok()?;
        self.entries.get_mut(index)
    }

    /// Returns the key of the latest incarnation of a name.
    pub(super) fn find_name(&self, name: &str) -> Option<TargetKey> {
        let index = self.name_index(name).ok()?;
        self.names.get(index).map(|(_, key)| *key)
    }

    /// Removes and returns the target with the given key.
    pub(super) fn remove(&mut self, key: TargetKey) -> Option<RelayTarget> {
        let index = self.index(key).ok()?;
        let target = self.entries.remove(index);
        if let Ok(index) = self.name_index(&target.record.name)
            && self.names[index].1 == key
        {
            self.names.remove(index);
        }
        Some(target)
    }

    /// Iterates over all targets for modification.
    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut RelayTarget> {
        self.entries.iter_mut()
    }

    /// Iterates over all targets.
    pub(super) fn iter(&self) -> impl Iterator<Item = &RelayTarget> {
        self.entries.iter()
    }

    fn index(&self, key: TargetKey) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&key, |target| target.key)
    }

    fn name_index(&self, name: &str) -> Result<usize, usize> {
        let names = &self.names;
        names.binary_search_by(|(other, _)| other.as_ref().cmp(name))
    }
}
