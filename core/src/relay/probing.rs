//! Detects unreachable targets by connection probes.
//!
//! A request to a target that vanished without closing its connections costs its caller the time of
//! a connection attempt. An unreachable target is therefore probed periodically and receives
//! requests again only after a probe has succeeded. A target whose answer is long overdue is probed
//! as well. See `docs/PLATFORM.md`, "Target choice".

use std::time::{Duration, Instant};

use super::action::{ProbeOrder, RelayAction, RelayDecision};
use super::event::ProbeOutcome;
use super::request::LiveAttempt;
use super::timers::TimerKind;
use super::{AttemptKey, RelayEngine, RequestKey, TargetKey};

/// Multiple of the typical latency after which an attempt is overdue and its target is probed.
const OVERDUE_LATENCIES: u32 = 4;
/// Minimum time after which an attempt is overdue; a paused process takes longer than a typical
/// request.
const MIN_OVERDUE: Duration = Duration::from_millis(100);

/// Returns whether an attempt has taken far longer than is typical.
fn is_overdue(now: Instant, attempt: &LiveAttempt) -> bool {
    let took = now.saturating_duration_since(attempt.sent_at);
    took >= (attempt.typical * OVERDUE_LATENCIES).max(MIN_OVERDUE)
}

impl RelayEngine {
    /// Probes a target, unless a probe is in progress or its data centre is evacuated.
    pub(super) fn probe(&mut self, target: TargetKey, actions: &mut Vec<RelayAction>) {
        let known = self.targets.get(target);
        if known.is_some_and(|known| self.is_evacuated(known)) {
            return;
        }
        let Some(state) = self.targets.get_mut(target) else {
            return;
        };
        if std::mem::replace(&mut state.probe_pending, true) {
            return;
        }
        actions.push(RelayAction::Probe(ProbeOrder {
            target,
            address: state.record.address,
        }));
    }

    /// Probes an unreachable target if its suspension has ended.
    pub(super) fn probe_if_due(
        &mut self,
        now: Instant,
        target: TargetKey,
        actions: &mut Vec<RelayAction>,
    ) {
        let due = self
            .targets
            .get(target)
            .is_some_and(|state| state.needs_probe(now));
        if due {
            self.probe(target, actions);
        }
    }

    /// Probes the target of an attempt that is overdue.
    pub(super) fn probe_if_overdue(
        &mut self,
        now: Instant,
        attempt: &LiveAttempt,
        actions: &mut Vec<RelayAction>,
    ) {
        if is_overdue(now, attempt) {
            self.probe(attempt.target, actions);
        }
    }

    /// Probes the targets of a request's overdue attempts, once for each attempt. A slow target
    /// passes the probe, and one whose connections were cut silently is detected long before the
    /// deadline of the request.
    pub(super) fn probe_overdue_attempts(
        &mut self,
        now: Instant,
        request: RequestKey,
        actions: &mut Vec<RelayAction>,
    ) {
        let Some(state) = self.requests.get(request) else {
            return;
        };
        let open_legs = state.legs.iter().filter(|leg| leg.is_open());
        let attempts: Vec<AttemptKey> = open_legs
            .flat_map(|leg| leg.in_flight.iter().copied())
            .collect();
        for key in attempts {
            let Some(attempt) = self.requests.attempt_mut(key) else {
                continue;
            };
            if !is_overdue(now, attempt) || std::mem::replace(&mut attempt.probe_sent, true) {
                continue;
            }
            let target = attempt.target;
            let state = self.targets.get(target);
            if !state.is_some_and(|target| target.was_reached_recently(now)) {
                self.probe(target, actions);
            }
        }
    }

    /// Cancels the overdue attempts at a target that does not respond, so that their requests
    /// continue elsewhere. Requests that must not run twice are kept, since their answers may still
    /// arrive.
    fn cancel_unresponsive_attempts(
        &mut self,
        now: Instant,
        target: TargetKey,
        actions: &mut Vec<RelayAction>,
    ) {
        let overdue = self.requests.attempts().filter(|attempt| {
            attempt.target == target && attempt.is_awaited() && is_overdue(now, attempt)
        });
        let cancellable = overdue.filter(|attempt| {
            let state = self.requests.get(attempt.request);
            state.is_some_and(|state| !state.is_at_most_once())
        });
        actions.extend(cancellable.map(|attempt| RelayAction::Cancel {
            attempt: attempt.attempt,
        }));
    }

    pub(super) fn handle_probe_result(
        &mut self,
        now: Instant,
        target: TargetKey,
        outcome: ProbeOutcome,
        actions: &mut Vec<RelayAction>,
    ) {
        let Some(state) = self.targets.get_mut(target) else {
            return;
        };
        state.probe_pending = false;
        match outcome {
            ProbeOutcome::Reached => {}
            ProbeOutcome::Refused => return self.suspend_unreachable(now, target, actions),
            ProbeOutcome::NoResponse => {
                self.suspend_unreachable(now, target, actions);
                return self.cancel_unresponsive_attempts(now, target, actions);
            }
        }
        let resumed = state.record_reached(now).then(|| state.record.clone());
        self.record_link_opened(now, actions);
        if let Some(record) = resumed {
            let decision = RelayDecision::Resumed {
                target: record.name,
            };
            actions.push(RelayAction::Decided(decision));
            self.dispatch_parked(now, &record.service, actions);
            self.probe_data_centre(&record.data_centre, actions);
        }
    }

    /// Probes all unreachable targets of a data centre after one of them has become reachable: the
    /// network path may have been cut, and may be restored for all of them. The end of an evacuation
    /// calls it as well.
    pub(super) fn probe_data_centre(&mut self, data_centre: &str, actions: &mut Vec<RelayAction>) {
        let unreachable = self.targets.iter().filter(|target| {
            !target.is_reachable() && target.record.data_centre.as_ref() == data_centre
        });
        let keys: Vec<TargetKey> = unreachable.map(|target| target.key).collect();
        for key in keys {
            self.probe(key, actions);
        }
    }

    /// Suspends a target that can't be reached until a probe succeeds.
    pub(super) fn suspend_unreachable(
        &mut self,
        now: Instant,
        target: TargetKey,
        actions: &mut Vec<RelayAction>,
    ) {
        let Some(state) = self.targets.get_mut(target) else {
            return;
        };
        let Some(period) = state.record_attempt_failure(now, false) else {
            return;
        };
        let name = state.record.name.clone();
        self.timers.add(now + period, TimerKind::Probe { target });
        actions.push(RelayAction::Decided(RelayDecision::Suspended {
            target: name,
            period,
        }));
        self.record_unreachable(now, target, actions);
    }
}
