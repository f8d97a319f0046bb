//! Work that nobody waits for any more gives way to work that somebody does.

use yuccalift_core::relay::{RelayEvent, RepeatKind, TargetOutcome};
use yuccalift_testkit::cases;

use crate::support::{RelayStage, TIMEOUT, forward_route, ms, success, target};

/// One target, with three requests in flight whose callers have gone.
fn stage_with_leftovers() -> RelayStage {
    let route = forward_route("orders", RepeatKind::Idempotent, 2);
    let mut stage = RelayStage::new(vec![route], vec![target("a", "orders")]);
    for _ in 0..3 {
        let request = stage.submit("to-orders", TIMEOUT);
        stage.feed(RelayEvent::CallerGone { request });
        stage.pass(ms(1));
    }
    assert!(stage.cancels.is_empty(), "they may end by themselves");
    stage
}

/// With room elsewhere leftovers end by themselves, which saves the target a new connection; a
/// request that finds no room gets the place of the oldest at once.
fn leftovers_give_way() {
    let mut stage = stage_with_leftovers();
    let request = stage.submit("to-orders", TIMEOUT);
    let oldest = stage.sends[0].1.attempt;
    assert_eq!(stage.cancels, [oldest], "just one gives way");
    stage.end(oldest, TargetOutcome::Abandoned { sent: true });
    let order = stage.last_send().clone();
    assert_eq!(order.request, request, "its place is taken");
    stage.end(order.attempt, success(b""));
    assert!(stage.has_ended(request));
}

/// Each waiting request takes one place, and no wanted attempt is ever given up.
fn wanted_work_does_not() {
    let mut stage = stage_with_leftovers();
    for _ in 0..2 {
        stage.submit("to-orders", TIMEOUT);
    }
    assert_eq!(stage.cancels.len(), 2);
    let mut full = RelayStage::new(
        vec![forward_route("orders", RepeatKind::Idempotent, 2)],
        vec![target("a", "orders")],
    );
    for _ in 0..5 {
        full.submit("to-orders", TIMEOUT);
    }
    assert!(full.cancels.is_empty());
}

/// An order whose caller has gone goes on to its end: to cut it off would leave its end unknown.
fn orders_do_not_give_way() {
    let route = forward_route("orders", RepeatKind::NonIdempotent, 2);
    let mut stage = RelayStage::new(vec![route], vec![target("a", "orders")]);
    for _ in 0..3 {
        let request = stage.submit("to-orders", TIMEOUT);
        stage.feed(RelayEvent::CallerGone { request });
    }
    stage.submit("to-orders", TIMEOUT);
    stage.pass(ms(400));
    assert!(stage.cancels.is_empty());
}

/// A target's connections are shared by all daemons: the more there are, the fewer requests each
/// may have in flight there, and never none.
fn fleet_shares_connections(daemons: u32, in_flight: usize) {
    let targets = vec![target("a", "orders")];
    let route = forward_route("orders", RepeatKind::Idempotent, 1);
    let mut stage = RelayStage::new(vec![route], targets);
    stage.feed(RelayEvent::DaemonCountChanged(daemons));
    for _ in 0..20 {
        stage.submit("to-orders", TIMEOUT);
    }
    assert_eq!(stage.sends.len(), in_flight);
}

cases! {
    a_few_daemons_share_connections_as_presumed: fleet_shares_connections(3, 3);
    more_daemons_have_fewer_each: fleet_shares_connections(15, 2);
    very_many_daemons_have_one_each: fleet_shares_connections(88, 1);
    an_order_does_not_give_way: orders_do_not_give_way();
    leftovers_give_way_to_who_waits: leftovers_give_way();
    wanted_work_does_not_give_way: wanted_work_does_not();
}
