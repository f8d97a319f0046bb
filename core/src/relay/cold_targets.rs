//! Limits the rate at which cold targets get requests.
//!
//! See `docs/DESIGN.md`, "Cold targets".

use std::time::{Duration, Instant};

use super::action::{RelayAction, RelayDecision};
use super::target::RelayTarget;
use super::target_hold::{ColdLimit, HoldChange};
use super::{RelayEngine, TargetKey};

/// Time for which a former number of daemons counts if it was greater. In a partition each part of
/// the fleet knows only its own daemons, while all of them go on sending to the cold targets.
const COUNT_MEMORY: Duration = Duration::from_secs(60);

/// Former numbers of daemons that were greater than all later ones.
#[derive(Debug, Default)]
pub(super) struct FormerCounts {
    /// The numbers, in descending order, each with the time at which a smaller one replaced it.
    entries: Vec<(Instant, u32)>,
}

impl FormerCounts {
    /// Records that the number of daemons changes.
    pub(super) fn record(&mut self, now: Instant, former: u32, current: u32) {
        self.entries
            .retain(|(at, daemons)| *daemons > former.max(current) && is_remembered(now, *at));
        if former > current {
            self.entries.push((now, former));
        }
    }

    /// Returns the greatest former number that still counts, or 0.
    fn greatest(&self, now: Instant) -> u32 {
        let mut entries = self.entries.iter();
        let greatest = entries.find(|(at, _)| is_remembered(now, *at));
        greatest.map_or(0, |(_, daemons)| *daemons)
    }
}

fn is_remembered(now: Instant, at: Instant) -> bool {
    now.saturating_duration_since(at) < COUNT_MEMORY
}

impl RelayEngine {
    /// Returns the number of daemons among which the rate of a cold target is divided.
    pub(super) fn cold_daemons(&self, now: Instant) -> u32 {
        self.presumed_daemons()
            .max(self.former_counts.greatest(now))
    }

    /// Returns the limit that holds for the cold targets of a service, if one is published and the
    /// settings call for it.
    pub(super) fn cold_limit(&self, service: &str) -> Option<ColdLimit> {
        let tolerance = self.options.tuning.cold?;
        let entry = self.routes.service(service)?;
        (entry.cold_rate > 0.0).then(|| ColdLimit {
            rate: tolerance.usable_rate(entry.cold_rate),
            time: entry.cold_time,
        })
    }

    /// Records the remaining cold time that a target's entry gives.
    pub(super) fn record_listed_cold(
        &mut self,
        now: Instant,
        key: TargetKey,
        cold_left: Duration,
        actions: &mut Vec<RelayAction>,
    ) {
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        let Some(change) = target.hold.record_listed_cold(now, cold_left) else {
            return;
        };
        let (target, service) = (target.record.name.clone(), target.record.service.clone());
        if self.has_effect(change, &service) {
            let decision = RelayDecision::HoldChanged { target, change };
            actions.push(RelayAction::Decided(decision));
        }
    }

    /// Presumes that the targets of a data centre are cold, since its evacuation has ended: they have
    /// had no requests, and their entries may not tell yet.
    pub(super) fn presume_cold(&mut self, now: Instant, data_centre: &str) {
        let targets = self.targets.iter_mut();
        for target in targets.filter(|target| target.record.data_centre.as_ref() == data_centre) {
            target.hold.presume_cold(now);
        }
    }

    /// Presumes that a target that has just been added is cold, if the evacuation of its data centre
    /// has ended before.
    pub(super) fn presume_added_cold(&mut self, key: TargetKey) {
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        if let Some(ended_at) = self.evacuations.ended_at(&target.record.data_centre) {
            target.hold.presume_cold(ended_at);
        }
    }

    /// Returns whether a service has targets that get nothing now since they are cold.
    pub(super) fn is_held_cold(&self, now: Instant, service: &str) -> bool {
        let Some(service) = self.services.get(service) else {
            return false;
        };
        let mut targets = service
            .targets
            .iter()
            .filter_map(|key| self.targets.get(*key));
        targets
            .any(|target| !self.is_evacuated(target) && self.next_cold_send(now, target).is_some())
    }

    /// Returns the earliest time at which a target may get a request, if it gets none now since it
    /// is cold.
    pub(super) fn next_cold_send(&self, now: Instant, target: &RelayTarget) -> Option<Instant> {
        let limit = self.cold_limit(&target.record.service)?;
        let until = target
            .hold
            .earliest_cold_send(now, self.cold_daemons(now), limit);
        (until > now).then_some(until)
    }

    /// Returns whether a change of a target's hold has an effect and is logged.
    pub(super) fn has_effect(&self, change: HoldChange, service: &str) -> bool {
        match change {
            HoldChange::Cold(_) | HoldChange::Warm => self.cold_limit(service).is_some(),
            HoldChange::Leaving
            | HoldChange::Paused(_)
            | HoldChange::Limited(_)
            | HoldChange::Unlimited => true,
        }
    }
}
