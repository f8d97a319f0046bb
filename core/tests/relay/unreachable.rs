//! Unreachable targets do not delay requests once they are detected.

use std::time::Duration;

use yuccalift_core::relay::{
    ProbeOutcome, RelayAnswer, RelayEvent, RelayRefusal, RepeatKind, RouteEntry, TargetOutcome,
};
use yuccalift_testkit::cases;

use crate::support::{RelayHarness, TIMEOUT, forward_route, gather_route, ms, success, target};

/// Time-out of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

fn harness() -> RelayHarness {
    let route = forward_route("orders", RepeatKind::Idempotent, 2);
    let targets = ["a", "b"].map(|name| target(name, "orders"));
    RelayHarness::new(vec![route], targets.into())
}

/// Returns the outcome of probing a target.
fn probe_outcome(reachable: bool) -> ProbeOutcome {
    if reachable {
        ProbeOutcome::Reached
    } else {
        ProbeOutcome::NoResponse
    }
}

fn answer_probe(harness: &mut RelayHarness, reachable: bool) {
    let probe = *harness.probes.last().expect("the target is probed");
    let target = probe.target;
    harness.feed(RelayEvent::Probed {
        target,
        outcome: probe_outcome(reachable),
    });
}

/// Sends requests, which all succeed, and returns the names of their targets.
fn serving_targets(harness: &mut RelayHarness, requests: u32) -> Vec<Box<str>> {
    let mut names = Vec::new();
    for _ in 0..requests {
        harness.submit("to-orders", TIMEOUT);
        let order = harness.last_send().clone();
        harness.end(order.attempt, success(b""));
        names.push(order.name);
        harness.advance(ms(20));
    }
    names
}

/// A target that refused a connection is probed periodically, and receives requests again only
/// after a probe has succeeded.
fn unreachable_target_is_probed() {
    let mut harness = harness();
    harness.submit("to-orders", TIMEOUT);
    let unreachable = harness.last_send().clone();
    harness.end(unreachable.attempt, TargetOutcome::NotSent);
    let retry = harness.last_send().attempt;
    harness.end(retry, success(b""));
    for _ in 0..4 {
        let names = serving_targets(&mut harness, 40);
        assert!(!names.contains(&unreachable.name), "it is unreachable");
        answer_probe(&mut harness, false);
    }
    let probe_count = harness.probes.len();
    assert!(
        (4..20).contains(&probe_count),
        "it was probed {probe_count} times in 3.2 s"
    );
    harness.advance(ms(4_000));
    answer_probe(&mut harness, true);
    let names = serving_targets(&mut harness, 10);
    assert!(names.contains(&unreachable.name), "it serves again");
}

/// A target with an overdue answer is probed: an unreachable one is detected, and a slow one stays
/// in use.
fn overdue_target_is_probed(reachable: bool) {
    let mut harness = harness();
    harness.warm_up("to-orders", 80, ms(5));
    let request = harness.submit("to-orders", TIMEOUT);
    let overdue = harness.last_send().clone();
    harness.advance(ms(60));
    let second = harness.last_send().attempt;
    assert_ne!(second, overdue.attempt, "the request is hedged");
    harness.end(second, success(b""));
    assert!(harness.has_ended(request));
    harness.advance(ms(300));
    harness.end(overdue.attempt, TargetOutcome::Abandoned { sent: true });
    answer_probe(&mut harness, reachable);
    harness.advance(ms(20_000));
    let names = serving_targets(&mut harness, 12);
    assert_eq!(names.contains(&overdue.name), reachable);
}

/// Three targets of a disconnected data centre are detected as unreachable at different times. When
/// the first one is reachable again, the others are probed at once.
fn first_recovery_probes_the_others() {
    let services = ["s0", "s1", "s2"];
    let targets = services.map(|name| target(name, name));
    let mut harness = RelayHarness::new(vec![gather_route(&services, 0.1)], targets.into());
    harness.submit("gather", TIMEOUT);
    let mut answered = 0;
    for (_, order) in harness.sends.clone() {
        harness.end(order.attempt, TargetOutcome::NotSent);
        answered = answer_probes_for(&mut harness, ms(150), answered, false);
    }
    answered = answer_probes_for(&mut harness, Duration::from_secs(6), answered, false);
    while harness.probes.len() == answered {
        harness.advance(ms(1));
    }
    let first = answered;
    answered = answer_probes_for(&mut harness, ms(5), answered, true);
    assert_eq!(
        answered - first,
        services.len(),
        "all are probed together with the first"
    );
}

