//! What must hold after each event.

use super::RelayEngine;
use super::request::{LiveAttempt, RequestState};

/// Asserts the invariants that are cheap to check.
///
/// # Panics
///
/// It panics with the invariant's name if one is broken.
pub(super) fn check(relay: &RelayEngine) {
    if !cfg!(debug_assertions) {
        return;
    }
    for state in relay.requests.iter() {
        check_request(relay, state);
    }
    let live = relay.requests.attempts().count();
    let in_flight: usize = relay
        .targets
        .iter()
        .map(|target| target.in_flight.len())
        .sum();
    assert!(
        in_flight <= live,
        "invariant: every flight at a target is a live attempt"
    );
    for service in relay.services.iter() {
        assert!(
            service.parked.is_sorted(),
            "invariant: waiting legs are in order"
        );
    }
}

fn check_request(relay: &RelayEngine, state: &RequestState) {
    for leg in &state.legs {
        let used = leg.possible_runs + leg.in_flight.len() as u32;
        assert!(
            used <= state.route.attempts.max(1),
            "invariant: no more attempts may run than the route allows"
        );
        assert!(
            !state.is_at_most_once() || used <= 1,
            "invariant: a request that can't be repeated is in flight once at the most"
        );
        for attempt in &leg.in_flight {
            let known = relay.requests.attempt(*attempt);
            assert!(
                known.is_some_and(LiveAttempt::is_awaited),
                "invariant: a leg's attempts are live and wanted"
            );
        }
    }
}
