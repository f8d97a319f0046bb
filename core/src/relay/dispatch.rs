//! Sends the legs of a request: selects a target, and parks legs while all targets are full.

use std::time::{Duration, Instant};

use super::action::{AttemptOrder, RelayAction, RelayDecision, SendCause};
use super::choice::TargetChoice;
use super::request::{AttemptDisposition, LegStage, LiveAttempt};
use super::service::ParkedLeg;
use super::suspicion::running_request;
use super::target::InFlightAttempt;
use super::{RelayEngine, RequestKey, TargetKey};
use crate::quarantine::TrialVerdict;

impl RelayEngine {
    /// Sends a leg to a target, parks it until a target has capacity, or abandons it.
    pub(super) fn dispatch_leg(
        &mut self,
        now: Instant,
        request: RequestKey,
        leg_index: usize,
        cause: SendCause,
        actions: &mut Vec<RelayAction>,
    ) {
        let Some(state) = self.requests.get(request) else {
            return;
        };
        let leg = &state.legs[leg_index];
        match self.choose_target(now, &leg.service, &leg.tried, state.is_at_most_once()) {
            TargetChoice::Send(target) if leg.tried.contains(&target) && leg.is_recent(now) => {
                // All other targets are unusable, and this one has just failed the leg.
                self.release_reservation(request, leg_index);
                self.schedule_retry(now, request, leg_index);
            }
            TargetChoice::Send(target) => match self.admit(now, request, leg_index, target) {
                TrialVerdict::Send => self.send(now, request, leg_index, target, cause, actions),
                TrialVerdict::Wait => {
                    self.release_reservation(request, leg_index);
                    self.schedule_retry(now, request, leg_index);
                }
                TrialVerdict::Refuse => self.abandon_leg(request, leg_index, "quarantined"),
            },
            TargetChoice::Wait => {
                self.park(request, leg_index);
                self.free_capacity(request, leg_index, actions);
            }
            TargetChoice::Unavailable { .. } => {
                let cause = self.unavailable_cause(now, &leg.service);
                self.abandon_leg(request, leg_index, cause.as_str());
            }
        }
    }

    /// Reserves one more attempt of a leg; returns false if the route's attempt limit or the
    /// service's retry budget does not allow it. Must be called directly before the attempt is
    /// sent.
    pub(super) fn reserve_attempt(
        &mut self,
        now: Instant,
        request: RequestKey,
        leg_index: usize,
    ) -> bool {
        let Some(state) = self.requests.get(request) else {
            return false;
        };
        let leg = &state.legs[leg_index];
        let used = leg.possible_runs + leg.in_flight.len() as u32;
        if used >= state.route.attempts.max(1) {
            return false;
        }
        if leg.possible_deliveries == 0 {
            return true;
        }
        let service = leg.service.clone();
        let (window, share) = (
            self.options.tuning.retry_window,
            self.options.tuning.retry_share,
        );
        self.services
            .get_or_add(&service)
            .budget
            .try_repeat(now, window, share)
    }

    /// Refunds the retry-budget reservation of an attempt that was not sent.
    fn release_reservation(&mut self, request: RequestKey, leg_index: usize) {
        let Some(state) = self.requests.get(request) else {
            return;
        };
        let leg = &state.legs[leg_index];
        if leg.possible_deliveries > 0 {
            let service = leg.service.clone();
            self.services.get_or_add(&service).budget.refund();
        }
    }

    /// Sends a leg to a target; all attempts are sent by this function.
    pub(super) fn send(
        &mut self,
        now: Instant,
        request: RequestKey,
        leg_index: usize,
        key: TargetKey,
        cause: SendCause,
        actions: &mut Vec<RelayAction>,
    ) {
        let attempt = self.requests.next_attempt();
        let typical = self.typical_latency(request);
        let (Some(state), Some(target)) =
            (self.requests.get_mut(request), self.targets.get_mut(key))
        else {
            return;
        };
        let at_most_once = state.is_at_most_once();
        let run = running_request(state, leg_index);
        let leg = &mut state.legs[leg_index];
        let uses_retry_budget = leg.possible_deliveries > 0;
        leg.possible_deliveries += 1;
        leg.parked = false;
        leg.in_flight.push(attempt);
        if !leg.tried.contains(&key) {
            leg.tried.push(key);
        }
        let link_factor = target.link_factor(now);
        let first_sent = *leg.first_sent.get_or_insert(now);
        leg.last_sent = Some(now);
        target.start_attempt(InFlightAttempt {
            attempt,
            sent_at: now,
            typical,
        });
        let order = AttemptOrder {
            attempt,
            request,
            target: key,
            name: target.record.name.clone(),
            address: target.record.address,
            deadline: state.deadline,
            at_most_once,
            is_part: state.is_gather(),
        };
        self.requests.add_attempt(LiveAttempt {
            attempt,
            request,
            leg_index,
            target: key,
            run,
            sent_at: now,
            typical,
            link_factor,
            disposition: AttemptDisposition::Awaited,
            uses_retry_budget,
            probe_sent: false,
        });
        if cause == SendCause::Retry {
            actions.push(RelayAction::Decided(RelayDecision::AttemptRepeated {
                request,
                target: order.name.clone(),
                after: now.saturating_duration_since(first_sent),
            }));
        } else if at_most_once {
            actions.push(RelayAction::Decided(RelayDecision::SentAtMostOnce {
                request,
                target: order.name.clone(),
                time_left: order.deadline.saturating_duration_since(now),
            }));
        }
        actions.push(RelayAction::Send(order));
    }

