//! Accepts or refuses the requests of callers, and selects the services that they are sent to.

use std::time::{Duration, Instant};

use super::action::{RefusalCause, RelayAction, RelayRefusal, SendCause};
use super::choice::TargetChoice;
use super::event::{RelayRequest, RequestOrigin};
use super::explanation::explained_state;
use super::request::{RequestLeg, RequestState};
use super::route::{RouteDestination, RouteEntry, ServiceName, WeightedService};
use super::timers::TimerKind;
use super::{RelayEngine, RequestKey};

/// Fraction of the latency aim that is reserved for returning the answer to the caller.
const RESPONSE_MARGIN_SHARE: f64 = 0.08;
/// Additional time reserved for returning the answer: the round trip to a caller outside the data
/// centre, and scheduling delays on a busy processor.
const RESPONSE_MARGIN: Duration = Duration::from_millis(8);
/// Fraction of the latency aim that a request may wait for a target with capacity before it is
/// refused; a caller that is refused this early can still be answered in time elsewhere.
const CAPACITY_WAIT_SHARE: f64 = 0.2;
/// Maximum `retry_after` of a refusal, as a fraction of the time left until the deadline.
const MAX_RETRY_AFTER_SHARE: f64 = 0.25;
/// Minimum `retry_after` of a refusal, unless the maximum is lower.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);

impl RelayEngine {
    /// Forwards a request to a peer if no target is reached, and handles it here otherwise.
    pub(super) fn submit(
        &mut self,
        now: Instant,
        request: RelayRequest,
        actions: &mut Vec<RelayAction>,
    ) {
        let is_held = self.is_quarantined(now, request.fingerprint);
        if !is_held && self.forward_if_cut_off(now, &request, actions) {
            return;
        }
        if self.reach.is_cut_off() && request.origin != RequestOrigin::Caller {
            let may_have_run = false;
            actions.push(RelayAction::Refuse {
                request: request.key,
                refusal: RelayRefusal::CutOff { may_have_run },
                service: ServiceName::default(),
            });
            return;
        }
        if request.origin != RequestOrigin::Caller {
            self.check_reach_for_peer(now, actions);
        }
        self.submit_here(now, request, actions);
    }

    /// Accepts a request and dispatches its legs, or refuses it.
    pub(super) fn submit_here(
        &mut self,
        now: Instant,
        request: RelayRequest,
        actions: &mut Vec<RelayAction>,
    ) {
        let key = request.key;
        let route = request.route;
        let deadline = request.deadline.min(now + route.timeout);
        let services = self.select_services(&route);
        let possible_runs = match request.origin {
            RequestOrigin::Caller => 0,
            RequestOrigin::Peer { attempts_used } => {
                attempts_used.min(route.attempts.saturating_sub(1))
            }
        };
        let legs = services.into_iter().map(|service| RequestLeg {
            possible_runs,
            ..RequestLeg::new(service)
        });
        let state = RequestState {
            key,
            fingerprint: request.fingerprint,
            arrived_at: now,
            deadline,
            legs: legs.collect(),
            origin: request.origin,
            accepts_partial: false,
            route,
        };
        if let Some((cause, service)) = self.refusal_cause(now, &state) {
            let retry_after = self.retry_after(now, &state);
            let refusal = RelayRefusal::NotRun { retry_after, cause };
            actions.push(RelayAction::Refuse {
                request: key,
                refusal,
                service: service.into(),
            });
            return;
        }
        if let Some((refusal, service)) = self.shed(now, &state, actions) {
            actions.push(RelayAction::Refuse {
                request: key,
                refusal,
                service,
            });
            return;
        }
        for leg in &state.legs {
            let window = self.options.tuning.retry_window;
            self.services
                .get_or_add(&leg.service)
                .budget
                .record_request(now, window);
        }
        let legs = state.legs.len();
        self.add_timers(now, &state);
        self.requests.insert(state);
        for leg_index in 0..legs {
            self.dispatch_leg(now, key, leg_index, SendCause::First, actions);
        }
        self.schedule_slow_leg_check(now, key);
        self.finish_if_settled(now, key, actions);
    }

    /// Returns whether the next request on a route would be refused, since too few of its services
    /// have a usable target.
    pub(super) fn is_without_targets(
        &self,
        now: Instant,
        route: &std::sync::Arc<RouteEntry>,
    ) -> bool {
        let next = self.next_services(route);
        let state = explained_state(now, route, &next);
        self.refusal_cause(now, &state).is_some()
    }

    /// Returns the services that a request on the route is sent to, and counts it.
    fn select_services(&mut self, route: &RouteEntry) -> Vec<ServiceName> {
        let services = self.next_services(route);
        if let RouteDestination::Split(_) = route.destination {
            self.split_counter = self.split_counter.wrapping_add(1);
        }
        services
    }

