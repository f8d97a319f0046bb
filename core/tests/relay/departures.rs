//! Targets that drain, leave, return, restart or lose their address.

use std::time::Duration;

use yuccalift_core::relay::{
    ProbeOutcome, RelayEvent, RepeatKind, TargetOutcome, TargetPhase, TargetRecord,
};
use yuccalift_testkit::cases;

use crate::support::{DRAIN_TIME, RelayHarness, TIMEOUT, forward_route, ms, success, target};

fn harness(names: &[&str]) -> RelayHarness {
    let route = forward_route("orders", RepeatKind::Idempotent, 2);
    let targets = names.iter().map(|name| target(name, "orders"));
    RelayHarness::new(vec![route], targets.collect())
}

fn draining(name: &str) -> RelayEvent {
    RelayEvent::TargetListed(TargetRecord {
        phase: TargetPhase::Draining,
        ..target(name, "orders")
    })
}

fn unlisted(name: &str) -> RelayEvent {
    let name = name.into();
    RelayEvent::TargetUnlisted { name }
}

/// Returns the name of the target that the next request is sent to; the target answers at once.
fn next_target(harness: &mut RelayHarness) -> Option<Box<str>> {
    next_target_after(harness, Duration::ZERO)
}

/// Returns the name of the target that the next request is sent to; the target answers after
/// `took`.
fn next_target_after(harness: &mut RelayHarness, took: Duration) -> Option<Box<str>> {
    let sent = harness.sends.len();
    harness.submit("to-orders", TIMEOUT);
    let (_, order) = harness.sends.get(sent)?.clone();
    harness.advance(took);
    harness.end(order.attempt, success(b""));
    Some(order.name)
}

/// A leaving target receives no requests while there is another.
fn leaving_target_is_avoided(event: RelayEvent) {
    let mut harness = harness(&["a", "b"]);
    harness.feed(event);
    for _ in 0..20 {
        assert_eq!(next_target(&mut harness).as_deref(), Some("b"));
        harness.advance(ms(10));
    }
}

/// The only target is used for a short time after it announced its departure; the announcement may
/// have taken three fifths of the drain time to arrive.
fn leaving_target_is_the_last_resort(event: RelayEvent) {
    let mut harness = harness(&["a"]);
    harness.feed(event);
    assert_eq!(next_target(&mut harness).as_deref(), Some("a"));
    harness.advance(DRAIN_TIME * 2 / 5);
    assert_eq!(next_target(&mut harness), None, "it is no longer used");
}

/// While the list is unreachable, a target may be missing only because its listing expired. It is
/// used without restriction for a while, then only if there is no other, and never after its drain
/// time.
fn unlisted_target_is_used_briefly() {
    let mut harness = harness(&["a", "b"]);
    harness.feed(unlisted("a"));
    harness.advance(DRAIN_TIME / 20);
    // A target that answers at once is better than the other one, so answers take a usual time.
    let took = ms(20);
    let names: Vec<_> = (0..6)
        .map(|_| next_target_after(&mut harness, took))
        .collect();
    assert!(names.contains(&Some("a".into())), "{names:?}");
    harness.advance(DRAIN_TIME / 5);
    let names: Vec<_> = (0..6).map(|_| next_target(&mut harness)).collect();
    assert!(!names.contains(&Some("a".into())), "{names:?}");
}

fn only_unlisted_target_is_used_within_drain_time() {
    let mut harness = harness(&["a"]);
    harness.feed(unlisted("a"));
    harness.advance(DRAIN_TIME * 7 / 20);
    assert_eq!(next_target(&mut harness).as_deref(), Some("a"));
    harness.advance(DRAIN_TIME / 10);
    assert_eq!(next_target(&mut harness), None);
}

fn expired_target_returns() {
    let mut harness = harness(&["a"]);
    harness.feed(unlisted("a"));
    harness.advance(ms(1_000));
    harness.feed(RelayEvent::TargetListed(target("a", "orders")));
    harness.advance(ms(5_000));
    assert_eq!(next_target(&mut harness).as_deref(), Some("a"));
}

/// A target that restarted under the same name has a new key and no history.
fn restarted_target_gets_a_new_key() {
    let mut harness = harness(&["a"]);
    harness.submit("to-orders", TIMEOUT);
    let first = harness.last_send().target;
    harness.feed(RelayEvent::TargetListed(TargetRecord {
        started_ms: Some(2),
        ..target("a", "orders")
    }));
    harness.submit("to-orders", TIMEOUT);
    assert_ne!(harness.last_send().target, first);
}

