//! One request from its submission to its answer: [`RequestState`], its [`RequestLeg`]s and
//! [`LiveAttempt`]s, kept in a [`RequestTable`].

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::event::TargetReply;
use super::route::{RepeatKind, RouteDestination, RouteEntry, ServiceName};
use super::{AttemptKey, RequestKey, TargetKey};
use crate::ids::Fingerprint;
use crate::quarantine::RunningRequest;

/// How long after an attempt the same target is not asked again: one that is full needs a moment.
const REPEAT_PAUSE: Duration = Duration::from_millis(15);

/// What has become of a leg.
#[derive(Clone, Debug)]
pub(super) enum LegStage {
    /// It may still be answered.
    Open,
    /// It was answered with success.
    Answered(TargetReply),
    /// It is given up, for a reason.
    Missing(&'static str),
}

/// The part of a request that one service answers.
#[derive(Debug)]
pub(super) struct RequestLeg {
    pub(super) service: ServiceName,
    pub(super) stage: LegStage,
    /// The attempts in flight.
    pub(super) in_flight: Vec<AttemptKey>,
    /// The targets that were asked, in order.
    pub(super) tried: Vec<TargetKey>,
    /// How many ended attempts may have run.
    pub(super) possible_runs: u32,
    /// How many attempts reached a target, or may have.
    pub(super) possible_deliveries: u32,
    /// When the first attempt was sent.
    pub(super) first_sent: Option<Instant>,
    /// When the newest attempt was sent.
    pub(super) last_sent: Option<Instant>,
    /// Whether it waits for room.
    pub(super) parked: bool,
    /// Whether a target broke an attempt of it.
    pub(super) has_loss: bool,
    /// The last failure that a target answered.
    pub(super) failure: Option<TargetReply>,
}

impl RequestLeg {
    /// A leg that nothing has been done for.
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

    /// Whether it may still be answered.
    pub(super) fn is_open(&self) -> bool {
        matches!(self.stage, LegStage::Open)
    }

    /// Whether its last attempt was sent just now.
    pub(super) fn is_recent(&self, now: Instant) -> bool {
        self.last_sent
            .is_some_and(|sent| now.saturating_duration_since(sent) < REPEAT_PAUSE)
    }

    /// Its answer.
    pub(super) fn answer(&self) -> Option<&TargetReply> {
        match &self.stage {
            LegStage::Answered(reply) => Some(reply),
            LegStage::Open | LegStage::Missing(_) => None,
        }
    }

    /// Whether a target may have run it, or may still.
    pub(super) fn may_have_run(&self) -> bool {
        self.possible_runs > 0 || !self.in_flight.is_empty() || self.answer().is_some()
    }
}

/// One request.
#[derive(Debug)]
pub(super) struct RequestState {
    pub(super) key: RequestKey,
    pub(super) route: Arc<RouteEntry>,
    pub(super) fingerprint: Fingerprint,
    pub(super) arrived_at: Instant,
    /// When it must have ended: the caller's deadline or the route's time-out.
    pub(super) deadline: Instant,
    pub(super) legs: Vec<RequestLeg>,
    /// Whether the time for a whole answer is over, so that the first sufficient one is given.
    pub(super) accepts_partial: bool,
}

impl RequestState {
    /// Whether it may run only once.
    pub(super) fn is_at_most_once(&self) -> bool {
        self.route.repeat == RepeatKind::NonIdempotent
    }

    /// Whether its answer is merged from parts.
    pub(super) fn is_gather(&self) -> bool {
        matches!(self.route.destination, RouteDestination::Gather { .. })
    }

    /// How many legs are answered.
    pub(super) fn answered(&self) -> usize {
        self.legs
            .iter()
            .filter(|leg| leg.answer().is_some())
            .count()
    }

    /// Whether targets broke its attempts on half of its legs or more.
    pub(super) fn is_mostly_lost(&self) -> bool {
        let broken = self.legs.iter().filter(|leg| leg.has_loss).count();
        broken * 2 >= self.legs.len()
    }

    /// Whether no leg is open.
    pub(super) fn is_settled(&self) -> bool {
        self.legs.iter().all(|leg| !leg.is_open())
    }

