//! State of a request from its submission to its answer: [`RequestState`], its [`RequestLeg`]s and
//! [`LiveAttempt`]s, stored in a [`RequestTable`].

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::event::{RequestOrigin, TargetReply};
use super::route::{RepeatKind, RouteDestination, RouteEntry, ServiceName};
use super::{AttemptKey, RequestKey, TargetKey};
use crate::ids::Fingerprint;
use crate::quarantine::RunningRequest;

/// Time after an attempt during which the same target is not retried; a full target needs a moment
/// to free capacity.
const REPEAT_PAUSE: Duration = Duration::from_millis(15);

/// The progress of a leg.
#[derive(Clone, Debug)]
pub(super) enum LegStage {
    /// The leg may still be answered.
    Open,
    /// A target answered the leg with success.
    Answered(TargetReply),
    /// The leg was abandoned, for the reason given.
    Missing(&'static str),
}

/// The part of a request that is answered by one service.
#[derive(Debug)]
pub(super) struct RequestLeg {
    pub(super) service: ServiceName,
    pub(super) stage: LegStage,
    /// Attempts of the leg that have not ended.
    pub(super) in_flight: Vec<AttemptKey>,
    /// Targets that received an attempt, in the order of their first attempt.
    pub(super) tried: Vec<TargetKey>,
    /// Number of ended attempts that the target may have run.
    pub(super) possible_runs: u32,
    /// Number of attempts that reached a target or may have done so.
    pub(super) possible_deliveries: u32,
    /// Time at which the first attempt was sent.
    pub(super) first_sent: Option<Instant>,
    /// Time at which the latest attempt was sent.
    pub(super) last_sent: Option<Instant>,
    /// Whether the leg waits for a target with capacity.
    pub(super) parked: bool,
    /// Whether the connection of one of the leg's attempts was lost.
    pub(super) has_loss: bool,
    /// The latest failure reply of a target.
    pub(super) failure: Option<TargetReply>,
}

impl RequestLeg {
    /// Creates an open leg without attempts.
    pub(super) fn new(service: ServiceName) -> Self {
        Self {
            service,
            stage: LegStage::Open,
            in_flight: Vec::new(),
            tried: Vec::new(),
            possible_runs: 0,
            possible_deliveries: 0,
            first_sent: None,
            last_sent: None,
            parked: false,
            has_loss: false,
            failure: None,
        }
    }

    /// Returns whether the leg may still be answered.
    pub(super) fn is_open(&self) -> bool {
        matches!(self.stage, LegStage::Open)
    }

    /// Returns whether the latest attempt was sent less than [`REPEAT_PAUSE`] ago.
    pub(super) fn is_recent(&self, now: Instant) -> bool {
        self.last_sent
            .is_some_and(|sent| now.saturating_duration_since(sent) < REPEAT_PAUSE)
    }

    /// Returns the successful reply, if there is one.
    pub(super) fn answer(&self) -> Option<&TargetReply> {
        match &self.stage {
            LegStage::Answered(reply) => Some(reply),
            LegStage::Open | LegStage::Missing(_) => None,
        }
    }

    /// Returns whether a target may have run the leg, or may still run it.
    pub(super) fn may_have_run(&self) -> bool {
        self.possible_runs > 0 || !self.in_flight.is_empty() || self.answer().is_some()
    }
}

/// State of a request that has not ended.
#[derive(Debug)]
pub(super) struct RequestState {
    pub(super) key: RequestKey,
    pub(super) route: Arc<RouteEntry>,
    pub(super) fingerprint: Fingerprint,
    pub(super) arrived_at: Instant,
    /// The earlier of the caller's deadline and the route's time-out.
    pub(super) deadline: Instant,
    pub(super) legs: Vec<RequestLeg>,
    /// Sender of the request.
    pub(super) origin: RequestOrigin,
    /// Whether the time for a complete answer is over, so that the request ends as soon as it has
    /// enough replies.
    pub(super) accepts_partial: bool,
}

impl RequestState {
    /// Returns whether the request must not run twice.
    pub(super) fn is_at_most_once(&self) -> bool {
        self.route.repeat == RepeatKind::NonIdempotent
    }

    /// Returns whether another daemon may handle the request instead.
    pub(super) fn is_movable(&self) -> bool {
        !self.is_at_most_once() || self.legs.iter().all(|leg| !leg.may_have_run())
    }

    /// Returns whether the answer is merged from the replies of several services.
    pub(super) fn is_gather(&self) -> bool {
        matches!(self.route.destination, RouteDestination::Gather { .. })
    }

    /// Returns the number of answered legs.
    pub(super) fn answered_legs(&self) -> usize {
        self.legs
            .iter()
            .filter(|leg| leg.answer().is_some())
            .count()
    }

    /// Returns whether attempts were lost on at least half of the legs.
    pub(super) fn is_mostly_lost(&self) -> bool {
        let lost = self.legs.iter().filter(|leg| leg.has_loss).count();
        lost * 2 >= self.legs.len()
    }

    /// Returns whether no leg is open.
    pub(super) fn is_settled(&self) -> bool {
        self.legs.iter().all(|leg| !leg.is_open())
    }

