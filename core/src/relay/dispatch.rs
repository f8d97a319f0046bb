//! Asking a service: choosing its target, sending, or waiting for room.

use std::time::{Duration, Instant};

use super::action::{AttemptOrder, RelayAction, RelayDecision, SendCause};
use super::choice::TargetChoice;
use super::request::{AttemptNeed, LegStage, LiveAttempt};
use super::service::ParkedLeg;
use super::suspicion::run_of;
use super::target::Flight;
use super::{RelayEngine, RequestKey, TargetKey};
use crate::quarantine::TrialVerdict;

impl RelayEngine {
    /// Sends a leg, lets it wait for room, or gives it up.
    pub(super) fn ask_leg(
        &mut self,
        now: Instant,
        request: RequestKey,
        place: usize,
        cause: SendCause,
        actions: &mut Vec<RelayAction>,
    ) {
        let Some(state) = self.requests.get(request) else {
            return;
        };
        let leg = &state.legs[place];
        match self.choose(now, &leg.service, &leg.tried, state.is_careful()) {
            TargetChoice::Ask(target) if leg.tried.contains(&target) && leg.is_recent(now) => {
                // Nobody else can answer, and this one has just failed to.
                self.give_leave_back(request, place);
                self.try_again_soon(now, request, place);
            }
            TargetChoice::Ask(target) => match self.admit(now, request, place, target) {
                TrialVerdict::Send => self.send(now, request, place, target, cause, actions),
                TrialVerdict::Wait => {
                    self.give_leave_back(request, place);
                    self.try_again_soon(now, request, place);
                }
                TrialVerdict::Refuse => self.give_up(request, place, "quarantined"),
            },
            TargetChoice::Wait => {
                self.park(request, place);
                self.make_room(request, place, actions);
            }
            TargetChoice::Unavailable { .. } => self.give_up(request, place, "no_target"),
        }
    }