    /// The least number of answered legs that make a success.
    pub(super) fn min_answered(&self) -> usize {
        match &self.route.destination {
            RouteDestination::Split(_) => 1,
            RouteDestination::Gather { services, merge } => {
                let min = min_count(services.len(), merge.min_coverage);
                min.max(1)
            }
        }
    }
}

/// How many of the services make up at least the least coverage.
fn min_count(services: usize, min_coverage: f64) -> usize {
    (0..=services)
        .find(|count| *count as f64 >= min_coverage * services as f64)
        .unwrap_or(services)
}

/// Who needs the end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptDisposition {
    /// A caller waits for its answer.
    Awaited,
    /// Nobody waits, but it must not be cut off, since it may run only once.
    MustFinish,
    /// Nobody waits, and it may be told to end at any time.
    Surplus,
    /// It was told to end.
    Cancelled,
}

/// One attempt that has not ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct LiveAttempt {
    pub(super) attempt: AttemptKey,
    pub(super) request: RequestKey,
    /// The leg's place in the request.
    pub(super) leg_index: usize,
    pub(super) target: TargetKey,
    /// What it runs, for the quarantine.
    pub(super) run: RunningRequest,
    pub(super) sent_at: Instant,
    /// How long such an attempt usually takes.
    pub(super) typical: Duration,
    /// Who needs its end.
    pub(super) disposition: AttemptDisposition,
    /// Whether it took leave from the service's budget.
    pub(super) uses_retry_budget: bool,
    /// Whether its target has been asked for a connection since it is overdue.
    pub(super) probe_sent: bool,
}

impl LiveAttempt {
    /// Whether its answer is still wanted.
    pub(super) fn is_awaited(&self) -> bool {
        self.disposition == AttemptDisposition::Awaited
    }
}

/// All requests in work and all attempts in flight; both sorted by their keys, which count up.
#[derive(Debug, Default)]
pub(super) struct RequestTable {
    requests: Vec<RequestState>,
    attempts: Vec<LiveAttempt>,
    last_attempt: AttemptKey,
}

impl RequestTable {
    /// How many requests are in work.
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Adds a request.
    pub(super) fn insert(&mut self, state: RequestState) {
        let index = self.index(state.key).unwrap_or_else(|index| index);
        self.requests.insert(index, state);
    }

    /// A request in work.
    pub(super) fn get(&self, key: RequestKey) -> Option<&RequestState> {
        let index = self.index(key).ok()?;
        self.requests.get(index)
    }

    /// A request in work.
    pub(super) fn get_mut(&mut self, key: RequestKey) -> Option<&mut RequestState> {
        let index = self.index(key).ok()?;
        self.requests.get_mut(index)
    }

    /// Takes a request out.
    pub(super) fn remove(&mut self, key: RequestKey) -> Option<RequestState> {
        let index = self.index(key).ok()?;
        Some(self.requests.remove(index))
    }

    /// All requests in work.
    pub(super) fn iter(&self) -> impl Iterator<Item = &RequestState> {
        self.requests.iter()
    }

    /// The key for the next attempt.
    pub(super) fn next_attempt(&mut self) -> AttemptKey {
        self.last_attempt += 1;
        self.last_attempt
    }

    /// Adds an attempt in flight.
    pub(super) fn add_attempt(&mut self, attempt: LiveAttempt) {
        self.attempts.push(attempt);
    }

    /// An attempt in flight.
    pub(super) fn attempt(&self, key: AttemptKey) -> Option<&LiveAttempt> {
        let index = self.attempt_index(key)?;
        self.attempts.get(index)
    }

    /// An attempt in flight.
    pub(super) fn attempt_mut(&mut self, key: AttemptKey) -> Option<&mut LiveAttempt> {
        let index = self.attempt_index(key)?;
        self.attempts.get_mut(index)
    }

    /// Ends an attempt.
    pub(super) fn remove_attempt(&mut self, key: AttemptKey) -> Option<LiveAttempt> {
        let index = self.attempt_index(key)?;
        Some(self.attempts.remove(index))
    }

    /// All attempts in flight.
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
