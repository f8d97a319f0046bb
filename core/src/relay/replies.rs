//! Processes the outcomes of attempts.

use std::time::{Duration, Instant};

use super::action::{RelayAction, RelayDecision, SendCause};
use super::event::{TargetOutcome, TargetReply};
use super::request::{AttemptDisposition, LegStage, LiveAttempt};
use super::target::ListingState;
use super::timers::TimerKind;
use super::{AttemptKey, RelayEngine, RequestKey, TargetKey};

/// Maximum time that a surplus attempt may run, counted from its start; half a second of useless
/// work is too much.
const MAX_SURPLUS_TIME: Duration = Duration::from_millis(300);

impl RelayEngine {
    pub(super) fn handle_attempt_ended(
        &mut self,
        now: Instant,
        attempt: AttemptKey,
        outcome: TargetOutcome,
        actions: &mut Vec<RelayAction>,
    ) {
        let Some(attempt) = self.requests.remove_attempt(attempt) else {
            return;
        };
        let is_suspicious = outcome == TargetOutcome::Lost && self.record_loss(&attempt);
        if is_suspicious {
            self.verify_loss(&attempt, actions);
        } else {
            self.record_trial_ended(&attempt, &outcome);
        }
        self.record_attempt(now, &attempt, &outcome, actions);
        self.log_failed_attempt(now, &attempt, &outcome, actions);
        if attempt.is_awaited() {
            self.settle_attempt(now, &attempt, outcome, is_suspicious, actions);
        }
        self.dispatch_parked_after(now, &attempt, actions);
    }

    fn dispatch_parked_after(
        &mut self,
        now: Instant,
        attempt: &LiveAttempt,
        actions: &mut Vec<RelayAction>,
    ) {
        self.dispatch_parked_to(now, attempt.target, actions);
    }

    /// Sends the parked legs of a target's service while its targets have capacity.
    pub(super) fn dispatch_parked_to(
        &mut self,
        now: Instant,
        target: TargetKey,
        actions: &mut Vec<RelayAction>,
    ) {
        let service = self.targets.get(target);
        let Some(service) = service.map(|target| target.record.service.clone()) else {
            return;
        };
        self.dispatch_parked(now, &service, actions);
    }

    /// Updates the statistics of the target and of the route.
    fn record_attempt(
        &mut self,
        now: Instant,
        attempt: &LiveAttempt,
        outcome: &TargetOutcome,
        actions: &mut Vec<RelayAction>,
    ) {
        let paused = self
            .resumed_at
            .is_some_and(|resumed| attempt.sent_at < resumed);
        let took = now.saturating_duration_since(attempt.sent_at);
        let timed = (!paused).then_some(took);
        let Some(target) = self.targets.get_mut(attempt.target) else {
            return;
        };
        target.end_attempt(attempt.attempt);
        if !paused {
            self.record_response(now, attempt, outcome, took);
        }
        let Some(target) = self.targets.get_mut(attempt.target) else {
            return;
        };
        let name = &target.record.name;
        match outcome {
            TargetOutcome::Replied(reply) if reply.is_success() => {
                let name = name.clone();
                if target.record_success(now, timed, attempt) {
                    let decision = RelayDecision::Resumed { target: name };
                    actions.push(RelayAction::Decided(decision));
                }
                self.record_route_latency(attempt, timed);
            }
            TargetOutcome::Replied(_) | TargetOutcome::Rejected => target.record_refusal(now),
            TargetOutcome::Misdirected => {
                target.listing = ListingState::Replaced;
                let kind = TimerKind::Departure {
                    target: attempt.target,
                };
                self.timers.add(now, kind);
            }
            TargetOutcome::NotSent => self.suspend_unreachable(now, attempt.target, actions),
            TargetOutcome::Lost | TargetOutcome::Garbled => {
                let name = name.clone();
                if let Some(period) = target.record_attempt_failure(now, true) {
                    let decision = RelayDecision::Suspended {
                        target: name,
                        period,
                    };
                    actions.push(RelayAction::Decided(decision));
                }
            }
            TargetOutcome::Abandoned { .. } => {
                if took > attempt.typical && !paused {
                    target.record_slow(now, took, attempt.typical);
                    self.probe_if_overdue(now, attempt, actions);
                }
            }
        }
    }

    fn record_route_latency(&mut self, attempt: &LiveAttempt, took: Option<Duration>) {
        let (Some(took), Some(state)) = (took, self.requests.get(attempt.request)) else {
            return;
        };
        self.latencies.record(&state.route, took);
    }

    fn log_failed_attempt(
        &mut self,
        now: Instant,
        attempt: &LiveAttempt,
        outcome: &TargetOutcome,
        actions: &mut Vec<RelayAction>,
    ) {
        if matches!(outcome, TargetOutcome::Replied(reply) if reply.is_success())
            || !attempt.is_awaited()
        {
            return;
        }
        let Some(target) = self.targets.get(attempt.target) else {
            return;
        };
        actions.push(RelayAction::Decided(RelayDecision::AttemptFailed {
            request: attempt.request,
            target: target.record.name.clone(),
            outcome: outcome.as_str(),
            took: now.saturating_duration_since(attempt.sent_at),
        }));
    }

