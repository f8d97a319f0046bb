//! What comes back from targets: answers, rejections and losses.

use std::time::{Duration, Instant};

use super::action::{RelayAction, RelayDecision, SendCause};
use super::event::{TargetOutcome, TargetReply};
use super::request::{AttemptNeed, LegStage, LiveAttempt};
use super::target::Standing;
use super::timers::TimerKind;
use super::{AttemptKey, RelayEngine, RequestKey};

/// The longest that an attempt may go on that nobody waits for any more: half a second of useless
/// work is too much.
const LONGEST_LINGER: Duration = Duration::from_millis(300);

impl RelayEngine {
    /// Takes the end of an attempt.
    pub(super) fn end_attempt(
        &mut self,
        now: Instant,
        attempt: AttemptKey,
        outcome: TargetOutcome,
        actions: &mut Vec<RelayAction>,
    ) {
        let Some(attempt) = self.requests.remove_attempt(attempt) else {
            return;
        };
        let doubted = outcome == TargetOutcome::Lost && self.is_suspicious(&attempt);
        if doubted {
            self.doubt_target(&attempt, actions);
        } else {
            self.end_trial(&attempt, &outcome);
        }
        self.learn(now, &attempt, &outcome, actions);
        self.note_end(now, &attempt, &outcome, actions);
        if attempt.is_wanted() {
            self.settle_attempt(now, &attempt, outcome, doubted, actions);
        }
        self.serve_target_room(now, &attempt, actions);
    }

    fn serve_target_room(
        &mut self,
        now: Instant,
        attempt: &LiveAttempt,
        actions: &mut Vec<RelayAction>,
    ) {
        let service = self.targets.get(attempt.target);
        let Some(service) = service.map(|target| target.record.service.clone()) else {
            return;
        };
        self.serve_parked(now, &service, actions);
    }

    /// Updates what is known of the target and of the route.
    fn learn(
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
        target.end_flight(attempt.attempt);
        let name = &target.record.name;
        match outcome {
            TargetOutcome::Replied(reply) if reply.is_success() => {
                let name = name.clone();
                if target.note_answer(now, timed, attempt.usual) {
                    let decision = RelayDecision::Resumed { target: name };
                    actions.push(RelayAction::Decided(decision));
                }
                self.learn_route(attempt, timed);
            }
            TargetOutcome::Replied(_) | TargetOutcome::Rejected => target.note_refused(now),
            TargetOutcome::Misdirected => {
                target.standing = Standing::Replaced;
                let due = TimerKind::Departure {
                    target: attempt.target,
                };
                self.timers.add(now, due);
            }
            TargetOutcome::NotSent => self.suspend_unreachable(now, attempt.target, actions),
            TargetOutcome::Lost | TargetOutcome::Garbled => {
                let name = name.clone();
                if let Some(period) = target.note_broken(now, true) {
                    let decision = RelayDecision::Suspended {
                        target: name,
                        period,
                    };
                    actions.push(RelayAction::Decided(decision));
                }
            }
            TargetOutcome::Abandoned { .. } => {
                if took > attempt.usual && !paused {
                    target.note_overdue(now, took, attempt.usual);
                    self.probe_if_overdue(now, attempt, actions);
                }
            }
        }
    }

    fn learn_route(&mut self, attempt: &LiveAttempt, took: Option<Duration>) {
        let (Some(took), Some(state)) = (took, self.requests.get(attempt.request)) else {
            return;
        };
        self.latencies.record(&state.route, took);
    }

