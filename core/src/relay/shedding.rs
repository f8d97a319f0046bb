//! Leaving overloaded services out of merged answers.
//!
//! The load: a few services of a merged route have lost so many targets, or have so many slow ones,
//! that what is left has less room than every request needs. If all requests ask all services, the
//! queues of those few grow until none of their parts comes in time, and no request has enough parts.
//! A request that may lack a part does without one of them instead, so that the others' parts come in
//! time. See `docs/PLATFORM.md`, "Overloaded services".

use std::time::{Duration, Instant};

use super::request::{LegStage, RequestState};
use super::{RelayEngine, RequestKey};

/// From how many usual latencies on a part counts as slow: so long it has mostly waited in a queue.
const SLOW_LATENCIES: f64 = 2.0;
/// By how much one part moves the share of requests that leave its service out: twenty slow parts
/// more than quick ones take it from nothing to all.
const SHARE_STEP: f64 = 0.05;
/// The largest share of requests that leave a service out; the others show when it has room again.
const MOST_LEFT_OUT: f64 = 0.75;

/// How overloaded a service seems to be, by what its parts have lately taken.
///
/// The share rises while most parts are slow and falls while most are not, so it settles where the
/// service is about to be overloaded. One target of several that is slow, or hangs, doesn't raise it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServicePressure {
    /// The share of requests that leave the service out.
    share: f64,
    /// The part of a request that is due to leave it out; at 1 one does.
    due: f64,
}

impl ServicePressure {
    /// Takes in a part that came after `took`, or had not come by then.
    fn note_part(&mut self, took: Duration, usual: Duration) {
        let slow = took > usual.mul_f64(SLOW_LATENCIES);
        let step = if slow { SHARE_STEP } else { -SHARE_STEP };
        self.share = (self.share + step).clamp(0.0, MOST_LEFT_OUT);
        if self.share == 0.0 {
            self.due = 0.0;
        }
    }

    /// Counts a request, and tells how much it is due to leave the service out.
    fn count_request(&mut self) -> f64 {
        self.due = (self.due + self.share).min(2.0);
        self.due
    }
}

impl RelayEngine {
    /// Leaves services out of a new request as far as it may lack parts: those that are due most.
    pub(super) fn leave_out_overloaded(&mut self, request: &mut RequestState) {
        let spare = request.legs.len() - request.least_answered();
        if !request.is_gather() || spare == 0 {
            return;
        }
        let mut due: Vec<(f64, usize)> = Vec::new();
        for (place, leg) in request.legs.iter().enumerate() {
            let Some(service) = self.services.get_mut(&leg.service) else {
                continue;
            };
            let share = service.pressure.count_request();
            if share >= 1.0 {
                due.push((share, place));
            }
        }
        due.sort_unstable_by(|left, right| right.0.total_cmp(&left.0));
        for (_, place) in due.into_iter().take(spare) {
            let leg = &mut request.legs[place];
            leg.stage = LegStage::Missing("overloaded");
            if let Some(service) = self.services.get_mut(&leg.service) {
                service.pressure.due -= 1.0;
            }
        }
    }

    /// Takes in how long a request's part has taken, answered or not.
    pub(super) fn note_part(&mut self, now: Instant, request: RequestKey, place: usize) {
        let Some(state) = self.requests.get(request) else {
            return;
        };
        let paused = self.resumed_at.is_some_and(|resumed| state.arrived < resumed);
        if paused || !state.is_gather() {
            return;
        }
        let took = now.saturating_duration_since(state.arrived);
        let usual = self.latencies.usual(&state.route);
        let service = &state.legs[place].service;
        if let Some(service) = self.services.get_mut(service) {
            service.pressure.note_part(took, usual);
        }
    }

    /// Takes in the parts that a request ends without.
    pub(super) fn note_open_parts(&mut self, now: Instant, request: RequestKey) {
        let Some(state) = self.requests.get(request) else {
            return;
        };
        let usual = self.latencies.usual(&state.route);
        let waited = now.saturating_duration_since(state.arrived);
        if waited <= usual.mul_f64(SLOW_LATENCIES) {
            return;
        }
        let open = state.legs.iter().enumerate();
        let open = open.filter(|(_, leg)| leg.is_open());
        let open: Vec<usize> = open.map(|(place, _)| place).collect();
        for place in open {
            self.note_part(now, request, place);
        }
    }
}
