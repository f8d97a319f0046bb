//! Decides which requests are admitted while targets are under pressure.
//!
//! Each target has a [`ResponseEstimate`]: its recent response times and rejections. The expected
//! time of a request is that of its slowest necessary leg, at the target that the leg would be sent
//! to now. The share of admitted requests falls as this time approaches the latency aim of the
//! route; see `docs/design/overload.md`.

use std::sync::Arc;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::RelayEngine;
use super::action::{RefusalCause, RelayRefusal};
use super::choice::TargetChoice;
use super::event::TargetOutcome;
use super::request::{LiveAttempt, RequestState, min_count};
use super::route::{RouteDestination, RouteEntry, RouteTable};
use super::service::{ParkedLeg, ServiceState};
use super::submit::{golden_ratio_fraction, response_due};
use super::target::RelayTarget;
use super::timers::TimerKind;

/// Weight of a new response time or rejection in a target's moving averages.
const SAMPLE_WEIGHT: f64 = 0.5;
/// Half-life of a target's estimate without new samples, in seconds.
const ESTIMATE_HALF_LIFE_SECONDS: f64 = 2.0;
/// Pressure up to which all requests are admitted.
const FULL_PRESSURE: f64 = 0.55;
/// Pressure from which only the remainder is admitted.
const REMAINDER_PRESSURE: f64 = 1.0;
/// Ratio of the expected time of a merged request to that of one leg: the slowest of many legs
/// takes longer than the average that is estimated, and the estimate is older than the load.
const SLOWEST_LEG_FACTOR: f64 = 2.0;
/// Share of the latency aim by which an attempt may exceed the typical latency before further sends
/// to its target are delayed.
const PACED_DELAY_SHARE: f64 = 0.3;
/// Delay of further sends to a target that rejected an attempt.
const REJECTED_PACE: Duration = Duration::from_millis(20);
/// Pause after a slow attempt, as a multiple of its delay and of the ratio by which the delay exceeds
/// what is allowed. With 0.4 the queues at slow targets stayed full.
const PACE_FACTOR: f64 = 1.0;
/// Maximum delay of further sends to a target.
const MAX_PACE: Duration = Duration::from_millis(600);
/// Share of requests that is always admitted, so that recovery is noticed.
const REMAINDER_SHARE: f64 = 0.11;
/// Increase of the pressure of a more urgent route, for each rank, when it decides about a less
/// urgent request.
const PRIORITY_STEP: f64 = 0.15;
/// Maximum difference of ranks that increases the pressure.
const MAX_RANKS: u32 = 4;
/// Number of recent requests from which a route counts as in use; less than one, counted with the
/// half-life of the counts.
const MIN_OFFERED: f64 = 0.25;
/// Time that a parked leg needs to be answered in time, as a multiple of the typical latency. It does
/// not follow the measured delay: with full queues no leg would seem to be in time, and the oldest
/// would be sent first, all of them late.
const IN_TIME_FACTOR: f64 = 4.0;
/// Least time that a request is compared with.
const MIN_TIME_LEFT: Duration = Duration::from_millis(1);
/// Minimum share of a kind that is admitted, relative to the share of all requests; a quarter is
/// required of the served ones.
const MIN_RELATIVE_SHARE: f64 = 0.35;
/// Half-life of the counts of offered and admitted requests, in seconds.
const COUNT_HALF_LIFE_SECONDS: f64 = 2.0;
/// Expected number of legs that stay without an answer because of rejections, beyond those that the
/// coverage lets a request omit, at which the pressure is 1.
const REJECTED_LEGS: f64 = 0.5;
/// Delay, as a multiple of the typical latency, from which a target counts as slow for hedges.
const SLOW_DELAY: f64 = 2.0;
/// Share of rejected attempts from which a target counts as full for hedges: the weight of one
/// rejection.
const FULL_REJECTED_SHARE: f64 = 0.3;
/// Least part of the longest possible `retry_after` that a shed request is told.
const MIN_RETRY_PART: f64 = 0.4;