    /// Returns the services that the next request is sent to if it is on the route.
    pub(super) fn next_services(&self, route: &RouteEntry) -> Vec<ServiceName> {
        match &route.destination {
            RouteDestination::Gather { services, .. } => services.clone(),
            RouteDestination::Split(entries) => {
                let number = self.split_counter.wrapping_add(1);
                let entry = pick_service(entries, golden_ratio_fraction(number));
                entry
                    .map(|entry| entry.service.clone())
                    .into_iter()
                    .collect()
            }
        }
    }

    /// Returns the reason to refuse a request before anything is sent, if there is one, and the name
    /// of the service that it is due to, which may be empty.
    pub(super) fn refusal_cause<'a>(
        &self,
        now: Instant,
        state: &'a RequestState,
    ) -> Option<(RefusalCause, &'a str)> {
        if state.deadline <= now {
            return Some((RefusalCause::NoTime, ""));
        }
        if self.is_quarantined(now, state.fingerprint) {
            return Some((RefusalCause::Quarantined, ""));
        }
        let (servable, unavailable): (Vec<_>, Vec<_>) = state.legs.iter().partition(|leg| {
            let choice = self.choose_target(now, &leg.service, &[], state.is_at_most_once());
            !matches!(choice, TargetChoice::Unavailable { .. })
        });
        (servable.len() < state.min_answered_legs()).then(|| {
            let causes: Vec<(RefusalCause, &str)> = unavailable
                .iter()
                .map(|leg| {
                    let service: &str = &leg.service;
                    (self.unavailable_cause(now, service), service)
                })
                .collect();
            let missing = |cause| causes.iter().find(|(other, _)| *other == cause).copied();
            let first = unavailable.first().map_or("", |leg| leg.service.as_ref());
            RefusalCause::of_missing(|cause| missing(cause).is_some())
                .and_then(missing)
                .unwrap_or((RefusalCause::NoTarget, first))
        })
    }

    /// Returns the time after which a refused caller should retry: when each leg has a usable
    /// target again, within the limits.
    pub(super) fn retry_after(&self, now: Instant, state: &RequestState) -> Duration {
        let left = state.deadline.saturating_duration_since(now);
        let latest = left.mul_f64(MAX_RETRY_AFTER_SHARE);
        let available_at = state
            .legs
            .iter()
            .filter_map(|leg| {
                match self.choose_target(now, &leg.service, &[], state.is_at_most_once()) {
                    TargetChoice::Unavailable { retry_at } => retry_at,
                    TargetChoice::Send(_) | TargetChoice::Wait => None,
                }
            })
            .max();
        let wait = available_at.map_or(latest, |available_at| {
            available_at.saturating_duration_since(now)
        });
        wait.max(MIN_RETRY_AFTER).min(latest)
    }

    fn add_timers(&mut self, now: Instant, state: &RequestState) {
        let request = state.key;
        let aim = state.route.latency_aim;
        self.timers
            .add(state.deadline, TimerKind::Deadline { request });
        if state.is_gather() {
            let partial_due = response_due(now, aim);
            self.timers
                .add(partial_due, TimerKind::PartialAnswer { request });
        }
        let wait_end = now + aim.mul_f64(CAPACITY_WAIT_SHARE);
        self.timers
            .add(wait_end, TimerKind::CapacityWait { request });
    }

    /// Refuses a request if all its legs are still parked and none may have run.
    pub(super) fn end_capacity_wait(
        &mut self,
        now: Instant,
        request: RequestKey,
        actions: &mut Vec<RelayAction>,
    ) {
        let Some(state) = self.requests.get(request) else {
            return;
        };
        let is_waiting = state
            .legs
            .iter()
            .all(|leg| leg.parked && !leg.may_have_run());
        if !is_waiting {
            return;
        }
        let retry_after = self.retry_after(now, state);
        let cause = RefusalCause::NoCapacity;
        let service = state.legs.first().map(|leg| leg.service.clone());
        let refusal = RelayRefusal::NotRun { retry_after, cause };
        self.refuse(now, request, refusal, service.unwrap_or_default(), actions);
    }
}

/// Returns the time by which an answer must be sent to reach the caller within the latency aim.
pub(super) fn response_due(arrived_at: Instant, aim: Duration) -> Instant {
    let margin = aim.mul_f64(RESPONSE_MARGIN_SHARE) + RESPONSE_MARGIN;
    arrived_at + aim.saturating_sub(margin).max(aim / 2)
}

/// Returns the entry of a split that a fraction from 0 to 1 selects.
fn pick_service(entries: &[WeightedService], number: f64) -> Option<&WeightedService> {
    let total: f64 = entries.iter().map(|entry| entry.weight).sum();
    let mut left = number * total;
    let weighted = entries.iter().filter(|entry| entry.weight > 0.0);
    let mut last = None;
    for entry in weighted {
        last = Some(entry);
        if left < entry.weight {
            return last;
        }
        left -= entry.weight;
    }
    last
}

/// Maps consecutive numbers to evenly distributed fractions from 0 to 1.
pub(super) fn golden_ratio_fraction(counter: u64) -> f64 {
    const GOLDEN_RATIO: f64 = 0.618_033_988_749_894_9;
    (counter as f64 * GOLDEN_RATIO).fract()
}