    /// Applies the outcome of an attempt to its leg.
    fn settle_attempt(
        &mut self,
        now: Instant,
        attempt: &LiveAttempt,
        outcome: TargetOutcome,
        is_suspicious: bool,
        actions: &mut Vec<RelayAction>,
    ) {
        let Some(state) = self.requests.get_mut(attempt.request) else {
            return;
        };
        let leg = &mut state.legs[attempt.leg_index];
        leg.in_flight.retain(|live| *live != attempt.attempt);
        if !outcome.is_not_run() {
            leg.possible_runs += 1;
        }
        let unsent = matches!(
            outcome,
            TargetOutcome::NotSent | TargetOutcome::Abandoned { sent: false }
        );
        if unsent {
            leg.possible_deliveries = leg.possible_deliveries.saturating_sub(1);
        }
        let service = leg.service.clone();
        if unsent && attempt.uses_retry_budget {
            self.services.get_or_add(&service).budget.refund();
        }
        match outcome {
            TargetOutcome::Replied(reply) if reply.is_success() => {
                self.answer_leg(now, attempt, reply, actions);
            }
            TargetOutcome::Replied(reply) => {
                self.fail_leg(now, attempt, Some(reply), actions);
            }
            // The target may have crashed; it is probed before the request is sent elsewhere.
            TargetOutcome::Lost if is_suspicious && self.is_retryable(now, attempt) => {
                self.schedule_retry(now, attempt.request, attempt.leg_index);
            }
            TargetOutcome::Rejected
            | TargetOutcome::Misdirected
            | TargetOutcome::NotSent
            | TargetOutcome::Lost
            | TargetOutcome::Garbled
            | TargetOutcome::Abandoned { .. } => self.fail_leg(now, attempt, None, actions),
        }
    }

    fn answer_leg(
        &mut self,
        now: Instant,
        attempt: &LiveAttempt,
        reply: TargetReply,
        actions: &mut Vec<RelayAction>,
    ) {
        let Some(state) = self.requests.get_mut(attempt.request) else {
            return;
        };
        let leg = &mut state.legs[attempt.leg_index];
        if !leg.is_open() {
            return;
        }
        leg.stage = LegStage::Answered(reply);
        let surplus = std::mem::take(&mut leg.in_flight);
        for attempt_key in surplus {
            self.detach_attempt(now, attempt_key, AttemptDisposition::Surplus, actions);
        }
        self.finish_if_settled(now, attempt.request, actions);
    }

    /// Retries a leg after a failed attempt if that is allowed, and otherwise abandons it.
    fn fail_leg(
        &mut self,
        now: Instant,
        attempt: &LiveAttempt,
        failure: Option<TargetReply>,
        actions: &mut Vec<RelayAction>,
    ) {
        let (request, leg_index) = (attempt.request, attempt.leg_index);
        let Some(state) = self.requests.get_mut(request) else {
            return;
        };
        if failure.is_some() {
            state.legs[leg_index].failure = failure;
        }
        self.retry_leg(now, request, leg_index, actions);
    }

    /// Returns whether a request may be sent again after a failed attempt, by its kind and its
    /// deadline.
    fn is_retryable(&self, now: Instant, attempt: &LiveAttempt) -> bool {
        self.requests.get(attempt.request).is_some_and(|state| {
            let runs = state.legs[attempt.leg_index].possible_runs;
            now < state.deadline && (!state.is_at_most_once() || runs == 0)
        })
    }

    /// Retries a leg that has no attempt in flight if that is allowed, and otherwise abandons it.
    pub(super) fn retry_leg(
        &mut self,
        now: Instant,
        request: RequestKey,
        leg_index: usize,
        actions: &mut Vec<RelayAction>,
    ) {
        let Some(state) = self.requests.get(request) else {
            return;
        };
        let leg = &state.legs[leg_index];
        if !leg.is_open() || !leg.in_flight.is_empty() || leg.parked {
            return;
        }
        let repeatable = !state.is_at_most_once() || leg.possible_runs == 0;
        let time_left = now < state.deadline;
        if time_left && repeatable && self.reserve_attempt(now, request, leg_index) {
            self.dispatch_leg(now, request, leg_index, SendCause::Retry, actions);
        } else {
            self.abandon_leg(request, leg_index, "failed");
        }
        self.finish_if_settled(now, request, actions);
    }

    /// Changes the disposition of an attempt whose request no longer waits for it.
    ///
    /// A surplus attempt runs until it has taken the typical latency: most attempts have ended by
    /// then, which saves their target a new connection. A longer one waits in a queue or runs at a
    /// slow target, and its slot is of more use to other requests.
    pub(super) fn detach_attempt(
        &mut self,
        now: Instant,
        attempt: AttemptKey,
        disposition: AttemptDisposition,
        actions: &mut Vec<RelayAction>,
    ) {
        let Some(live) = self.requests.attempt_mut(attempt) else {
            return;
        };
        live.disposition = disposition;
        let due = live.sent_at + live.typical.min(MAX_SURPLUS_TIME);
        match disposition {
            AttemptDisposition::Surplus if due > now => {
                self.timers.add(due, TimerKind::SurplusAttempt { attempt });
            }
            AttemptDisposition::Surplus | AttemptDisposition::Cancelled => {
                actions.push(RelayAction::Cancel { attempt });
            }
            AttemptDisposition::Awaited | AttemptDisposition::MustFinish => {}
        }
    }

    /// Cancels a surplus attempt that has reached its time limit.
    pub(super) fn cancel_surplus_attempt(
        &mut self,
        attempt: AttemptKey,
        actions: &mut Vec<RelayAction>,
    ) {
        let live = self.requests.attempt(attempt);
        if live.is_some_and(|live| live.disposition == AttemptDisposition::Surplus) {
            actions.push(RelayAction::Cancel { attempt });
        }
    }
}
