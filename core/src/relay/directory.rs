//! Tracks targets as they are listed, change and leave.
//!
//! See `docs/PLATFORM.md`, "A target's state".

use std::time::{Duration, Instant};

use super::action::{RelayAction, RelayDecision};
use super::target::{ListingState, RelayTarget};
use super::target_record::{TargetPhase, TargetRecord};
use super::timers::TimerKind;
use super::{RelayEngine, TargetKey};

/// Share of the drain time during which a target that is no longer listed is used without
/// restriction. A target that is leaving serves for the whole drain time, and one whose listing
/// only expired while the list was unreachable is listed again soon.
const UNLISTED_SHARE: f64 = 0.1;
/// Share of the drain time after which a target that is no longer listed is never used, even if its
/// listing may only have expired; the rest of the drain time covers the propagation delay.
const MAX_SERVING_SHARE: f64 = 0.75;
/// Time after the list becomes reachable again during which targets and evacuations may be missing
/// only because their listing expired in the meantime, or since the list was restored from an older
/// copy; targets renew their listing within about two seconds.
const RELIST_TIME: Duration = Duration::from_millis(2_200);
/// Share of the drain time during which a leaving target is used if there is no other. Three
/// fifths of the drain time are reserved for propagating the departure between daemons.
const LAST_RESORT_SHARE: f64 = 0.3;

impl RelayEngine {
    /// Adds a target or updates its record.
    pub(super) fn handle_target_listed(
        &mut self,
        now: Instant,
        record: TargetRecord,
        actions: &mut Vec<RelayAction>,
    ) {
        let known = self.targets.find_name(&record.name);
        if let Some(key) = known {
            if self.is_same_incarnation(key, &record) {
                self.update_target(now, key, record, actions);
                return;
            }
            self.forget_target(key, actions);
        }
        if record.phase == TargetPhase::Draining {
            return;
        }
        let key = self.targets.next_key();
        let is_local = record.data_centre == self.options.data_centre;
        log_target_change(&record, "listed", actions);
        self.services.get_or_add(&record.service).add_target(key);
        let service = record.service.clone();
        let cold_left = record.cold_left;
        self.targets.insert(RelayTarget::new(
            now,
            key,
            record,
            is_local,
            &self.options.host,
        ));
        self.presume_added_cold(key);
        self.record_listed_cold(now, key, cold_left, actions);
        self.dispatch_parked(now, &service, actions);
    }

    fn is_same_incarnation(&self, key: TargetKey, record: &TargetRecord) -> bool {
        self.targets.get(key).is_some_and(|target| {
            target.record.started_ms == record.started_ms
                && target.record.address == record.address
                && target.record.service == record.service
        })
    }

    fn update_target(
        &mut self,
        now: Instant,
        key: TargetKey,
        record: TargetRecord,
        actions: &mut Vec<RelayAction>,
    ) {
        match record.phase {
            TargetPhase::Draining => self.begin_departure(now, key, actions),
            TargetPhase::Serving => {
                let Some(target) = self.targets.get_mut(key) else {
                    return;
                };
                if target.listing != ListingState::Listed {
                    target.listing = ListingState::Listed;
                    log_target_change(&record, "back", actions);
                }
            }
        }
        self.record_listed_cold(now, key, record.cold_left, actions);
        if let Some(target) = self.targets.get_mut(key) {
            target.record = record;
        }
    }

    /// Marks a target as no longer listed.
    pub(super) fn handle_target_unlisted(
        &mut self,
        now: Instant,
        name: &str,
        actions: &mut Vec<RelayAction>,
    ) {
        let Some(key) = self.targets.find_name(name) else {
            return;
        };
        let until = self.unlisted_until(now);
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        if target.listing == ListingState::Listed {
            target.listing = ListingState::Unlisted { since: now, until };
            log_target_change(&target.record, "unlisted", actions);
            let kind = TimerKind::Departure { target: key };
            self.timers.add(until, kind);
        }
    }

    /// Returns the time until which a target that is no longer listed is used without restriction.
    fn unlisted_until(&self, now: Instant) -> Instant {
        let default_until = now + self.options.tuning.drain_time.mul_f64(UNLISTED_SHARE);
        let latest = now + self.options.tuning.drain_time.mul_f64(MAX_SERVING_SHARE);
        self.relisted_by().map_or(default_until, |relisted_by| {
            relisted_by.min(latest).max(default_until)
        })
    }

    /// Returns the time by which all that exists is listed again, after the list was not reachable.
    pub(super) fn relisted_by(&self) -> Option<Instant> {
        self.list_regained_at.map(|regained| regained + RELIST_TIME)
    }

    /// Returns how long a leaving target is used if there is no other.
    pub(super) fn last_resort_time(&self) -> Duration {
        self.options.tuning.drain_time.mul_f64(LAST_RESORT_SHARE)
    }

    /// Marks a target as leaving, so that it is used only if there is no other, and schedules its
    /// removal.
    fn begin_departure(&mut self, now: Instant, key: TargetKey, actions: &mut Vec<RelayAction>) {
        let drain_time = self.options.tuning.drain_time;
        let until = now + self.last_resort_time();
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        let until = match target.listing {
            ListingState::Leaving { .. } | ListingState::Replaced => return,
            ListingState::Listed => until,
            ListingState::Unlisted { since, .. } => {
                until.min(since + drain_time.mul_f64(MAX_SERVING_SHARE))
            }
        };
        target.listing = ListingState::Leaving { until };
        log_target_change(&target.record, "leaving", actions);
        let kind = TimerKind::Departure { target: key };
        self.timers.add(until, kind);
    }

    /// Removes a target whose departure is due, unless it has been listed again.
    pub(super) fn end_departure(
        &mut self,
        now: Instant,
        key: TargetKey,
        actions: &mut Vec<RelayAction>,
    ) {
        let Some(target) = self.targets.get(key) else {
            return;
        };
        match target.listing {
            ListingState::Unlisted { until, .. } if until <= now => {
                self.begin_departure(now, key, actions);
            }
            ListingState::Leaving { until } if until <= now => self.forget_target(key, actions),
            ListingState::Replaced => self.forget_target(key, actions),
            ListingState::Listed | ListingState::Unlisted { .. } | ListingState::Leaving { .. } => {
            }
        }
    }

    /// Removes a target; attempts in flight at the target run to their end.
    fn forget_target(&mut self, key: TargetKey, actions: &mut Vec<RelayAction>) {
        let Some(target) = self.targets.remove(key) else {
            return;
        };
        log_target_change(&target.record, "forgotten", actions);
        if let Some(service) = self.services.get_mut(&target.record.service) {
            service.remove_target(key);
        }
        actions.push(RelayAction::ForgetTarget { target: key });
    }
}

fn log_target_change(record: &TargetRecord, state: &'static str, actions: &mut Vec<RelayAction>) {
    actions.push(RelayAction::Decided(RelayDecision::TargetChanged {
        target: record.name.clone(),
        state,
    }));
}
