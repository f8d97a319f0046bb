//! Requests that crash the targets that run them, and harmless requests that resemble them.

use std::time::Duration;

use yuccalift_core::quarantine::{NoticeKind, QuarantineNotice};
use yuccalift_core::relay::{
    ProbeOutcome, RefusalCause, RelayAnswer, RelayEvent, RelayRefusal, RepeatKind, TargetOutcome,
};
use yuccalift_testkit::cases;

use crate::support::{RelayHarness, TIMEOUT, forward_route, gather_route, ms, success, target};

const TARGETS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
const CRASHING_REQUEST: u64 = 7;

fn harness() -> RelayHarness {
    let route = forward_route("orders", RepeatKind::Idempotent, 2);
    let targets = TARGETS.map(|name| target(name, "orders"));
    RelayHarness::new(vec![route], targets.into())
}

/// Ends every attempt sent since `from` as lost, and answers the resulting probes; returns the
/// number of attempts.
fn lose_all(harness: &mut RelayHarness, from: usize, crashed: bool) -> usize {
    let mut next = from;
    while let Some((_, order)) = harness.sends.get(next).cloned() {
        let probes = harness.probes.len();
        harness.end(order.attempt, TargetOutcome::Lost);
        while harness.probes.len() > probes {
            let probe = harness.probes.remove(probes);
            // A target that got no request has not crashed.
            let mut sends = harness.sends.iter();
            let crashed = crashed && sends.any(|(_, order)| order.target == probe.target);
            harness.feed(RelayEvent::Probed {
                target: probe.target,
                outcome: if crashed {
                    ProbeOutcome::Refused
                } else {
                    ProbeOutcome::Reached
                },
            });
        }
        next += 1;
    }
    next - from
}

/// A caller repeats a crashing request: it costs a few targets, not all of them.
fn few_targets_are_lost() {
    let mut harness = harness();
    let mut crashes = 0;
    for _ in 0..100 {
        let from = harness.sends.len();
        harness.fingerprint = Some(CRASHING_REQUEST);
        harness.submit("to-orders", TIMEOUT);
        harness.advance(ms(30));
        crashes += lose_all(&mut harness, from, true);
        harness.advance(ms(70));
    }
    assert!((1..=3).contains(&crashes), "{crashes} targets were lost");
    let held = |notice: &QuarantineNotice| matches!(notice.kind, NoticeKind::Held { .. });
    assert!(harness.notices.iter().any(held), "the peers are notified");
}

/// Other requests are served while one crashes targets.
fn other_requests_are_served() {
    let mut harness = harness();
    for _ in 0..10 {
        let from = harness.sends.len();
        harness.fingerprint = Some(CRASHING_REQUEST);
        harness.submit("to-orders", TIMEOUT);
        lose_all(&mut harness, from, true);
        harness.fingerprint = None;
        let request = harness.submit("to-orders", TIMEOUT);
        let attempt = harness.last_send().attempt;
        harness.end(attempt, success(b""));
        let end = harness.end_of_request(request);
        assert!(matches!(end.result, Ok(RelayAnswer::Forwarded(_))));
        harness.advance(ms(100));
    }
}

/// Answers that are lost in transit do not count as crashes, however many there are.
fn lost_answers_are_not_crashes() {
    let mut harness = harness();
    for _ in 0..50 {
        let from = harness.sends.len();
        harness.fingerprint = Some(CRASHING_REQUEST);
        harness.submit("to-orders", TIMEOUT);
        lose_all(&mut harness, from, false);
        harness.advance(ms(300));
    }
    assert!(harness.notices.is_empty(), "no request is suspected");
    let refused = harness.ends.iter().any(|end| {
        let cause = RefusalCause::Quarantined;
        matches!(end.result, Err(RelayRefusal::NotRun { cause: found, .. }) if found == cause)
    });
    assert!(!refused, "no request is quarantined");
}