    /// Whether one more attempt of a leg is allowed, by the route and by the service's budget. It
    /// takes the leave, so it is asked just before the send.
    pub(super) fn take_leave(&mut self, now: Instant, request: RequestKey, place: usize) -> bool {
        let Some(state) = self.requests.get(request) else {
            return false;
        };
        let leg = &state.legs[place];
        let used = leg.runs + leg.live.len() as u32;
        if used >= state.route.attempts.max(1) {
            return false;
        }
        if leg.arrivals == 0 {
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

    /// Gives back the leave for an attempt that was not sent.
    fn give_leave_back(&mut self, request: RequestKey, place: usize) {
        let Some(state) = self.requests.get(request) else {
            return;
        };
        let leg = &state.legs[place];
        if leg.arrivals > 0 {
            let service = leg.service.clone();
            self.services.get_or_add(&service).budget.refund();
        }
    }

    /// Sends a leg to a target; every send goes through here.
    pub(super) fn send(
        &mut self,
        now: Instant,
        request: RequestKey,
        place: usize,
        key: TargetKey,
        cause: SendCause,
        actions: &mut Vec<RelayAction>,
    ) {
        let attempt = self.requests.next_attempt();
        let usual = self.usual_latency(request);
        let (Some(state), Some(target)) =
            (self.requests.get_mut(request), self.targets.get_mut(key))
        else {
            return;
        };
        let careful = state.is_careful();
        let run = run_of(state, place);
        let leg = &mut state.legs[place];
        let paid = leg.arrivals > 0;
        leg.arrivals += 1;
        leg.parked = false;
        leg.live.push(attempt);
        if !leg.tried.contains(&key) {
            leg.tried.push(key);
        }
        let first_sent = *leg.first_sent.get_or_insert(now);
        leg.last_sent = Some(now);
        target.start_flight(Flight {
            attempt,
            sent_at: now,
            usual,
        });
        let order = AttemptOrder {
            attempt,
            request,
            target: key,
            name: target.record.name.clone(),
            address: target.record.address,
            deadline: state.deadline,
            careful,
        };
        self.requests.add_attempt(LiveAttempt {
            attempt,
            request,
            place,
            target: key,
            run,
            sent_at: now,
            usual,
            need: AttemptNeed::Wanted,
            paid,
            probed: false,
        });
        if cause != SendCause::First {
            actions.push(RelayAction::Decided(RelayDecision::SentAgain {
                request,
                target: order.name.clone(),
                cause,
                after: now.saturating_duration_since(first_sent),
            }));
        } else if careful {
            actions.push(RelayAction::Decided(RelayDecision::SentOnce {
                request,
                target: order.name.clone(),
                time_left: order.deadline.saturating_duration_since(now),
            }));
        }
        actions.push(RelayAction::Send(order));
    }

    /// What an attempt on a request's route usually takes.
    pub(super) fn usual_latency(&self, request: RequestKey) -> Duration {
        self.requests
            .get(request)
            .map_or(Duration::from_millis(10), |state| {
                self.latencies.usual(&state.route)
            })
    }

    /// Lets a leg wait for room at its service's targets.
    fn park(&mut self, request: RequestKey, place: usize) {
        let Some(state) = self.requests.get_mut(request) else {
            return;
        };
        let entry = ParkedLeg {
            priority: state.route.priority,
            deadline: state.deadline,
            request,
            place,
        };
        let leg = &mut state.legs[place];
        leg.parked = true;
        let service = leg.service.clone();
        self.services.get_or_add(&service).park(entry);
    }

    /// Gives up the oldest attempt at a leg's service that nobody waits for any more. Otherwise such
    /// attempts end by themselves, which saves their targets a new connection; but not at the cost
    /// of somebody who waits.
    fn make_room(&mut self, request: RequestKey, place: usize, actions: &mut Vec<RelayAction>) {
        let service = self
            .requests
            .get(request)
            .and_then(|state| self.services.get(&state.legs[place].service));
        let Some(service) = service else {
            return;
        };
        let leftover = self.requests.attempts().find(|attempt| {
            attempt.need == AttemptNeed::Leftover
                && service.targets.binary_search(&attempt.target).is_ok()
        });
        let Some(attempt) = leftover.map(|attempt| attempt.attempt) else {
            return;
        };
        if let Some(live) = self.requests.attempt_mut(attempt) {
            live.need = AttemptNeed::Ending;
        }
        actions.push(RelayAction::Cancel { attempt });
    }

    /// Serves the legs that wait for a service's targets, as far as there is room.
    pub(super) fn serve_parked(
        &mut self,
        now: Instant,
        service: &str,
        actions: &mut Vec<RelayAction>,
    ) {
        loop {
            let Some(entry) = self
                .services
                .get(service)
                .and_then(|service| service.parked.first().copied())
            else {
                return;
            };
            let state = self.requests.get(entry.request);
            let waiting = state.filter(|state| state.legs[entry.place].parked);
            let choice = waiting.map(|state| {
                let leg = &state.legs[entry.place];
                self.choose(now, service, &leg.tried, state.is_careful())
            });
            if choice == Some(TargetChoice::Wait) {
                return;
            }
            if let Some(service) = self.services.get_mut(service) {
                service.parked.remove(0);
            }
            match choice {
                Some(TargetChoice::Ask(_)) => {
                    let (request, place) = (entry.request, entry.place);
                    self.unmark_parked(request, place);
                    self.ask_leg(now, request, place, SendCause::First, actions);
                    self.finish_if_settled(now, request, actions);
                }
                Some(TargetChoice::Unavailable { .. }) => {
                    self.give_up(entry.request, entry.place, "no_target");
                    self.finish_if_settled(now, entry.request, actions);
                }
                Some(TargetChoice::Wait) | None => {}
            }
        }
    }

    fn unmark_parked(&mut self, request: RequestKey, place: usize) {
        if let Some(state) = self.requests.get_mut(request) {
            state.legs[place].parked = false;
        }
    }

    /// Gives a leg up, if nothing of it is in flight.
    pub(super) fn give_up(&mut self, request: RequestKey, place: usize, reason: &'static str) {
        let Some(state) = self.requests.get_mut(request) else {
            return;
        };
        let leg = &mut state.legs[place];
        if leg.is_open() && leg.live.is_empty() {
            leg.parked = false;
            leg.stage = LegStage::Missing(reason);
        }
    }
}