/// Whether requests are refused before they are sent if targets are under pressure.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AdmissionMode {
    /// All requests are admitted.
    #[default]
    Off,
    /// The admitted share follows the estimated response times.
    Adaptive,
}

/// How much longer than usual recent attempts at a target took, and how many it rejected.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ResponseEstimate {
    /// Time beyond the typical latency of the route, in seconds. The delay, unlike the whole time,
    /// is comparable between routes with different work.
    delay: f64,
    rejected_share: f64,
    updated_at: Option<Instant>,
}

impl ResponseEstimate {
    /// Records an answer that took `delay` longer than usual.
    pub(super) fn record(&mut self, now: Instant, delay: Duration) {
        let weight = self.advance(now);
        self.delay += weight * (delay.as_secs_f64() - self.delay);
        self.rejected_share -= SAMPLE_WEIGHT * self.rejected_share;
    }

    /// Records that an attempt was given up without an answer, `delay` later than usual.
    pub(super) fn record_unanswered(&mut self, now: Instant, delay: Duration) {
        let weight = self.advance(now);
        self.delay += weight * (delay.as_secs_f64() - self.delay).max(0.0);
    }

    /// Records a rejection, which means that the target's queue is full.
    pub(super) fn record_rejection(&mut self, now: Instant) {
        self.advance(now);
        self.rejected_share += SAMPLE_WEIGHT * (1.0 - self.rejected_share);
    }

    /// Returns the expected delay in seconds, which decays without new samples.
    fn delay(&self, now: Instant) -> f64 {
        self.delay * self.retained(now)
    }

    fn rejected_share(&self, now: Instant) -> f64 {
        self.rejected_share * self.retained(now)
    }

    fn is_older_than(&self, time: Option<Instant>) -> bool {
        self.updated_at
            .zip(time)
            .is_some_and(|(updated, time)| updated < time)
    }

    /// Returns the weight of the next sample, which grows with the age of the previous one.
    fn advance(&mut self, now: Instant) -> f64 {
        let retained = self.retained(now);
        self.rejected_share *= retained;
        self.updated_at = Some(now);
        1.0 - (1.0 - SAMPLE_WEIGHT) * retained
    }

    /// Returns the weight of past samples, from 1 for one just recorded towards 0.
    fn retained(&self, now: Instant) -> f64 {
        let Some(updated_at) = self.updated_at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(updated_at).as_secs_f64();
        (-age / ESTIMATE_HALF_LIFE_SECONDS).exp2()
    }
}

/// What a leg would meet if it were sent now.
#[derive(Clone, Copy, Debug)]
struct LegOutlook {
    /// Time beyond the typical latency, in seconds.
    delay: f64,
    rejected_share: f64,
}

/// Counts of one route.
#[derive(Debug)]
struct RouteCounts {
    route: Arc<RouteEntry>,
    /// Sum of the admitted shares less the number of admitted requests; a request is admitted when
    /// it reaches 1, so that the admitted ones are spread evenly.
    credit: f64,
    offered: f64,
    admitted: f64,
}

/// Counts of offered and admitted requests, sorted by route name.
#[derive(Debug, Default)]
pub(super) struct AdmissionState {
    routes: Vec<RouteCounts>,
    counted_at: Option<Instant>,
    shed: u64,
}

impl AdmissionState {
    /// Removes the counts of routes that are no longer published.
    pub(super) fn retain(&mut self, table: &RouteTable) {
        self.routes
            .retain(|counts| table.routes.contains(&counts.route));
    }

    /// Returns the share of all recent requests that was admitted.
    fn admitted_share(&self) -> f64 {
        let offered: f64 = self.routes.iter().map(|counts| counts.offered).sum();
        let admitted: f64 = self.routes.iter().map(|counts| counts.admitted).sum();
        if offered > 0.0 {
            admitted / offered
        } else {
            1.0
        }
    }

