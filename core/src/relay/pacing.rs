//! Sends less to targets that are slow or full: pauses between sends, the order of parked legs, and
//! hedges. Only in effect with [`AdmissionMode::Adaptive`].

use std::time::{Duration, Instant};

use super::RelayEngine;
use super::admission::{AdmissionMode, MIN_TIME_LEFT};
use super::event::TargetOutcome;
use super::request::LiveAttempt;
use super::response_estimate::DelaySample;
use super::route::RouteEntry;
use super::service::ParkedLeg;
use super::submit::response_due;
use super::timers::TimerKind;

/// Share of the latency aim by which an attempt may exceed the typical latency before further sends
/// to its target are delayed.
const PACED_DELAY_SHARE: f64 = 0.4;
/// Delay of further sends to a target that rejected an attempt.
const REJECTED_PACE: Duration = Duration::from_millis(20);
/// Pause after a slow attempt, as a multiple of its delay and of the ratio by which the delay exceeds
/// what is allowed. With 0.4 the queues at slow targets stayed full.
const PACE_FACTOR: f64 = 1.0;
/// Maximum delay of further sends to a target.
const MAX_PACE: Duration = Duration::from_millis(600);
/// Time that a parked leg needs to be answered in time, as a multiple of the typical latency. It does
/// not follow the measured delay: with full queues no leg would seem to be in time, and the oldest
/// would be sent first, all of them late.
const IN_TIME_FACTOR: f64 = 4.0;
/// Multiple of the latency aim from which a response time shows that a target is saturated.
const SATURATED_AIMS: f64 = 1.5;
/// Delay, as a multiple of the typical latency, from which a target counts as slow for hedges.
const SLOW_DELAY: f64 = 2.0;
/// Share of rejected attempts from which a target counts as full for hedges: the weight of one
/// rejection.
const FULL_REJECTED_SHARE: f64 = 0.3;

impl RelayEngine {
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
            TargetOutcome::Rejected => self.pace(now, attempt, MAX_PACE).min(REJECTED_PACE),
            _ => self.pace(now, attempt, delay),
        };
        let state = self.requests.get(attempt.request);
        let sample = DelaySample {
            delay,
            typical: attempt.typical,
            is_late: state
                .is_some_and(|state| took > state.route.latency_aim.mul_f64(SATURATED_AIMS)),
        };
        let Some(target) = self.targets.get_mut(attempt.target) else {
            return;
        };
        match outcome {
            TargetOutcome::Replied(_) => target.response.record(now, sample),
            TargetOutcome::Rejected => target.response.record_rejection(now),
            TargetOutcome::Abandoned { sent: true } => {
                target.response.record_unanswered(now, sample);
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
    fn pace(&self, now: Instant, attempt: &LiveAttempt, delay: Duration) -> Duration {
        let Some(state) = self.requests.get(attempt.request) else {
            return Duration::ZERO;
        };
        // Another target of the service is used instead while one is fast.
        if !self.is_pressed(now, &state.route, &state.legs[attempt.leg_index].service) {
            return Duration::ZERO;
        }
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
        let usual = self.latencies.typical(route).as_secs_f64();
        let slow = SLOW_DELAY * usual;
        let mut outlooks = self.usable_outlooks(now, service, usual).peekable();
        outlooks.peek().is_some()
            && outlooks
                .all(|outlook| outlook.delay > slow || outlook.rejected_share > FULL_REJECTED_SHARE)
    }
}
