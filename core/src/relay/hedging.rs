//! Hedges slow requests.
//!
//! A leg that has been in flight for longer than nearly all recent attempts on its route is also
//! sent to a second target, within the service's retry budget; the first answer wins.
//!
//! A leg is a straggler only in comparison with the other legs of its request. If most of them are
//! late as well, the cause is common to them: a busy processor, or connections that are being
//! opened after a start. Hedging them all would double the load just then, so it waits.

use std::time::{Duration, Instant};

use super::action::{RelayAction, RelayDecision, SendCause};
use super::choice::TargetChoice;
use super::request::RequestState;
use super::submit::response_due;
use super::timers::TimerKind;
use super::{RelayEngine, RequestKey, TargetKey};

/// Minimum time between two checks of a request's legs.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(4);
/// Time that a hedge needs before the answer is due, as a multiple of the typical latency.
const HEDGE_RESERVE_LATENCIES: f64 = 1.6;
/// Minimum hedge delay, as a multiple of the typical latency; before that, most first attempts are
/// still in progress.
const MIN_HEDGE_LATENCIES: f64 = 1.3;
/// Number of further checks per hedge delay for a leg that could not be hedged.
const RECHECKS_PER_DELAY: u32 = 4;
/// Share of a request's legs that must be settled before the others count as stragglers.
const SETTLED_SHARE: f64 = 0.5;
/// Age, as a multiple of the hedge delay, from which legs are hedged even if most are late: their
/// targets may all be silent.
const COMMON_DELAY_FACTOR: u32 = 2;

impl RelayEngine {
    /// Schedules the first check of a request's legs.
    pub(super) fn schedule_slow_leg_check(&mut self, now: Instant, request: RequestKey) {
        let Some(state) = self.requests.get(request) else {
            return;
        };
        if state.is_at_most_once() || state.route.attempts < 2 {
            return;
        }
        let due = now + self.hedge_delay(state);
        self.timers.add(due, TimerKind::SlowLegCheck { request });
    }

    /// Returns the delay after which a leg is hedged: long enough that few legs need it, and short
    /// enough that the hedge can still be answered in time.
    fn hedge_delay(&self, state: &RequestState) -> Duration {
        let typical = self.latencies.typical(&state.route);
        let tail = self.latencies.tail(&state.route);
        let aim = state.route.latency_aim;
        let due = response_due(state.arrived_at, aim).saturating_duration_since(state.arrived_at);
        let latest = due.saturating_sub(typical.mul_f64(HEDGE_RESERVE_LATENCIES));
        tail.min(latest).max(typical.mul_f64(MIN_HEDGE_LATENCIES))
    }

    /// Hedges the open legs of a request that have exceeded the hedge delay, and schedules the next
    /// check.
    pub(super) fn check_slow_legs(
        &mut self,
        now: Instant,
        request: RequestKey,
        actions: &mut Vec<RelayAction>,
    ) {
        let Some(state) = self.requests.get(request) else {
            return;
        };
        let delay = self.hedge_delay(state);
        self.probe_overdue_attempts(now, request, actions);
        let Some(state) = self.requests.get(request) else {
            return;
        };
        let recheck_at = now + delay / RECHECKS_PER_DELAY;
        let (delay, mut next) = if has_stragglers_only(state) {
            (delay, None)
        } else {
            (delay * COMMON_DELAY_FACTOR, Some(recheck_at))
        };
        let mut slow = Vec::new();
        for (leg_index, leg) in state.legs.iter().enumerate() {
            if !leg.is_open() || leg.in_flight.len() != 1 {
                continue;
            }
            let Some(sent) = leg.last_sent else {
                continue;
            };
            let due = self.resumed_at.map_or(sent, |resumed| resumed.max(sent)) + delay;
            if due <= now {
                slow.push(leg_index);
            } else {
                next = next.into_iter().chain([due]).min();
            }
        }
        let mut hedged = Vec::new();
        for leg_index in slow {
            if let Some(target) = self.hedge(now, request, leg_index, actions) {
                hedged.push((leg_index, target));
            } else {
                next = next.into_iter().chain([recheck_at]).min();
            }
        }
        self.log_hedges(now, request, &hedged, actions);
        // Parked legs, and legs that were retried after a failure, are checked again as well.
        let open = self
            .requests
            .get(request)
            .is_some_and(|state| !state.is_settled());
        let next = next.or_else(|| open.then_some(now + delay));
        if let Some(next) = next {
            let due = next.max(now + MIN_CHECK_INTERVAL);
            self.timers.add(due, TimerKind::SlowLegCheck { request });
        }
    }

    /// Logs all hedges of one check as one decision.
    fn log_hedges(
        &self,
        now: Instant,
        request: RequestKey,
        hedged: &[(usize, TargetKey)],
        actions: &mut Vec<RelayAction>,
    ) {
        let Some(state) = self.requests.get(request).filter(|_| !hedged.is_empty()) else {
            return;
        };
        let first_sent = hedged
            .iter()
            .filter_map(|(leg_index, _)| state.legs[*leg_index].first_sent)
            .min();
        let targets = hedged
            .iter()
            .filter_map(|(_, target)| self.targets.get(*target))
            .map(|target| target.record.name.clone())
            .collect();
        actions.push(RelayAction::Decided(RelayDecision::Hedged {
            request,
            targets,
            after: first_sent.map_or(Duration::ZERO, |sent| now.saturating_duration_since(sent)),
        }));
    }

    /// Sends a slow leg to a second target and returns it; `None` if that is not possible now.
    fn hedge(
        &mut self,
        now: Instant,
        request: RequestKey,
        leg_index: usize,
        actions: &mut Vec<RelayAction>,
    ) -> Option<TargetKey> {
        let state = self.requests.get(request)?;
        let leg = &state.legs[leg_index];
        let choice = self.choose_target(now, &leg.service, &leg.tried, false);
        let TargetChoice::Send(target) = choice else {
            return None;
        };
        let suspected = self.suspicion.table.is_suspected(state.fingerprint);
        if suspected
            || leg.tried.contains(&target)
            || self.is_pressed(now, &state.route, &leg.service)
            || !self.reserve_attempt(now, request, leg_index)
        {
            return None;
        }
        self.send(now, request, leg_index, target, SendCause::Hedge, actions);
        Some(target)
    }
}

/// Returns whether enough legs are settled for the open ones to be stragglers.
fn has_stragglers_only(state: &RequestState) -> bool {
    let settled = state.legs.iter().filter(|leg| !leg.is_open()).count();
    state.legs.len() == 1 || settled as f64 >= SETTLED_SHARE * state.legs.len() as f64
}
