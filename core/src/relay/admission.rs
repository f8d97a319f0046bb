//! Decides which requests are admitted while targets are under pressure.
//!
//! Each target has a `ResponseEstimate`: its recent response times and rejections. The expected
//! time of a request is that of its slowest necessary leg, at the target that the leg would be sent
//! to now. The share of admitted requests falls as this time approaches the latency aim of the
//! route. Owns the counts of admitted requests by route. See `docs/design/overload.md`.

use std::sync::Arc;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::RelayEngine;
use super::action::{RefusalCause, RelayAction, RelayDecision, RelayRefusal};
use super::choice::TargetChoice;
use super::request::{RequestState, min_count};
use super::response_estimate::ResponseEstimate;
use super::route::{RouteDestination, RouteEntry, RouteTable, ServiceName};
use super::service::ServiceState;
use super::submit::{golden_ratio_fraction, response_due};
use super::target::RelayTarget;

/// Range of pressures while the targets of the necessary services are saturated. Estimates lag behind
/// a growing queue and read too low, so it begins early.
const SATURATED_RANGE: SheddingRange = SheddingRange {
    full: 0.35,
    remainder: 0.6,
};
/// Range of pressures otherwise. Targets that are only slow, with hardly a queue, do not become faster
/// by getting less, so nothing is shed while answers are expected within the aim.
const UNSATURATED_RANGE: SheddingRange = SheddingRange {
    full: 0.9,
    remainder: 1.2,
};
/// Share of requests that is admitted at the end of a range; it falls further beyond.
const REMAINDER_SHARE: f64 = 0.11;
/// Share of requests that is admitted at any pressure, so that recovery is noticed.
const MIN_SHARE: f64 = 0.01;
/// Delay, as a share of the usual time, up to which nothing is shed and rejections don't count.
/// Without a delay there is no queue that fewer requests would shorten: the usual time may be near
/// the aim, and a target may reject a share of its requests for another reason than a full queue.
const MIN_DELAY_SHARE: f64 = 0.5;
/// Increase of the pressure of a more urgent route, for each rank, when it decides about a less
/// urgent request.
const PRIORITY_STEP: f64 = 0.3;
/// Maximum difference of ranks that increases the pressure.
const MAX_RANKS: u32 = 4;
/// Number of recent requests from which a route counts as in use; less than one, counted with the
/// half-life of the counts.
const MIN_OFFERED: f64 = 0.25;
/// Least time that a request is compared with.
pub(super) const MIN_TIME_LEFT: Duration = Duration::from_millis(1);
/// Minimum share of a kind that is admitted, relative to the share of all requests; a quarter is
/// required of the served ones.
const MIN_RELATIVE_SHARE: f64 = 0.35;
/// Minimum time between two log lines about requests of a route that were not admitted.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Half-life of the counts of offered and admitted requests, in seconds.
const COUNT_HALF_LIFE_SECONDS: f64 = 2.0;
/// Expected number of legs that stay without an answer because of rejections, beyond those that the
/// coverage lets a request omit, at which the pressure is 1.
const REJECTED_LEGS: f64 = 0.15;
/// Ratio of the delay at the fastest target to that at the chosen one, below which the fastest target
/// counts.
const HEDGED_RATIO: f64 = 0.5;
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

/// Pressures between which the share of admitted requests falls.
#[derive(Clone, Copy, Debug)]
struct SheddingRange {
    /// Pressure up to which all requests are admitted.
    full: f64,
    /// Pressure from which only the remainder is admitted.
    remainder: f64,
}

/// What a leg would meet if it were sent now.
#[derive(Clone, Copy, Debug)]
pub(super) struct LegOutlook {
    /// Time beyond the typical latency, in seconds.
    pub(super) delay: f64,
    pub(super) rejected_share: f64,
    /// Whether a usable target of the service is saturated.
    pub(super) is_saturated: bool,
}

/// How far the expected time of a request uses up its latency aim, or its expected rejections use
/// up its coverage; 1 means entirely.
#[derive(Clone, Copy, Debug, Default)]
struct Pressure<'a> {
    value: f64,
    /// The service that causes it.
    service: Option<&'a str>,
    /// Whether more services than the request may omit have a saturated target.
    is_saturated: bool,
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
    /// Number of requests that were not admitted since the last log line about them.
    unreported: u32,
    reported_at: Option<Instant>,
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

    /// Returns the number of requests of a route that were not admitted since the last report; nothing
    /// if that was less than [`REPORT_INTERVAL`] ago.
    fn report_shed(&mut self, now: Instant, route: &RouteEntry) -> Option<u32> {
        let index = self
            .routes
            .binary_search_by(|counts| counts.route.name.cmp(&route.name));
        let counts = self.routes.get_mut(index.ok()?)?;
        counts.unreported += 1;
        let is_due = counts
            .reported_at
            .is_none_or(|at| now.saturating_duration_since(at) >= REPORT_INTERVAL);
        is_due.then(|| {
            counts.reported_at = Some(now);
            std::mem::take(&mut counts.unreported)
        })
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
        // The routes may have changed since the counts were created.
        if !Arc::ptr_eq(&counts.route, route) {
            counts.route = Arc::clone(route);
        }
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
            unreported: 0,
            reported_at: None,
        }
    }
}

