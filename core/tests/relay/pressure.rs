//! Surplus attempts are cancelled for requests that wait for capacity.

use yuccalift_core::relay::{RelayEvent, RepeatKind, TargetOutcome};
use yuccalift_testkit::cases;

use crate::support::{RelayHarness, TIMEOUT, forward_route, ms, success, target};

/// Creates a relay with one target, which runs three requests whose callers have disconnected.
fn harness_with_surplus() -> RelayHarness {
    let route = forward_route("orders", RepeatKind::Idempotent, 2);
    let mut harness = RelayHarness::new(vec![route], vec![target("a", "orders")]);
    for _ in 0..3 {
        let request = harness.submit("to-orders", TIMEOUT);
        harness.feed(RelayEvent::CallerDisconnected { request });
        harness.advance(ms(1));
    }
    assert!(
        harness.cancels.is_empty(),
        "surplus attempts run on at first"
    );
    harness
}

/// Surplus attempts run to their end while there is capacity, which saves the target a new
/// connection. For a request that finds no capacity, the oldest one is cancelled at once.
fn surplus_is_cancelled() {
    let mut harness = harness_with_surplus();
    let request = harness.submit("to-orders", TIMEOUT);
    let oldest = harness.sends[0].1.attempt;
    assert_eq!(harness.cancels, [oldest], "only one is cancelled");
    harness.end(oldest, TargetOutcome::Abandoned { sent: true });
    let order = harness.last_send().clone();
    assert_eq!(order.request, request, "the freed capacity is used");
    harness.end(order.attempt, success(b""));
    assert!(harness.has_ended(request));
}

/// Each waiting request cancels one surplus attempt, and no awaited attempt is ever cancelled.
fn awaited_attempts_are_kept() {
    let mut harness = harness_with_surplus();
    for _ in 0..2 {
        harness.submit("to-orders", TIMEOUT);
    }
    assert_eq!(harness.cancels.len(), 2);
    let mut full = RelayHarness::new(
        vec![forward_route("orders", RepeatKind::Idempotent, 2)],
        vec![target("a", "orders")],
    );
    for _ in 0..5 {
        full.submit("to-orders", TIMEOUT);
    }
    assert!(full.cancels.is_empty());
}

/// The attempt of a non-idempotent request runs on after its caller disconnected; cancelling it
/// would leave its outcome unknown.
fn non_idempotent_attempts_are_kept() {
    let route = forward_route("orders", RepeatKind::NonIdempotent, 2);
    let mut harness = RelayHarness::new(vec![route], vec![target("a", "orders")]);
    for _ in 0..3 {
        let request = harness.submit("to-orders", TIMEOUT);
        harness.feed(RelayEvent::CallerDisconnected { request });
    }
    harness.submit("to-orders", TIMEOUT);
    harness.advance(ms(400));
    assert!(harness.cancels.is_empty());
}

/// The connections of a target are divided among all daemons: the more daemons, the fewer requests
/// each may have in flight, but at least one.
fn check_in_flight_limit(daemons: u32, in_flight: usize) {
    let targets = vec![target("a", "orders")];
    let route = forward_route("orders", RepeatKind::Idempotent, 1);
    let mut harness = RelayHarness::new(vec![route], targets);
    harness.feed(RelayEvent::DaemonCountChanged(daemons));
    for _ in 0..20 {
        harness.submit("to-orders", TIMEOUT);
    }
    assert_eq!(harness.sends.len(), in_flight);
}

cases! {
    few_daemons_divide_connections_by_the_presumed_count: check_in_flight_limit(3, 3);
    more_daemons_have_fewer_connections_each: check_in_flight_limit(15, 2);
    many_daemons_have_one_connection_each: check_in_flight_limit(88, 1);
    a_non_idempotent_attempt_is_not_cancelled: non_idempotent_attempts_are_kept();
    a_surplus_attempt_is_cancelled_for_a_waiting_request: surplus_is_cancelled();
    an_awaited_attempt_is_not_cancelled: awaited_attempts_are_kept();
}
