//! Data centres that are evacuated: [`EvacuationSet`].
//!
//! Nothing is sent to the targets of an evacuated data centre. What is already running there runs to
//! its end. An evacuation that ends right after the platform's list was regained may be missing only
//! because the platform has lost it, and is kept until it could have been written again. See
//! `docs/DESIGN.md`, "Evacuated data centres".

use std::time::Instant;

use super::RelayEngine;
use super::action::{RefusalCause, RelayAction, RelayDecision};
use super::route::ServiceName;
use super::target::RelayTarget;
use super::target_hold::MAX_COLD_TIME;
use super::timers::TimerKind;
use crate::ids::DataCentreName;

/// The evacuated data centres, and those whose evacuation has ended.
#[derive(Debug, Default)]
pub(super) struct EvacuationSet {
    /// The evacuated data centres, sorted by name.
    data_centres: Vec<DataCentreName>,
    /// Those of them whose evacuation ends unless it begins again before then.
    unconfirmed: Vec<DataCentreName>,
    /// The data centres whose evacuation ended within [`MAX_COLD_TIME`] before the last change, with
    /// the time of the end, sorted by name.
    ended: Vec<(DataCentreName, Instant)>,
}

impl EvacuationSet {
    /// Returns whether nothing may be sent to the targets of a data centre.
    pub(super) fn contains(&self, data_centre: &str) -> bool {
        self.index(data_centre).is_ok()
    }

    /// Returns the time at which the last evacuation of a data centre ended, if it is not evacuated
    /// again and the end is known.
    pub(super) fn ended_at(&self, data_centre: &str) -> Option<Instant> {
        let index = self.ended_index(data_centre).ok()?;
        Some(self.ended[index].1)
    }

    /// Adds or removes a data centre; returns false if that changes nothing.
    fn set(&mut self, now: Instant, data_centre: &str, active: bool) -> bool {
        match (self.index(data_centre), active) {
            (Err(index), true) => self.data_centres.insert(index, data_centre.into()),
            (Ok(index), false) => drop(self.data_centres.remove(index)),
            (Ok(_), true) | (Err(_), false) => return false,
        }
        self.ended.retain(|(name, at)| {
            name.as_ref() != data_centre && now.saturating_duration_since(*at) < MAX_COLD_TIME
        });
        if !active && let Err(index) = self.ended_index(data_centre) {
            self.ended.insert(index, (data_centre.into(), now));
        }
        true
    }

    fn ended_index(&self, data_centre: &str) -> Result<usize, usize> {
        self.ended
            .binary_search_by(|(other, _)| other.as_ref().cmp(data_centre))
    }

    fn index(&self, data_centre: &str) -> Result<usize, usize> {
        self.data_centres
            .binary_search_by(|other| other.as_ref().cmp(data_centre))
    }
}

impl RelayEngine {
    /// Returns whether a target's data centre is evacuated, so that nothing may be sent to it. All
    /// senders use this function.
    pub(super) fn is_evacuated(&self, target: &RelayTarget) -> bool {
        self.evacuations.contains(&target.record.data_centre)
    }

    /// Handles that an evacuation has appeared in the platform's list or is missing from it.
    pub(super) fn handle_evacuation(
        &mut self,
        now: Instant,
        data_centre: &str,
        active: bool,
        actions: &mut Vec<RelayAction>,
    ) {
        let unconfirmed = &mut self.evacuations.unconfirmed;
        unconfirmed.retain(|name| name.as_ref() != data_centre);
        let relisted_by = self.relisted_by().filter(|until| now < *until);
        match relisted_by.filter(|_| !active && self.evacuations.contains(data_centre)) {
            Some(until) => {
                self.evacuations.unconfirmed.push(data_centre.into());
                self.timers.add(until, TimerKind::EvacuationCheck);
            }
            None => self.change_evacuation(now, data_centre, active, actions),
        }
    }

    /// Ends the evacuations that have not begun again in time.
    pub(super) fn end_unconfirmed_evacuations(
        &mut self,
        now: Instant,
        actions: &mut Vec<RelayAction>,
    ) {
        if let Some(until) = self.relisted_by().filter(|until| now < *until) {
            self.timers.add(until, TimerKind::EvacuationCheck);
            return;
        }
        for data_centre in std::mem::take(&mut self.evacuations.unconfirmed) {
            self.change_evacuation(now, &data_centre, false, actions);
        }
    }

    /// Begins or ends the evacuation of a data centre.
    fn change_evacuation(
        &mut self,
        now: Instant,
        data_centre: &str,
        active: bool,
        actions: &mut Vec<RelayAction>,
    ) {
        if !self.evacuations.set(now, data_centre, active) {
            return;
        }
        actions.push(RelayAction::Decided(RelayDecision::EvacuationChanged {
            data_centre: data_centre.into(),
            active,
            evacuated: self.evacuations.data_centres.len(),
        }));
        if !active {
            self.presume_cold(now, data_centre);
        }
        for service in self.services_in(data_centre) {
            self.dispatch_parked(now, &service, actions);
        }
        if active {
            self.abandon_evacuated_legs(now, actions);
        } else {
            // Probes that came due during the evacuation were not sent.
            self.probe_data_centre(data_centre, actions);
        }
    }

    /// Returns the services that have targets in a data centre.
    fn services_in(&self, data_centre: &str) -> Vec<ServiceName> {
        let targets = self.targets.iter();
        let mut services: Vec<ServiceName> = targets
            .filter(|target| target.record.data_centre.as_ref() == data_centre)
            .map(|target| target.record.service.clone())
            .collect();
        services.sort_unstable();
        services.dedup();
        services
    }

    /// Abandons the legs that wait for a retry and have evacuated targets only.
    fn abandon_evacuated_legs(&mut self, now: Instant, actions: &mut Vec<RelayAction>) {
        let mut waiting = Vec::new();
        for state in self.requests.iter() {
            for (leg_index, leg) in state.legs.iter().enumerate() {
                let waits = leg.is_open() && leg.in_flight.is_empty();
                if waits && self.is_service_evacuated(&leg.service) {
                    waiting.push((state.key, leg_index));
                }
            }
        }
        for (request, leg_index) in waiting {
            self.abandon_leg(request, leg_index, RefusalCause::Evacuated.as_str());
            self.finish_if_settled(now, request, actions);
        }
    }

    /// Returns why a service has no target that a request may be sent to.
    pub(super) fn unavailable_cause(&self, now: Instant, service: &str) -> RefusalCause {
        if self.is_service_evacuated(service) {
            RefusalCause::Evacuated
        } else if self.is_held_cold(now, service) {
            RefusalCause::Cold
        } else {
            RefusalCause::NoTarget
        }
    }

    /// Returns whether a service has targets, and all of them are in evacuated data centres.
    fn is_service_evacuated(&self, service: &str) -> bool {
        let Some(service) = self.services.get(service) else {
            return false;
        };
        let targets = service.targets.iter();
        let mut targets = targets.filter_map(|key| self.targets.get(*key)).peekable();
        targets.peek().is_some() && targets.all(|target| self.is_evacuated(target))
    }
}
