//! Records what targets say of themselves in their answers.

use std::time::Instant;

use super::action::{RelayAction, RelayDecision};
use super::event::TargetOutcome;
use super::request::LiveAttempt;
use super::self_report::{ReportedLoad, SelfReport};
use super::service::MIN_PRESUMED_DAEMONS;
use super::target::relative_time;
use super::{AttemptKey, RelayEngine};

impl RelayEngine {
    /// Records what the target of an attempt says of itself, also if its answer is not needed any
    /// more.
    pub(super) fn record_report(
        &mut self,
        now: Instant,
        attempt: AttemptKey,
        outcome: &TargetOutcome,
        report: Option<SelfReport>,
        actions: &mut Vec<RelayAction>,
    ) {
        let (Some(report), Some(live)) = (report, self.requests.attempt(attempt).copied()) else {
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
        if let Some(load) = report.load {
            self.record_load(now, &live, outcome, load, actions);
        }
    }

    /// Records the load that the target of an attempt reports, and compares it with the response time.
    fn record_load(
        &mut self,
        now: Instant,
        live: &LiveAttempt,
        outcome: &TargetOutcome,
        load: ReportedLoad,
        actions: &mut Vec<RelayAction>,
    ) {
        let Some(target) = self.targets.get_mut(live.target) else {
            return;
        };
        target.load.record(now, load, target.in_flight.len());
        let is_success = matches!(outcome, TargetOutcome::Replied(reply) if reply.is_success());
        let paused = self
            .resumed_at
            .is_some_and(|resumed| live.sent_at < resumed);
        if !is_success || paused {
            return;
        }
        let took = now.saturating_duration_since(live.sent_at);
        if let Some(change) = target.load.compare(now, relative_time(took, live)) {
            let target = target.record.name.clone();
            let decision = RelayDecision::LoadTrustChanged { target, change };
            actions.push(RelayAction::Decided(decision));
        }
    }

    /// Returns the number of daemons among which the rate of a target is divided.
    pub(super) fn presumed_daemons(&self) -> u32 {
        match self.daemon_count {
            0 => MIN_PRESUMED_DAEMONS,
            daemons => daemons,
        }
    }
}