    /// Returns the typical latency of an attempt on the request's route.
    pub(super) fn typical_latency(&self, request: RequestKey) -> Duration {
        self.requests
            .get(request)
            .map_or(Duration::from_millis(10), |state| {
                self.latencies.typical(&state.route)
            })
    }

    /// Parks a leg until one of its service's targets has capacity.
    fn park(&mut self, request: RequestKey, leg_index: usize) {
        let Some(state) = self.requests.get_mut(request) else {
            return;
        };
        let entry = ParkedLeg {
            priority: state.route.priority,
            deadline: state.deadline,
            request,
            leg_index,
        };
        let leg = &mut state.legs[leg_index];
        leg.parked = true;
        let service = leg.service.clone();
        self.services.get_or_add(&service).park(entry);
    }

    /// Cancels the oldest surplus attempt at a service's targets to make room for a waiting leg.
    /// Surplus attempts otherwise run to their end, which saves the targets a new connection, but
    /// not while a caller waits for capacity.
    fn free_capacity(
        &mut self,
        request: RequestKey,
        leg_index: usize,
        actions: &mut Vec<RelayAction>,
    ) {
        let service = self
            .requests
            .get(request)
            .and_then(|state| self.services.get(&state.legs[leg_index].service));
        let Some(service) = service else {
            return;
        };
        let surplus = self.requests.attempts().find(|attempt| {
            attempt.disposition == AttemptDisposition::Surplus
                && service.targets.binary_search(&attempt.target).is_ok()
        });
        let Some(attempt) = surplus.map(|attempt| attempt.attempt) else {
            return;
        };
        if let Some(live) = self.requests.attempt_mut(attempt) {
            live.disposition = AttemptDisposition::Cancelled;
        }
        actions.push(RelayAction::Cancel { attempt });
    }

    /// Sends the parked legs of a service while its targets have capacity.
    pub(super) fn dispatch_parked(
        &mut self,
        now: Instant,
        service: &str,
        actions: &mut Vec<RelayAction>,
    ) {
        loop {
            let Some(entry) = self.next_parked(now, service) else {
                return;
            };
            let state = self.requests.get(entry.request);
            let waiting = state.filter(|state| state.legs[entry.leg_index].parked);
            let choice = waiting.map(|state| {
                let leg = &state.legs[entry.leg_index];
                self.choose_target(now, service, &leg.tried, state.is_at_most_once())
            });
            if choice == Some(TargetChoice::Wait) {
                return;
            }
            if let Some(service) = self.services.get_mut(service) {
                service.parked.retain(|parked| *parked != entry);
            }
            match choice {
                Some(TargetChoice::Send(_)) => {
                    let (request, leg_index) = (entry.request, entry.leg_index);
                    self.unmark_parked(request, leg_index);
                    self.dispatch_leg(now, request, leg_index, SendCause::First, actions);
                    self.finish_if_settled(now, request, actions);
                }
                Some(TargetChoice::Unavailable { .. }) => {
                    let cause = self.unavailable_cause(now, service);
                    self.abandon_leg(entry.request, entry.leg_index, cause.as_str());
                    self.finish_if_settled(now, entry.request, actions);
                }
                Some(TargetChoice::Wait) | None => {}
            }
        }
    }

    fn unmark_parked(&mut self, request: RequestKey, leg_index: usize) {
        if let Some(state) = self.requests.get_mut(request) {
            state.legs[leg_index].parked = false;
        }
    }

    /// Marks a leg as missing, unless one of its attempts is in flight.
    pub(super) fn abandon_leg(
        &mut self,
        request: RequestKey,
        leg_index: usize,
        reason: &'static str,
    ) {
        let Some(state) = self.requests.get_mut(request) else {
            return;
        };
        let leg = &mut state.legs[leg_index];
        if leg.is_open() && leg.in_flight.is_empty() {
            leg.parked = false;
            leg.stage = LegStage::Missing(reason);
        }
    }
}