/// Answers all probes for a time, starting at index `answered`; returns the number of probes that
/// have been answered in total.
fn answer_probes_for(
    harness: &mut RelayHarness,
    time: Duration,
    mut answered: usize,
    reachable: bool,
) -> usize {
    let end = harness.now + time;
    while harness.now < end {
        while let Some(probe) = harness.probes.get(answered).copied() {
            answered += 1;
            let target = probe.target;
            harness.feed(RelayEvent::Probed {
                target,
                outcome: probe_outcome(reachable),
            });
        }
        harness.advance(ms(1));
    }
    answered
}

/// A data centre is disconnected silently while requests are in flight there. The requests end as
/// soon as that is detected, not at their deadline, and the next requests are refused at once.
fn check_silent_data_centre(min_coverage: f64) {
    let services = ["s0", "s1", "s2"];
    let targets = services.map(|name| target(name, name));
    let route = RouteEntry {
        timeout: Duration::from_secs(10),
        ..gather_route(&services, min_coverage)
    };
    let mut harness = RelayHarness::new(vec![route], targets.into());
    harness.warm_up("gather", 30, ms(15));
    let probes_before = harness.probes.len();
    let started_at = harness.now;
    let request = harness.submit("gather", Duration::from_secs(3));
    let (mut answered, mut cancelled) = (probes_before, 0);
    while !harness.has_ended(request) {
        harness.advance(CONNECT_TIMEOUT);
        answered = answer_probes_for(&mut harness, ms(1), answered, false);
        while let Some(attempt) = harness.cancels.get(cancelled).copied() {
            cancelled += 1;
            harness.end(attempt, TargetOutcome::Abandoned { sent: true });
        }
    }
    let took = harness.end_of_request(request).at - started_at;
    assert!(took <= ms(600), "the request took {took:?}");
    let next = harness.submit("gather", Duration::from_secs(3));
    let refused = &harness.end_of_request(next).result;
    assert!(
        matches!(refused, Err(RelayRefusal::NotRun { .. })),
        "{refused:?}"
    );
}

/// A slow target's attempt is not cancelled.
fn slow_attempt_is_not_cancelled() {
    let mut harness = RelayHarness::new(
        vec![forward_route("orders", RepeatKind::Idempotent, 2)],
        vec![target("a", "orders")],
    );
    harness.warm_up("to-orders", 80, ms(5));
    let request = harness.submit("to-orders", TIMEOUT);
    let slow = harness.last_send().attempt;
    answer_probes_for(&mut harness, ms(400), 0, true);
    assert!(
        (1..=2).contains(&harness.probes.len()),
        "it is probed, but not repeatedly"
    );
    assert!(harness.cancels.is_empty());
    harness.end(slow, success(b""));
    let result = &harness.end_of_request(request).result;
    assert!(
        matches!(result, Ok(RelayAnswer::Forwarded(_))),
        "{result:?}"
    );
}

/// A target falls silent while it runs an order. The search that waits for it as well is given up; the
/// order is neither cancelled nor sent elsewhere, and its answer counts when the target is back.
fn order_at_silent_target_is_kept() {
    let search = forward_route("orders", RepeatKind::Idempotent, 2);
    let order = RouteEntry {
        name: "order".into(),
        repeat: RepeatKind::NonIdempotent,
        ..search.clone()
    };
    let mut harness = RelayHarness::new(vec![search, order], vec![target("a", "orders")]);
    harness.warm_up("to-orders", 80, ms(5));
    let order = harness.submit("order", TIMEOUT);
    let order_attempt = harness.last_send().attempt;
    harness.submit("to-orders", TIMEOUT);
    let search_attempt = harness.last_send().attempt;
    harness.feed(RelayEvent::TargetListed(target("b", "orders")));
    answer_probes_for(&mut harness, ms(400), 0, false);
    assert!(harness.cancels.contains(&search_attempt), "the search ends");
    assert!(
        !harness.cancels.contains(&order_attempt),
        "the order goes on"
    );
    let sent = harness
        .sends
        .iter()
        .filter(|(_, sent)| sent.request == order);
    assert_eq!(sent.count(), 1, "the order is sent nowhere else");
    harness.end(order_attempt, success(b""));
    let result = &harness.end_of_request(order).result;
    assert!(
        matches!(result, Ok(RelayAnswer::Forwarded(_))),
        "{result:?}"
    );
}

cases! {
    an_order_at_a_silent_target_is_kept: order_at_silent_target_is_kept();
    a_silent_data_centre_delays_no_request: check_silent_data_centre(1.0);
    a_silent_data_centre_delays_no_partial_answer: check_silent_data_centre(0.5);
    a_slow_target_keeps_its_attempt: slow_attempt_is_not_cancelled();
    the_first_reachable_target_of_a_data_centre_triggers_probes: first_recovery_probes_the_others();
    an_unreachable_target_receives_no_requests: unreachable_target_is_probed();
    an_overdue_target_that_is_unreachable_is_suspended: overdue_target_is_probed(false);
    an_overdue_target_that_is_slow_stays_in_use: overdue_target_is_probed(true);
}