    /// Decides whether a request on the route is admitted, given the share to admit.
    fn admit(&mut self, now: Instant, route: &Arc<RouteEntry>, share: f64, host: &str) -> bool {
        let age = self
            .counted_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let retained = (-age.as_secs_f64() / COUNT_HALF_LIFE_SECONDS).exp2();
        self.counted_at = Some(now);
        for counts in &mut self.routes {
            counts.offered *= retained;
            counts.admitted *= retained;
        }
        let min_share = MIN_RELATIVE_SHARE * self.admitted_share();
        let index = match self
            .routes
            .binary_search_by(|counts| counts.route.name.cmp(&route.name))
        {
            Ok(index) => index,
            Err(index) => {
                self.routes.insert(index, RouteCounts::new(route, host));
                index
            }
        };
        let counts = &mut self.routes[index];
        counts.offered += 1.0;
        counts.credit += share.max(min_share).min(1.0);
        if counts.credit < 1.0 {
            self.shed = self.shed.wrapping_add(1);
            return false;
        }
        counts.credit -= 1.0;
        counts.admitted += 1.0;
        true
    }
}

impl RouteCounts {
    /// Creates counts whose first credit differs between daemons, which would otherwise all admit
    /// requests at the same time.
    fn new(route: &Arc<RouteEntry>, host: &str) -> Self {
        let hash = xxh3_64_with_seed(route.name.as_bytes(), xxh3_64(host.as_bytes()));
        Self {
            route: Arc::clone(route),
            credit: hash as f64 / u64::MAX as f64 * 0.999,
            offered: 0.0,
            admitted: 0.0,
        }
    }
}

impl RelayEngine {
    /// Returns the refusal of a request that is not admitted.
    pub(super) fn shed(&mut self, now: Instant, state: &RequestState) -> Option<RelayRefusal> {
        match self.options.tuning.admission {
            AdmissionMode::Off => return None,
            AdmissionMode::Adaptive => {}
        }
        let share = admitted_share(self.pressure(now, state));
        let (route, host) = (&state.route, &self.options.host);
        if self.admission.admit(now, route, share, host) {
            return None;
        }
        let part = golden_ratio_fraction(self.admission.shed);
        let part = MIN_RETRY_PART + (1.0 - MIN_RETRY_PART) * part;
        Some(RelayRefusal::NotRun {
            retry_after: self.retry_after(now, state).mul_f64(part),
            cause: RefusalCause::Overload,
        })
    }

    /// Returns the pressure that decides about a request: the greatest of its own and those of the
    /// more urgent routes that recently used the same services. A less urgent request thereby gives
    /// way before the answers of a more urgent kind are late.
    fn pressure(&self, now: Instant, state: &RequestState) -> f64 {
        let route = &state.route;
        let services: Vec<&str> = state.legs.iter().map(|leg| leg.service.as_ref()).collect();
        let left = state.deadline.saturating_duration_since(now);
        let own = self.route_pressure(now, route, &services, left);
        let urgent = self.admission.routes.iter().filter(|counts| {
            counts.route.priority < route.priority && counts.offered > MIN_OFFERED
        });
        let pressures = urgent.map(|counts| {
            let shared: Vec<&str> = destination_services(&counts.route)
                .filter(|service| services.contains(service))
                .collect();
            let ranks = f64::from((route.priority - counts.route.priority).min(MAX_RANKS));
            let pressure = self.route_pressure(now, &counts.route, &shared, counts.route.timeout);
            pressure * (1.0 + PRIORITY_STEP * ranks)
        });
        pressures.fold(own, f64::max)
    }

    /// Returns how far the expected time of a request to these services uses up the latency aim of
    /// its route and the time left, and its expected rejections its coverage; 1 means entirely.
    fn route_pressure(
        &self,
        now: Instant,
        route: &RouteEntry,
        services: &[&str],
        left: Duration,
    ) -> f64 {
        if !self.latencies.is_known(route) {
            return 0.0;
        }
        let usual = self.latencies.typical(route).as_secs_f64();
        let outlooks = services
            .iter()
            .filter_map(|service| self.outlook(now, service, usual));
        let mut outlooks: Vec<LegOutlook> = outlooks.collect();
        outlooks.sort_by(|left, right| right.delay.total_cmp(&left.delay));
        let unavailable = services.len() - outlooks.len();
        let may_omit = omittable_legs(route).saturating_sub(unavailable);
        let slowest = outlooks.get(may_omit).map_or(0.0, |outlook| outlook.delay);
        let due = response_due(now, route.latency_aim).saturating_duration_since(now);
        let due = due.min(left).as_secs_f64().max(MIN_TIME_LEFT.as_secs_f64());
        let rejected: f64 = outlooks
            .iter()
            .map(|outlook| outlook.rejected_share * outlook.rejected_share)
            .sum();
        let rejected = rejected / (may_omit as f64 + REJECTED_LEGS);
        ((usual + slowest) * SLOWEST_LEG_FACTOR / due).max(rejected)
    }

