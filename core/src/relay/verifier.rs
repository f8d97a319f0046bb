//! Checks the invariants of the relay after each event.

use super::RelayEngine;
use super::request::{LiveAttempt, RequestState};

/// Asserts the invariants that are cheap to check, in debug builds only.
///
/// # Panics
///
/// Panics with a description of the invariant if one is violated.
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
        "invariant: every attempt in flight at a target is a live attempt"
    );
    for service in relay.services.iter() {
        assert!(
            service.parked.is_sorted(),
            "invariant: parked legs are sorted"
        );
    }
}

fn check_request(relay: &RelayEngine, state: &RequestState) {
    for leg in &state.legs {
        let used = leg.possible_runs + leg.in_flight.len() as u32;
        assert!(
            used <= state.route.attempts.max(1),
            "invariant: a leg has no more attempts than the route allows"
        );
        assert!(
            !state.is_at_most_once() || used <= 1,
            "invariant: a non-idempotent request has at most one attempt that runs or may have run"
        );
        for attempt in &leg.in_flight {
            let known = relay.requests.attempt(*attempt);
            assert!(
                known.is_some_and(LiveAttempt::is_awaited),
                "invariant: the attempts of a leg are live and awaited"
            );
        }
    }
}