impl RelayEngine {
    /// Returns the refusal of a request that is not admitted, and the service that it is due to.
    pub(super) fn shed(
        &mut self,
        now: Instant,
        state: &RequestState,
        actions: &mut Vec<RelayAction>,
    ) -> Option<(RelayRefusal, ServiceName)> {
        match self.options.tuning.admission {
            AdmissionMode::Off => return None,
            AdmissionMode::Adaptive => {}
        }
        let pressure = self.pressure(now, state);
        let service: ServiceName = pressure.service.unwrap_or_default().into();
        let share = admitted_share(pressure.value, pressure.is_saturated);
        let pressure = pressure.value;
        let (route, host) = (&state.route, &self.options.host);
        if self.admission.admit(now, route, share, host) {
            return None;
        }
        if let Some(requests) = self.admission.report_shed(now, route) {
            actions.push(RelayAction::Decided(RelayDecision::Shed {
                route: route.name.clone(),
                service: service.clone(),
                requests,
                pressure,
            }));
        }
        let part = golden_ratio_fraction(self.admission.shed);
        let part = MIN_RETRY_PART + (1.0 - MIN_RETRY_PART) * part;
        let refusal = RelayRefusal::NotRun {
            retry_after: self.retry_after(now, state).mul_f64(part),
            cause: RefusalCause::Overload,
        };
        Some((refusal, service))
    }

    /// Returns the pressure that decides about a request: the greatest of its own and those of the
    /// more urgent routes that recently used the same services. A less urgent request thereby gives
    /// way before the answers of a more urgent kind are late.
    fn pressure<'a>(&'a self, now: Instant, state: &'a RequestState) -> Pressure<'a> {
        let route = &state.route;
        let services: Vec<&str> = state.legs.iter().map(|leg| leg.service.as_ref()).collect();
        let left = state.deadline.saturating_duration_since(now);
        let mut own = self.route_pressure(now, route, &services, left);
        // Less urgent requests give way first, as far as their work matters.
        let relief = self.admission.routes.iter().filter(|counts| {
            counts.route.priority > route.priority && counts.offered > MIN_OFFERED
        });
        let relief = relief
            .map(|counts| self.work(&counts.route) / self.work(route))
            .fold(0.0, f64::max);
        own.value /= 1.0 + PRIORITY_STEP * relief.min(1.0);
        let urgent = self.admission.routes.iter().filter(|counts| {
            counts.route.priority < route.priority && counts.offered > MIN_OFFERED
        });
        let pressures = urgent.map(|counts| {
            let shared: Vec<&str> = destination_services(&counts.route)
                .filter(|service| services.contains(service))
                .collect();
            let ranks = f64::from((route.priority - counts.route.priority).min(MAX_RANKS));
            let pressure = self.route_pressure(now, &counts.route, &shared, counts.route.timeout);
            // Fewer requests help the urgent ones only where targets are saturated: slow service is
            // not shortened by sending less.
            if !pressure.is_saturated {
                return Pressure::default();
            }
            let relief = self.work(route) / self.work(&counts.route);
            Pressure {
                value: pressure.value * (1.0 + PRIORITY_STEP * ranks) * relief.min(1.0),
                ..pressure
            }
        });
        pressures.fold(own, |greatest, pressure| {
            if pressure.value > greatest.value {
                pressure
            } else {
                greatest
            }
        })
    }

