//! Records what targets say of themselves in their answers.

use std::time::Instant;

use super::action::{RelayAction, RelayDecision};
use super::self_report::SelfReport;
use super::service::MIN_PRESUMED_DAEMONS;
use super::{AttemptKey, RelayEngine};

impl RelayEngine {
    /// Records what the target of an attempt says of itself, also if its answer is not needed any
    /// more.
    pub(super) fn record_report(
        &mut self,
        now: Instant,
        attempt: AttemptKey,
        report: Option<SelfReport>,
        actions: &mut Vec<RelayAction>,
    ) {
        let (Some(report), Some(live)) = (report, self.requests.attempt(attempt)) else {
            return;
        };
        let Some(target) = self.targets.get_mut(live.target) else {
            return;
        };
        let mut changes = Vec::new();
        target.hold.record(now, live.sent_at, &report, &mut changes);
        let (name, service) = (target.record.name.clone(), target.record.service.clone());
        changes.retain(|change| self.has_effect(*change, &service));
        actions.extend(changes.into_iter().map(|change| {
            RelayAction::Decided(RelayDecision::HoldChanged {
                target: name.clone(),
                change,
            })
        }));
    }

    /// Returns the number of daemons among which the rate of a target is divided.
    pub(super) fn presumed_daemons(&self) -> u32 {
        match self.daemon_count {
            0 => MIN_PRESUMED_DAEMONS,
            daemons => daemons,
        }
    }
}
