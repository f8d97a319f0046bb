//! Whether targets can be reached.
//!
//! A request that is sent to a target that is gone without a word costs its caller the time of a
//! connection attempt. So a target that can't be reached is asked for a connection from time to
//! time, and gets requests again only once it has given one; and one that owes an answer for long
//! is asked as well. See `docs/PLATFORM.md`, "Target choice".

use std::time::{Duration, Instant};

use super::action::{ProbeOrder, RelayAction, RelayDecision};
use super::event::ProbeOutcome;
use super::request::LiveAttempt;
use super::timers::TimerKind;
use super::{AttemptKey, RelayEngine, RequestKey, TargetKey};

/// After how many usual latencies without an answer a target is asked whether it is there.
const OVERDUE_LATENCIES: u32 = 4;
/// The least time after which it is asked; a paused process takes longer than a usual request.
const MIN_OVERDUE: Duration = Duration::from_millis(100);

/// Whether an attempt has taken far longer than is usual.
fn is_overdue(now: Instant, attempt: &LiveAttempt) -> bool {
    let took = now.saturating_duration_since(attempt.sent_at);
    took >= (attempt.typical * OVERDUE_LATENCIES).max(MIN_OVERDUE)
}

impl RelayEngine {
    /// Asks a target for a connection, unless it is being asked.
    pub(super) fn probe(&mut self, target: TargetKey, actions: &mut Vec<RelayAction>) {
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

    /// Asks a target that can't be reached again when its time has come.
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

    /// Asks a target that has owed an answer for far longer than is usual.
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

    /// Asks the targets of a request's attempts in flight that are overdue, once for each attempt:
    /// a target that is slow answers, and one whose connections have fallen silent is found out
    /// long before the request's deadline.
    pub(super) fn probe_overdue_attempts(
        &mut self,
        now: Instant,
        request: RequestKey,
        actions: &mut Vec<RelayAction>,
    ) {
        let Some(state) = self.requests.get(request) else {
            return;
        };
        let live = state.legs.iter().filter(|leg| leg.is_open());
        let live: Vec<AttemptKey> = live.flat_map(|leg| leg.in_flight.iter().copied()).collect();
        for key in live {
            let Some(attempt) = self.requests.attempt_mut(key) else {
                continue;
            };
            if !is_overdue(now, attempt) || std::mem::replace(&mut attempt.probe_sent, true) {
                continue;
            }
            let target = attempt.target;
            let reached = self.targets.get(target);
            if !reached.is_some_and(|target| target.was_reached_recently(now)) {
                self.probe(target, actions);
            }
        }
    }

    /// Gives up the overdue attempts at a target that is silent, so that their requests go on without
    /// it. What can't be repeated is left: its answer may still come.
    fn end_silent_attempts(
        &mut self,
        now: Instant,
        target: TargetKey,
        actions: &mut Vec<RelayAction>,
    ) {
        let silent = self.requests.attempts().filter(|attempt| {
            attempt.target == target && attempt.is_awaited() && is_overdue(now, attempt)
        });
        let ended = silent.filter(|attempt| {
            let state = self.requests.get(attempt.request);
            state.is_some_and(|state| !state.is_at_most_once())
        });
        actions.extend(ended.map(|attempt| RelayAction::Cancel {
            attempt: attempt.attempt,
        }));
    }

    /// Takes what a target's answer says of its reach.
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
                return self.end_silent_attempts(now, target, actions);
            }
        }
        let Some(state) = self.targets.get_mut(target) else {
            return;
        };
        if state.record_reached(now) {
            let record = state.record.clone();
            let decision = RelayDecision::Resumed {
                target: record.name,
            };
            actions.push(RelayAction::Decided(decision));
            self.dispatch_parked(now, &record.service, actions);
            self.probe_data_centre(&record.data_centre, actions);
        }
    }

    /// Asks all targets of a data centre that could not be reached, now that one of them can: the
    /// way there may have been cut, and be back for all.
    fn probe_data_centre(&mut self, data_centre: &str, actions: &mut Vec<RelayAction>) {
        let unreachable = self.targets.iter().filter(|target| {
            !target.is_reachable() && target.record.data_centre.as_ref() == data_centre
        });
        let keys: Vec<TargetKey> = unreachable.map(|target| target.key).collect();
        for key in keys {
            self.probe(key, actions);
        }
    }

    /// Gives a target that can't be reached no requests until it gives a connection.
    pub(super) fn suspend_unreachable(
        &mut self,
        now: Instant,
        target: TargetKey,
        actions: &mut Vec<RelayAction>,
    ) {
        let Some(state) = self.targets.get_mut(target) else {
            return;
        };
        let Some(period) = state.record_broken(now, false) else {
            return;
        };
        let name = state.record.name.clone();
        self.timers.add(now + period, TimerKind::Probe { target });
        actions.push(RelayAction::Decided(RelayDecision::Suspended {
            target: name,
            period,
        }));
    }
}