/// Another target answers at the address: the old one is not used until it is listed again.
fn replaced_target_is_not_used() {
    let mut harness = harness(&["a", "b"]);
    harness.submit("to-orders", TIMEOUT);
    let order = harness.last_send().clone();
    harness.end(order.attempt, TargetOutcome::Misdirected);
    for _ in 0..10 {
        let next = next_target(&mut harness);
        assert_ne!(next.as_deref(), Some(order.name.as_ref()));
    }
}

/// An unreachable target receives no requests until a probe succeeds.
fn unreachable_target_is_suspended() {
    let mut harness = harness(&["a", "b"]);
    harness.submit("to-orders", TIMEOUT);
    let order = harness.last_send().clone();
    harness.end(order.attempt, TargetOutcome::NotSent);
    for _ in 0..5 {
        let next = next_target(&mut harness);
        assert_ne!(next.as_deref(), Some(order.name.as_ref()));
    }
    let mut is_used_again = false;
    for _ in 0..200 {
        harness.advance(Duration::from_millis(50));
        for probe in std::mem::take(&mut harness.probes) {
            harness.feed(RelayEvent::Probed {
                target: probe.target,
                outcome: ProbeOutcome::Reached,
            });
        }
        is_used_again |= next_target(&mut harness).as_deref() == Some(order.name.as_ref());
    }
    assert!(is_used_again, "it is used again after a probe");
}

/// After an outage of the list, a target is missing that could not renew its listing. It is used
/// without restriction until it should be listed again, and dropped like other targets then.
fn check_target_expired_in_an_outage(after: Duration, is_used: bool) {
    let mut harness = harness(&["a"]);
    harness.feed(RelayEvent::ListRegained);
    harness.feed(unlisted("a"));
    harness.advance(after);
    assert_eq!(next_target(&mut harness).is_some(), is_used);
}

/// Even after an outage of the list, a target is not used late in its drain time: its departure may
/// have taken the rest of that time to become known.
fn target_is_not_used_late_in_drain_time(regained_before: Duration) {
    let mut harness = harness(&["a"]);
    harness.feed(RelayEvent::ListRegained);
    harness.advance(regained_before);
    harness.feed(unlisted("a"));
    harness.feed(RelayEvent::ListRegained);
    harness.advance(DRAIN_TIME.mul_f64(0.76));
    assert_eq!(next_target(&mut harness), None);
}

/// Long after an outage of the list, a missing target is dropped after the regular time.
fn target_unlisted_long_after_outage_is_dropped() {
    let mut harness = harness(&["a"]);
    harness.feed(RelayEvent::ListRegained);
    harness.advance(ms(4_000));
    harness.feed(unlisted("a"));
    harness.advance(DRAIN_TIME / 2);
    assert_eq!(next_target(&mut harness), None);
}

cases! {
    a_target_that_expired_in_an_outage_is_still_used: check_target_expired_in_an_outage(ms(2_100), true);
    a_target_that_is_not_listed_again_is_dropped: check_target_expired_in_an_outage(ms(2_300), false);
    an_expired_target_is_not_used_late_in_its_drain_time: target_is_not_used_late_in_drain_time(ms(0));
    a_target_that_expires_after_the_outage_is_not_used_late: target_is_not_used_late_in_drain_time(ms(1_900));
    a_target_unlisted_long_after_the_outage_is_dropped: target_unlisted_long_after_outage_is_dropped();
    a_draining_target_receives_no_requests: leaving_target_is_avoided(draining("a"));
    a_draining_target_is_the_last_resort: leaving_target_is_the_last_resort(draining("a"));
    an_unlisted_target_is_used_for_a_short_time: unlisted_target_is_used_briefly();
    the_only_target_is_used_within_its_drain_time: only_unlisted_target_is_used_within_drain_time();
    an_expired_target_that_is_listed_again_is_used: expired_target_returns();
    a_restarted_target_is_a_new_incarnation: restarted_target_gets_a_new_key();
    a_target_whose_address_was_reused_is_not_used: replaced_target_is_not_used();
    an_unreachable_target_is_suspended: unreachable_target_is_suspended();
}