    /// Returns what a leg would meet if it were sent now; nothing if no target is usable.
    fn outlook(&self, now: Instant, service: &str, usual: f64) -> Option<LegOutlook> {
        match self.choose_target(now, service, &[], false) {
            TargetChoice::Send(key) => {
                let target = self.targets.get(key)?;
                Some(self.target_outlook(now, target))
            }
            TargetChoice::Wait => self.waiting_outlook(now, self.services.get(service)?, usual),
            TargetChoice::Unavailable { .. } => None,
        }
    }

    /// Returns what a leg would meet that waits for one of the service's targets.
    fn waiting_outlook(
        &self,
        now: Instant,
        service: &ServiceState,
        usual: f64,
    ) -> Option<LegOutlook> {
        let outlooks: Vec<LegOutlook> = self.usable_outlooks(now, service).collect();
        let best = outlooks
            .iter()
            .min_by(|left, right| left.delay.total_cmp(&right.delay))?;
        let places = outlooks.len() * service.in_flight_limit.max(1) as usize;
        let turns = (service.parked.len() + 1) as f64 / places as f64;
        Some(LegOutlook {
            delay: best.delay + turns * (usual + best.delay),
            rejected_share: best.rejected_share,
        })
    }

    /// Iterates over the outlooks of a service's targets that are not suspended.
    fn usable_outlooks(
        &self,
        now: Instant,
        service: &ServiceState,
    ) -> impl Iterator<Item = LegOutlook> {
        let targets = service
            .targets
            .iter()
            .filter_map(|key| self.targets.get(*key));
        let usable = targets.filter(move |target| !target.is_suspended(now));
        usable.map(move |target| self.target_outlook(now, target))
    }

    fn target_outlook(&self, now: Instant, target: &RelayTarget) -> LegOutlook {
        let estimate = if target.response.is_older_than(self.resumed_at) {
            ResponseEstimate::default()
        } else {
            target.response
        };
        let overdue = target.overdue_time(now, self.resumed_at).as_secs_f64();
        LegOutlook {
            delay: estimate.delay(now).max(overdue),
            rejected_share: estimate.rejected_share(now),
        }
    }

    /// Records the response time or rejection of an attempt that has ended, and delays further sends
    /// to its target if it is slow or full.
    pub(super) fn record_response(
        &mut self,
        now: Instant,
        attempt: &LiveAttempt,
        outcome: &TargetOutcome,
        took: Duration,
    ) {
        let link_factor = match outcome {
            TargetOutcome::Replied(_) => attempt.link_factor,
            _ => 1.0,
        };
        let delay = took.div_f64(link_factor).saturating_sub(attempt.typical);
        let pace = match outcome {
            TargetOutcome::Rejected => self.pace(attempt, MAX_PACE).min(REJECTED_PACE),
            _ => self.pace(attempt, delay),
        };
        let Some(target) = self.targets.get_mut(attempt.target) else {
            return;
        };
        match outcome {
            TargetOutcome::Replied(_) => target.response.record(now, delay),
            TargetOutcome::Rejected => target.response.record_rejection(now),
            TargetOutcome::Abandoned { sent: true } => {
                target.response.record_unanswered(now, delay);
            }
            TargetOutcome::Abandoned { sent: false }
            | TargetOutcome::Misdirected
            | TargetOutcome::NotSent
            | TargetOutcome::Lost
            | TargetOutcome::Garbled => return,
        }
        if !pace.is_zero() {
            let until = now + pace;
            target.paced_until = target.paced_until.max(Some(until));
            let kind = TimerKind::Paced {
                target: attempt.target,
            };
            self.timers.add(until, kind);
        }
    }

