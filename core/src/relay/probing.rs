//! Whether targets can be reached.
//!
//! A request that is sent to a target that is gone without a word costs its caller the time of a
//! connection attempt. So a target that can't be reached is asked for a connection from time to
//! time, and gets requests again only once it has given one; and one that owes an answer for long
//! is asked as well. See `docs/PLATFORM.md`, "Target choice".

use std::time::{Duration, Instant};

use super::action::{ProbeOrder, RelayAction, RelayDecision};
use super::request::LiveAttempt;
use super::timers::TimerKind;
use super::{RelayEngine, TargetKey};

/// After how many usual latencies without an answer a target is asked whether it is there.
const OVERDUE_LATENCIES: u32 = 4;
/// The least time after which it is asked; a paused process takes longer than a usual request.
const LEAST_OVERDUE: Duration = Duration::from_millis(100);

impl RelayEngine {
    /// Asks a target for a connection, unless it is being asked.
    pub(super) fn probe(&mut self, target: TargetKey, actions: &mut Vec<RelayAction>) {
        let Some(state) = self.targets.get_mut(target) else {
            return;
        };
        if std::mem::replace(&mut state.probed, true) {
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
            .is_some_and(|state| state.wants_probe(now));
        if due {
            self.probe(target, actions);
        }
    }

    /// Asks a target that has owed an answer for far longer than is usual.
    pub(super) fn probe_if_overdue(
        &mut self,
        attempt: &LiveAttempt,
        took: Duration,
        actions: &mut Vec<RelayAction>,
    ) {
        if took >= (attempt.usual * OVERDUE_LATENCIES).max(LEAST_OVERDUE) {
            self.probe(attempt.target, actions);
        }
    }

    /// Takes what a target's answer says of its reach.
    pub(super) fn end_probe(
        &mut self,
        now: Instant,
        target: TargetKey,
        reachable: bool,
        actions: &mut Vec<RelayAction>,
    ) {
        let Some(state) = self.targets.get_mut(target) else {
            return;
        };
        state.probed = false;
        if !reachable {
            self.suspend_unreachable(now, target, actions);
            return;
        }
        if state.note_reached() {
            let record = state.record.clone();
            let decision = RelayDecision::Resumed {
                target: record.name,
            };
            actions.push(RelayAction::Decided(decision));
            self.serve_parked(now, &record.service, actions);
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
        let Some(period) = state.note_broken(now, false) else {
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