    /// Returns how far the expected time of a request to these services uses up the latency aim of
    /// its route and the time left, and its expected rejections its coverage; 1 means entirely.
    fn route_pressure<'a>(
        &self,
        now: Instant,
        route: &RouteEntry,
        services: &[&'a str],
        left: Duration,
    ) -> Pressure<'a> {
        if !self.latencies.is_known(route) {
            return Pressure::default();
        }
        let usual = self.latencies.typical(route).as_secs_f64();
        let outlooks = services
            .iter()
            .filter_map(|service| Some((*service, self.outlook(now, service, usual)?)));
        let mut outlooks: Vec<(&str, LegOutlook)> = outlooks.collect();
        outlooks.sort_by(|(_, left), (_, right)| right.delay.total_cmp(&left.delay));
        let unavailable = services.len() - outlooks.len();
        let may_omit = omittable_legs(route).saturating_sub(unavailable);
        let slowest = outlooks.get(may_omit);
        let delay = slowest.map_or(0.0, |(_, outlook)| outlook.delay);
        let expected = usual + delay;
        let is_delayed = delay > MIN_DELAY_SHARE * usual;
        let due = response_due(now, route.latency_aim).saturating_duration_since(now);
        let due = due.min(left).max(MIN_TIME_LEFT).as_secs_f64();
        let saturated = outlooks.iter().filter(|(_, outlook)| outlook.is_saturated);
        let is_saturated = is_delayed && saturated.count() > may_omit;
        // A rejected leg is sent to a second target, which may reject it as well.
        let rejected: f64 = outlooks
            .iter()
            .map(|(_, outlook)| outlook.rejected_share * outlook.rejected_share)
            .sum();
        let rejected = rejected / (may_omit as f64 + REJECTED_LEGS);
        let fullest = outlooks
            .iter()
            .max_by(|(_, left), (_, right)| left.rejected_share.total_cmp(&right.rejected_share));
        let by_time = if is_delayed { expected / due } else { 0.0 };
        let cause = if by_time >= rejected {
            slowest
        } else {
            fullest
        };
        Pressure {
            value: by_time.max(rejected),
            service: cause.map(|(service, _)| *service),
            is_saturated,
        }
    }

    /// Returns the work of a request on the route: its legs times the typical latency of one.
    fn work(&self, route: &RouteEntry) -> f64 {
        let legs = match &route.destination {
            RouteDestination::Gather { services, .. } => services.len(),
            RouteDestination::Split(_) => 1,
        };
        let typical = self.latencies.typical(route).max(MIN_TIME_LEFT);
        legs as f64 * typical.as_secs_f64()
    }

    /// Returns what a leg would meet if it were sent now; nothing if no target is usable.
    fn outlook(&self, now: Instant, service: &str, usual: f64) -> Option<LegOutlook> {
        match self.choose_target(now, service, &[], false) {
            TargetChoice::Send(key) => {
                let target = self.targets.get(key)?;
                let chosen = self.target_outlook(now, target, usual);
                let best = self.best_outlook(now, self.services.get(service)?, usual);
                let best = best.unwrap_or(chosen);
                // A leg that is slow at its first target is hedged to a clearly faster one.
                let expected = if best.delay < HEDGED_RATIO * chosen.delay {
                    best
                } else {
                    chosen
                };
                Some(LegOutlook {
                    is_saturated: best.is_saturated,
                    ..expected
                })
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
        let best = self.best_outlook(now, service, usual)?;
        let places = self.usable_outlooks(now, service, usual).count()
            * service.in_flight_limit.max(1) as usize;
        let turns = (service.parked.len() + 1) as f64 / places as f64;
        Some(LegOutlook {
            delay: best.delay + turns * (usual + best.delay),
            ..best
        })
    }

    /// Returns the outlook at the fastest usable target of a service; it is saturated if any is.
    fn best_outlook(&self, now: Instant, service: &ServiceState, usual: f64) -> Option<LegOutlook> {
        let outlooks = || self.usable_outlooks(now, service, usual);
        let best = outlooks().min_by(|left, right| left.delay.total_cmp(&right.delay))?;
        Some(LegOutlook {
            is_saturated: outlooks().any(|outlook| outlook.is_saturated),
            ..best
        })
    }

    /// Iterates over the outlooks of a service's targets that requests may be sent to.
    pub(super) fn usable_outlooks(
        &self,
        now: Instant,
        service: &ServiceState,
        usual: f64,
    ) -> impl Iterator<Item = LegOutlook> {
        let targets = service
            .targets
            .iter()
            .filter_map(|key| self.targets.get(*key));
        let usable = targets.filter(move |target| self.is_open(now, service, target));
        usable.map(move |target| self.target_outlook(now, target, usual))
    }

    fn target_outlook(&self, now: Instant, target: &RelayTarget, usual: f64) -> LegOutlook {
        let estimate = if target.response.is_older_than(self.resumed_at) {
            ResponseEstimate::default()
        } else {
            target.response
        };
        let (overdue, typical) = target.overdue_time(now, self.resumed_at);
        let overdue = overdue.as_secs_f64() * (usual / typical.as_secs_f64().max(1e-6)).min(1.0);
        let reported = target.load.expected_wait(now, target.in_flight.len());
        let reported = reported.unwrap_or(0.0) * usual;
        let delay = estimate.delay(now, usual).max(overdue).max(reported);
        let rejected_share = if delay > MIN_DELAY_SHARE * usual {
            estimate.rejected_share(now)
        } else {
            0.0
        };
        LegOutlook {
            delay,
            rejected_share,
            is_saturated: estimate.is_saturated(now),
        }
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
pub fn admitted_share(pressure: f64, is_saturated: bool) -> f64 {
    let range = if is_saturated {
        SATURATED_RANGE
    } else {
        UNSATURATED_RANGE
    };
    if pressure > range.remainder {
        let ratio = range.remainder / pressure;
        return (REMAINDER_SHARE * ratio * ratio).max(MIN_SHARE);
    }
    let excess = (pressure - range.full) / (range.remainder - range.full);
    let excess = excess.clamp(0.0, 1.0);
    let fall = excess * excess * (3.0 - 2.0 * excess);
    1.0 - (1.0 - REMAINDER_SHARE) * fall
}