    /// Returns how long no further attempt is sent to a target after an attempt that exceeded its
    /// typical latency by `delay`. The pauses of all daemons together shorten the target's queue:
    /// requests then wait in the daemons, where they can be ordered.
    pub(super) fn pace(&self, attempt: &LiveAttempt, delay: Duration) -> Duration {
        match self.options.tuning.admission {
            AdmissionMode::Off => return Duration::ZERO,
            AdmissionMode::Adaptive => {}
        }
        let Some(state) = self.requests.get(attempt.request) else {
            return Duration::ZERO;
        };
        let allowed = state.route.latency_aim.mul_f64(PACED_DELAY_SHARE);
        let excess = delay.saturating_sub(allowed).as_secs_f64();
        let excess = excess / allowed.max(MIN_TIME_LEFT).as_secs_f64();
        delay.mul_f64(excess * PACE_FACTOR).min(MAX_PACE)
    }

    /// Returns the parked leg of a service that is sent next: the first one that can still be
    /// answered in time, or else the first one.
    pub(super) fn next_parked(&self, now: Instant, service: &str) -> Option<ParkedLeg> {
        let service = self.services.get(service)?;
        let first = service.parked.first().copied();
        match self.options.tuning.admission {
            AdmissionMode::Off => return first,
            AdmissionMode::Adaptive => {}
        }
        let in_time = service.parked.iter().find(|parked| {
            self.requests.get(parked.request).is_none_or(|state| {
                let usual = self.latencies.typical(&state.route);
                now + usual.mul_f64(IN_TIME_FACTOR)
                    <= response_due(state.arrived_at, state.route.latency_aim)
            })
        });
        in_time.copied().or(first)
    }

    /// Returns whether all usable targets of a service are slow or full, so that a hedge would only
    /// add to their load.
    pub(super) fn is_pressed(&self, now: Instant, route: &RouteEntry, service: &str) -> bool {
        match self.options.tuning.admission {
            AdmissionMode::Off => return false,
            AdmissionMode::Adaptive => {}
        }
        let Some(service) = self.services.get(service) else {
            return false;
        };
        let slow = SLOW_DELAY * self.latencies.typical(route).as_secs_f64();
        self.usable_outlooks(now, service)
            .all(|outlook| outlook.delay > slow || outlook.rejected_share > FULL_REJECTED_SHARE)
    }
}

fn destination_services(route: &RouteEntry) -> impl Iterator<Item = &str> {
    let (gathered, split) = match &route.destination {
        RouteDestination::Gather { services, .. } => (services.as_slice(), [].as_slice()),
        RouteDestination::Split(entries) => ([].as_slice(), entries.as_slice()),
    };
    let split = split.iter().map(|entry| entry.service.as_ref());
    gathered.iter().map(AsRef::as_ref).chain(split)
}

/// Returns the number of legs that a successful answer of the route may lack.
fn omittable_legs(route: &RouteEntry) -> usize {
    match &route.destination {
        RouteDestination::Gather { services, merge } => {
            let needed = min_count(services.len(), merge.min_coverage).max(1);
            services.len().saturating_sub(needed)
        }
        RouteDestination::Split(_) => 0,
    }
}

/// Returns the share of requests to admit; it falls smoothly from 1 to the remainder, and from there
/// as the pressure rises further: under a pressure far above 1, the remainder alone may be more than
/// the targets can serve.
fn admitted_share(pressure: f64) -> f64 {
    if pressure > REMAINDER_PRESSURE {
        let ratio = REMAINDER_PRESSURE / pressure;
        return REMAINDER_SHARE * ratio * ratio;
    }
    let excess = (pressure - FULL_PRESSURE) / (REMAINDER_PRESSURE - FULL_PRESSURE);
    let excess = excess.clamp(0.0, 1.0);
    let fall = excess * excess * (3.0 - 2.0 * excess);
    1.0 - (1.0 - REMAINDER_SHARE) * fall
}
