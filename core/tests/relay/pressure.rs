//! Work that nobody waits for any more gives way to work that somebody does.

use yuccalift_core::relay::{RelayEvent, RepeatKind, TargetOutcome};
use yuccalift_testkit::cases;

use crate::support::{RelayHarness, TIMEOUT, forward_route, ms, success, target};

/// One target, with three requests in flight whose callers have gone.
fn harness_with_surplus() -> RelayHarness {
    let route = forward_route("orders", RepeatKind::Idempotent, 2);
    let mut harness = RelayHarness::new(vec![route], vec![target("a", "orders")]);
    for _ in 0..3 {
        let request = harness.submit("to-orders", TIMEOUT);
        harness.feed(RelayEvent::CallerGone { request });
        harness.advance(ms(1));
    }
    assert!(harness.cancels.is_empty(), "they may end by themselves");
    harness
}

/// With room elsewhere leftovers end by themselves, which saves the target a new connection; a
/// request that finds no room gets the place of the oldest at once.
fn surplus_is_cancelled() {
    let mut harness = harness_with_surplus();
    let request = harness.submit("to-orders", TIMEOUT);
    let oldest = harness.sends[0].1.attempt;
    assert_eq!(harness.cancels, [oldest], "just one gives way");
    harness.end(oldest, TargetOutcome::Abandoned { sent: true });
    let order = harness.last_send().clone();
    assert_eq!(order.request, request, "its place is taken");
    harness.end(order.attempt, success(b""));
    assert!(harness.has_ended(request));
}

/// Each waiting request takes one place, and no wanted attempt is ever given up.
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

/// An order whose caller has gone goes on to its end: to cut it off would leave its end unknown.
fn non_idempotent_attempts_are_kept() {
    let route = forward_route("orders", RepeatKind::NonIdempotent, 2);
    let mut harness = RelayHarness::new(vec![route], vec![target("a", "orders")]);
    for _ in 0..3 {
        let request = harness.submit("to-orders", TIMEOUT);
        harness.feed(RelayEvent::CallerGone { request });
    }
    harness.submit("to-orders", TIMEOUT);
    harness.advance(ms(400));
    assert!(harness.cancels.is_empty());
}

/// A target's connections are shared by all daemons: the more there are, the fewer requests each
/// may have in flight there, and never none.
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
