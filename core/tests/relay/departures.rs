//! Targets that drain, leave, come back, start again or lose their address.

use std::time::Duration;

use yuccalift_core::relay::{
    ProbeOutcome, RelayEvent, RepeatKind, TargetOutcome, TargetPhase, TargetRecord,
};
use yuccalift_testkit::cases;

use crate::support::{DRAIN_TIME, RelayStage, TIMEOUT, forward_route, ms, success, target};

fn stage(names: &[&str]) -> RelayStage {
    let route = forward_route("orders", RepeatKind::Idempotent, 2);
    let targets = names.iter().map(|name| target(name, "orders"));
    RelayStage::new(vec![route], targets.collect())
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

/// The target that the next request is sent to.
fn next_target(stage: &mut RelayStage) -> Option<Box<str>> {
    let sent = stage.sends.len();
    stage.submit("to-orders", TIMEOUT);
    let (_, order) = stage.sends.get(sent)?.clone();
    stage.end(order.attempt, success(b""));
    Some(order.name)
}

/// A target that leaves gets nothing while another can answer.
fn leaving_gets_nothing(event: RelayEvent) {
    let mut stage = stage(&["a", "b"]);
    stage.feed(event);
    for _ in 0..20 {
        assert_eq!(next_target(&mut stage).as_deref(), Some("b"));
        stage.pass(ms(10));
    }
}

/// Alone, it is asked for a while after the news. The news itself may have taken three fifths of
/// the drain time to come here, so the while is short.
fn leaving_is_the_last_resort(event: RelayEvent) {
    let mut stage = stage(&["a"]);
    stage.feed(event);
    assert_eq!(next_target(&mut stage).as_deref(), Some("a"));
    stage.pass(DRAIN_TIME * 2 / 5);
    assert_eq!(next_target(&mut stage), None, "its time is over");
}

/// Where the list was out of reach an absent target may only have lapsed: it is asked as before
/// for a while, then for want of another, and never after its drain time.
fn unlisted_is_asked_for_a_while() {
    let mut stage = stage(&["a", "b"]);
    stage.feed(unlisted("a"));
    stage.pass(DRAIN_TIME / 20);
    let names: Vec<_> = (0..6).map(|_| next_target(&mut stage)).collect();
    assert!(names.contains(&Some("a".into())), "{names:?}");
    stage.pass(DRAIN_TIME / 5);
    let names: Vec<_> = (0..6).map(|_| next_target(&mut stage)).collect();
    assert!(!names.contains(&Some("a".into())), "{names:?}");
}

fn unlisted_alone_is_asked_within_its_drain_time() {
    let mut stage = stage(&["a"]);
    stage.feed(unlisted("a"));
    stage.pass(DRAIN_TIME * 7 / 20);
    assert_eq!(next_target(&mut stage).as_deref(), Some("a"));
    stage.pass(DRAIN_TIME / 10);
    assert_eq!(next_target(&mut stage), None);
}

fn lapsed_comes_back() {
    let mut stage = stage(&["a"]);
    stage.feed(unlisted("a"));
    stage.pass(ms(1_000));
    stage.feed(RelayEvent::TargetListed(target("a", "orders")));
    stage.pass(ms(5_000));
    assert_eq!(next_target(&mut stage).as_deref(), Some("a"));
}

/// A target that started again under its name knows nothing of before.
fn started_again_is_another() {
    let mut stage = stage(&["a"]);
    stage.submit("to-orders", TIMEOUT);
    let first = stage.last_send().target;
    stage.feed(RelayEvent::TargetListed(TargetRecord {
        started_ms: Some(2),
        ..target("a", "orders")
    }));
    stage.submit("to-orders", TIMEOUT);
    assert_ne!(stage.last_send().target, first);
}

/// Another target answers at the address: it is not asked there again until it is listed anew.
fn replaced_is_not_asked() {
    let mut stage = stage(&["a", "b"]);
    stage.submit("to-orders", TIMEOUT);
    let order = stage.last_send().clone();
    stage.end(order.attempt, TargetOutcome::Misdirected);
    for _ in 0..10 {
        let next = next_target(&mut stage);
        assert_ne!(next.as_deref(), Some(order.name.as_ref()));
    }
}

/// A target that can't be reached gets nothing until it gives a connection when it is asked.
fn unreachable_is_suspended() {
    let mut stage = stage(&["a", "b"]);
    stage.submit("to-orders", TIMEOUT);
    let order = stage.last_send().clone();
    stage.end(order.attempt, TargetOutcome::NotSent);
    for _ in 0..5 {
        let next = next_target(&mut stage);
        assert_ne!(next.as_deref(), Some(order.name.as_ref()));
    }
    let mut tried = false;
    for _ in 0..200 {
        stage.pass(Duration::from_millis(50));
        for probe in std::mem::take(&mut stage.probes) {
            stage.feed(RelayEvent::Probed {
                target: probe.target,
                outcome: ProbeOutcome::Reached,
            });
        }
        tried |= next_target(&mut stage).as_deref() == Some(order.name.as_ref());
    }
    assert!(tried, "it gets another chance");
}

/// The list was out of reach and is back, without a target that could not list itself meanwhile: it is
/// asked as before until it should be listed again, and given up like others then.
fn lapsed_in_an_outage_is_asked_on(after: Duration, asked: bool) {
    let mut stage = stage(&["a"]);
    stage.feed(RelayEvent::ListRegained);
    stage.feed(unlisted("a"));
    stage.pass(after);
    assert_eq!(next_target(&mut stage).is_some(), asked);
}

/// Whatever the list's outage lets hope, a target is asked no more when its drain time may be over
/// soon: the news may have been on its way for the rest of it.
fn nobody_is_asked_late(regained_before: Duration) {
    let mut stage = stage(&["a"]);
    stage.feed(RelayEvent::ListRegained);
    stage.pass(regained_before);
    stage.feed(unlisted("a"));
    stage.feed(RelayEvent::ListRegained);
    stage.pass(DRAIN_TIME.mul_f64(0.76));
    assert_eq!(next_target(&mut stage), None);
}

/// Long after the list is back a target that it lacks is given up as usual.
fn unlisted_later_is_given_up() {
    let mut stage = stage(&["a"]);
    stage.feed(RelayEvent::ListRegained);
    stage.pass(ms(4_000));
    stage.feed(unlisted("a"));
    stage.pass(DRAIN_TIME / 2);
    assert_eq!(next_target(&mut stage), None);
}

cases! {
    a_target_that_lapsed_in_an_outage_is_asked_on: lapsed_in_an_outage_is_asked_on(ms(2_100), true);
    a_target_that_stays_lapsed_is_given_up: lapsed_in_an_outage_is_asked_on(ms(2_300), false);
    a_target_that_lapsed_is_not_asked_late: nobody_is_asked_late(ms(0));
    a_target_that_lapsed_soon_after_is_not_asked_late: nobody_is_asked_late(ms(1_900));
    a_target_unlisted_later_is_given_up_as_usual: unlisted_later_is_given_up();
    a_draining_target_gets_nothing: leaving_gets_nothing(draining("a"));
    a_draining_target_is_the_last_resort: leaving_is_the_last_resort(draining("a"));
    an_unlisted_target_is_asked_for_a_while: unlisted_is_asked_for_a_while();
    an_unlisted_target_alone_is_asked_in_time: unlisted_alone_is_asked_within_its_drain_time();
    a_lapsed_target_comes_back: lapsed_comes_back();
    a_target_that_started_again_is_another: started_again_is_another();
    a_target_whose_address_is_another_is_not_asked: replaced_is_not_asked();
    a_target_out_of_reach_is_suspended: unreachable_is_suspended();
}