    fn note_end(
        &mut self,
        now: Instant,
        attempt: &LiveAttempt,
        outcome: &TargetOutcome,
        actions: &mut Vec<RelayAction>,
    ) {
        if matches!(outcome, TargetOutcome::Replied(reply) if reply.is_success())
            || !attempt.is_wanted()
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

    /// Takes what an attempt means for its leg.
    fn settle_attempt(
        &mut self,
        now: Instant,
        attempt: &LiveAttempt,
        outcome: TargetOutcome,
        doubted: bool,
        actions: &mut Vec<RelayAction>,
    ) {
        let Some(state) = self.requests.get_mut(attempt.request) else {
            return;
        };
        let leg = &mut state.legs[attempt.place];
        leg.live.retain(|live| *live != attempt.attempt);
        if !outcome.is_not_run() {
            leg.runs += 1;
        }
        let unsent = matches!(
            outcome,
            TargetOutcome::NotSent | TargetOutcome::Abandoned { sent: false }
        );
        if unsent {
            leg.arrivals = leg.arrivals.saturating_sub(1);
        }
        let service = leg.service.clone();
        if unsent && attempt.paid {
            self.services.get_or_add(&service).budget.refund();
        }
        match outcome {
            TargetOutcome::Replied(reply) if reply.is_success() => {
                self.answer_leg(now, attempt, reply, actions);
            }
            TargetOutcome::Replied(reply) => {
                self.fail_leg(now, attempt, Some(reply), actions);
            }
            // The target may have crashed: it is asked before the request goes elsewhere.
            TargetOutcome::Lost if doubted && self.may_repeat(now, attempt) => {
                self.try_again_soon(now, attempt.request, attempt.place);
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
        let leg = &mut state.legs[attempt.place];
        if !leg.is_open() {
            return;
        }
        leg.stage = LegStage::Answered(reply);
        let losers = std::mem::take(&mut leg.live);
        for loser in losers {
            self.leave_attempt(now, loser, AttemptNeed::Leftover, actions);
        }
        self.finish_if_settled(now, attempt.request, actions);
    }

    /// Sends a leg again after a failure, where that is allowed, or gives it up.
    fn fail_leg(
        &mut self,
        now: Instant,
        attempt: &LiveAttempt,
        failure: Option<TargetReply>,
        actions: &mut Vec<RelayAction>,
    ) {
        let (request, place) = (attempt.request, attempt.place);
        let Some(state) = self.requests.get_mut(request) else {
            return;
        };
        if failure.is_some() {
            state.legs[place].failure = failure;
        }
        self.ask_again(now, request, place, actions);
    }

    /// Whether a failed attempt's request may be sent again as far as its kind and its time go.
    fn may_repeat(&self, now: Instant, attempt: &LiveAttempt) -> bool {
        self.requests.get(attempt.request).is_some_and(|state| {
            let runs = state.legs[attempt.place].runs;
            now < state.deadline && (!state.is_careful() || runs == 0)
        })
    }

    /// Asks for a leg again of which nothing is under way, where that is allowed, or gives it up.
    pub(super) fn ask_again(
        &mut self,
        now: Instant,
        request: RequestKey,
        place: usize,
        actions: &mut Vec<RelayAction>,
    ) {
        let Some(state) = self.requests.get(request) else {
            return;
        };
        let leg = &state.legs[place];
        if !leg.is_open() || !leg.live.is_empty() || leg.parked {
            return;
        }
        let repeatable = !state.is_careful() || leg.runs == 0;
        let time_left = now < state.deadline;
        if time_left && repeatable && self.take_leave(now, request, place) {
            self.ask_leg(now, request, place, SendCause::Retry, actions);
        } else {
            self.give_up(request, place, "failed");
        }
        self.finish_if_settled(now, request, actions);
    }

    /// Says who needs an attempt from now on, now that its caller does not wait for it.
    ///
    /// A leftover goes on until it has taken as long as is usual: most end by themselves by then,
    /// which saves their target a new connection. One that takes longer waits in a queue or runs at
    /// a slow target, and its place is of more use to others.
    pub(super) fn leave_attempt(
        &mut self,
        now: Instant,
        attempt: AttemptKey,
        need: AttemptNeed,
        actions: &mut Vec<RelayAction>,
    ) {
        let Some(live) = self.requests.attempt_mut(attempt) else {
            return;
        };
        live.need = need;
        let due = live.sent_at + live.usual.min(LONGEST_LINGER);
        match need {
            AttemptNeed::Leftover if due > now => {
                self.timers.add(due, TimerKind::Linger { attempt });
            }
            AttemptNeed::Leftover | AttemptNeed::Ending => {
                actions.push(RelayAction::Cancel { attempt });
            }
            AttemptNeed::Wanted | AttemptNeed::Unwanted => {}
        }
    }

    /// Ends an attempt that has gone on for long enough.
    pub(super) fn end_linger(&mut self, attempt: AttemptKey, actions: &mut Vec<RelayAction>) {
        let live = self.requests.attempt(attempt);
        if live.is_some_and(|live| live.need == AttemptNeed::Leftover) {
            actions.push(RelayAction::Cancel { attempt });
        }
    }
}