    /// Returns the minimum number of answered legs of a successful answer.
    pub(super) fn min_answered_legs(&self) -> usize {
        match &self.route.destination {
            RouteDestination::Split(_) => 1,
            RouteDestination::Gather { services, merge } => {
                let min = min_count(services.len(), merge.min_coverage);
                min.max(1)
            }
        }
    }
}

/// Returns the smallest number of services that satisfies `min_coverage`.
pub(super) fn min_count(services: usize, min_coverage: f64) -> usize {
    (0..=services)
        .find(|count| *count as f64 >= min_coverage * services as f64)
        .unwrap_or(services)
}

/// Says whether the outcome of an attempt is still needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptDisposition {
    /// A request waits for the outcome.
    Awaited,
    /// No request waits, but the attempt must not be cancelled, since it may run only once.
    MustFinish,
    /// No request waits, and the attempt may be cancelled at any time.
    Surplus,
    /// The attempt has been cancelled.
    Cancelled,
}

/// An attempt that has not ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct LiveAttempt {
    pub(super) attempt: AttemptKey,
    pub(super) request: RequestKey,
    /// Index of the leg in its request.
    pub(super) leg_index: usize,
    pub(super) target: TargetKey,
    /// The request and leg that the target runs, as identified in the quarantine.
    pub(super) run: RunningRequest,
    pub(super) sent_at: Instant,
    /// Typical latency of the route when the attempt was sent.
    pub(super) typical: Duration,
    /// Factor by which opening a connection was expected to lengthen the attempt.
    pub(super) link_factor: f64,
    /// Whether the outcome is still needed.
    pub(super) disposition: AttemptDisposition,
    /// Whether the attempt was reserved from the service's retry budget.
    pub(super) uses_retry_budget: bool,
    /// Whether the target has been probed since the attempt became overdue.
    pub(super) probe_sent: bool,
}

impl LiveAttempt {
    /// Returns whether a request waits for the outcome.
    pub(super) fn is_awaited(&self) -> bool {
        self.disposition == AttemptDisposition::Awaited
    }
}

/// All requests that have not ended, and all attempts in flight; both are sorted by their keys,
/// which are assigned in ascending order.
#[derive(Debug, Default)]
pub(super) struct RequestTable {
    requests: Vec<RequestState>,
    attempts: Vec<LiveAttempt>,
    last_attempt: AttemptKey,
}

impl RequestTable {
    /// Returns the number of requests that have not ended.
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(super) fn insert(&mut self, state: RequestState) {
        let index = self.index(state.key).unwrap_or_else(|index| index);
        self.requests.insert(index, state);
    }

    /// Returns the request with the given key, unless it has ended.
    pub(super) fn get(&self, key: RequestKey) -> Option<&RequestState> {
        let index = self.index(key).ok()?;
        self.requests.get(index)
    }

    /// Returns the request with the given key for modification, unless it has ended.
    pub(super) fn get_mut(&mut self, key: RequestKey) -> Option<&mut RequestState> {
        let index = self.index(key).ok()?;
        self.requests.get_mut(index)
    }

    /// Removes and returns the request with the given key.
    pub(super) fn remove(&mut self, key: RequestKey) -> Option<RequestState> {
        let index = self.index(key).ok()?;
        Some(self.requests.remove(index))
    }

    /// Iterates over all requests that have not ended.
    pub(super) fn iter(&self) -> impl Iterator<Item = &RequestState> {
        self.requests.iter()
    }

    /// Returns a new key for an attempt.
    pub(super) fn next_attempt(&mut self) -> AttemptKey {
        self.last_attempt += 1;
        self.last_attempt
    }

    pub(super) fn add_attempt(&mut self, attempt: LiveAttempt) {
        self.attempts.push(attempt);
    }

    /// Returns the attempt with the given key, unless it has ended.
    pub(super) fn attempt(&self, key: AttemptKey) -> Option<&LiveAttempt> {
        let index = self.attempt_index(key)?;
        self.attempts.get(index)
    }

    /// Returns the attempt with the given key for modification, unless it has ended.
    pub(super) fn attempt_mut(&mut self, key: AttemptKey) -> Option<&mut LiveAttempt> {
        let index = self.attempt_index(key)?;
        self.attempts.get_mut(index)
    }

    /// Removes and returns the attempt with the given key.
    pub(super) fn remove_attempt(&mut self, key: AttemptKey) -> Option<LiveAttempt> {
        let index = self.attempt_index(key)?;
        Some(self.attempts.remove(index))
    }

    /// Iterates over all attempts in flight.
    pub(super) fn attempts(&self) -> impl Iterator<Item = &LiveAttempt> {
        self.attempts.iter()
    }

    fn index(&self, key: RequestKey) -> Result<usize, usize> {
        self.requests.binary_search_by_key(&key, |state| state.key)
    }

    fn attempt_index(&self, key: AttemptKey) -> Option<usize> {
        self.attempts
            .binary_search_by_key(&key, |attempt| attempt.attempt)
            .ok()
    }
}