/// A request that a peer quarantined is refused at once, and accepted again when the notice ends.
fn hold_of_a_peer_is_applied() {
    let mut harness = harness();
    harness.feed(RelayEvent::Notice(QuarantineNotice {
        fingerprint: CRASHING_REQUEST,
        kind: NoticeKind::Held {
            left: Duration::from_secs(60),
        },
    }));
    harness.fingerprint = Some(CRASHING_REQUEST);
    let request = harness.submit("to-orders", TIMEOUT);
    assert!(matches!(
        harness.end_of_request(request).result,
        Err(RelayRefusal::NotRun {
            cause: RefusalCause::Quarantined,
            ..
        })
    ));
    assert!(harness.sends.is_empty(), "nothing is sent");
    harness.feed(RelayEvent::NoticeEnded(CRASHING_REQUEST));
    harness.submit("to-orders", TIMEOUT);
    assert_eq!(harness.sends.len(), 1);
}

/// A merged request that crashes a target of each service costs the targets in use when the first
/// loss becomes known (an attempt and a hedge for each service), and two more.
fn losses_of_a_merged_request_are_bounded() {
    const SERVICES: [&str; 4] = ["s0", "s1", "s2", "s3"];
    let targets = SERVICES.iter().flat_map(|service| {
        ["a", "b", "c"].map(|name| target(&format!("{service}-{name}"), service))
    });
    let mut harness = RelayHarness::new(vec![gather_route(&SERVICES, 0.5)], targets.collect());
    let mut crashes = 0;
    for _ in 0..50 {
        let from = harness.sends.len();
        harness.fingerprint = Some(CRASHING_REQUEST);
        harness.submit("gather", TIMEOUT);
        harness.advance(ms(60));
        crashes += lose_all(&mut harness, from, true);
        harness.advance(ms(100));
    }
    assert!(
        crashes <= SERVICES.len() * 2 + 2,
        "{crashes} targets were lost"
    );
}

/// Some targets crash on their own while merged requests run on them. The requests are not
/// suspected, since the other targets that ran them are alive, and are retried elsewhere at once.
fn unrelated_crashes_raise_no_suspicion() {
    const SERVICES: [&str; 6] = ["s0", "s1", "s2", "s3", "s4", "s5"];
    let targets = SERVICES.iter().flat_map(|service| {
        ["a", "b", "c"].map(|name| target(&format!("{service}-{name}"), service))
    });
    let mut harness = RelayHarness::new(vec![gather_route(&SERVICES, 0.5)], targets.collect());
    let request = harness.submit("gather", TIMEOUT);
    let sent: Vec<_> = harness
        .sends
        .iter()
        .map(|(_, order)| order.clone())
        .collect();
    for order in &sent[..2] {
        harness.end(order.attempt, TargetOutcome::Lost);
    }
    assert_eq!(harness.sends.len(), SERVICES.len() + 2, "retried at once");
    for probe in std::mem::take(&mut harness.probes) {
        harness.feed(RelayEvent::Probed {
            target: probe.target,
            outcome: ProbeOutcome::Refused,
        });
    }
    assert!(harness.notices.is_empty(), "no request is suspected");
    let rest: Vec<_> = harness.sends[2..]
        .iter()
        .map(|(_, order)| order.attempt)
        .collect();
    for attempt in rest {
        harness.end(attempt, success(b"0123456789abcdef"));
    }
    let end = harness.end_of_request(request);
    assert!(matches!(
        end.result,
        Ok(RelayAnswer::Merged { missing: 0, .. })
    ));
}

cases! {
    unrelated_crashes_during_a_merged_request_raise_no_suspicion: unrelated_crashes_raise_no_suspicion();
    a_crashing_request_costs_few_targets: few_targets_are_lost();
    other_requests_are_served_during_crashes: other_requests_are_served();
    lost_answers_raise_no_suspicion: lost_answers_are_not_crashes();
    a_request_held_by_a_peer_is_refused: hold_of_a_peer_is_applied();
    a_merged_crashing_request_costs_few_targets: losses_of_a_merged_request_are_bounded();
}
