//! Requests that crash the targets that run them, and those that only look like it.

use std::time::Duration;

use yuccalift_core::quarantine::{NoticeKind, QuarantineNotice};
use yuccalift_core::relay::{
    ProbeOutcome, RefusalCause, RelayAnswer, RelayEvent, RelayRefusal, RepeatKind, TargetOutcome,
};
use yuccalift_testkit::cases;

use crate::support::{RelayStage, TIMEOUT, forward_route, gather_route, ms, success, target};

const NAMES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
const POISON: u64 = 7;

fn stage() -> RelayStage {
    let route = forward_route("orders", RepeatKind::Idempotent, 2);
    let targets = NAMES.map(|name| target(name, "orders"));
    RelayStage::new(vec![route], targets.into())
}

/// Ends every attempt that was sent since `from` as one whose target broke it, and answers the
/// questions that follow; how many attempts there were.
fn break_all(stage: &mut RelayStage, from: usize, crashed: bool) -> usize {
    let mut next = from;
    while let Some((_, order)) = stage.sends.get(next).cloned() {
        let probes = stage.probes.len();
        stage.end(order.attempt, TargetOutcome::Lost);
        let asked = stage.probes.split_off(probes);
        for probe in asked {
            stage.feed(RelayEvent::Probed {
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

/// A caller sends the same request again and again: it costs a few targets, not all of them.
fn poison_costs_few_targets() {
    let mut stage = stage();
    let mut crashes = 0;
    for _ in 0..100 {
        let from = stage.sends.len();
        stage.fingerprint = Some(POISON);
        stage.submit("to-orders", TIMEOUT);
        stage.pass(ms(30));
        crashes += break_all(&mut stage, from, true);
        stage.pass(ms(70));
    }
    assert!((1..=3).contains(&crashes), "{crashes} targets were lost");
    let held = |notice: &QuarantineNotice| matches!(notice.kind, NoticeKind::Held { .. });
    assert!(stage.notices.iter().any(held), "the peers are told");
}

/// Other requests are served meanwhile.
fn others_are_served_beside_it() {
    let mut stage = stage();
    for _ in 0..10 {
        let from = stage.sends.len();
        stage.fingerprint = Some(POISON);
        stage.submit("to-orders", TIMEOUT);
        break_all(&mut stage, from, true);
        stage.fingerprint = None;
        let request = stage.submit("to-orders", TIMEOUT);
        let attempt = stage.last_send().attempt;
        stage.end(attempt, success(b""));
        let end = stage.end_of(request);
        assert!(matches!(end.result, Ok(RelayAnswer::Whole(_))));
        stage.pass(ms(100));
    }
}

/// Answers that are lost on the way are no crashes, however many there are.
fn lost_answers_are_no_crashes() {
    let mut stage = stage();
    for _ in 0..50 {
        let from = stage.sends.len();
        stage.fingerprint = Some(POISON);
        stage.submit("to-orders", TIMEOUT);
        break_all(&mut stage, from, false);
        stage.pass(ms(300));
    }
    assert!(stage.notices.is_empty(), "nobody is suspected");
    let refused = stage.ends.iter().any(|end| {
        let cause = RefusalCause::Quarantined;
        matches!(end.result, Err(RelayRefusal::NotRun { cause: found, .. }) if found == cause)
    });
    assert!(!refused, "nothing is held back");
}

/// What a peer holds back is refused here at once, and taken again when the peer's word ends.
fn a_peers_word_holds() {
    let mut stage = stage();
    stage.feed(RelayEvent::Noticed(QuarantineNotice {
        fingerprint: POISON,
        kind: NoticeKind::Held {
            left: Duration::from_secs(60),
        },
    }));
    stage.fingerprint = Some(POISON);
    let request = stage.submit("to-orders", TIMEOUT);
    assert!(matches!(
        stage.end_of(request).result,
        Err(RelayRefusal::NotRun {
            cause: RefusalCause::Quarantined,
            ..
        })
    ));
    assert!(stage.sends.is_empty(), "nothing is sent");
    stage.feed(RelayEvent::NoticeEnded(POISON));
    stage.submit("to-orders", TIMEOUT);
    assert_eq!(stage.sends.len(), 1);
}

/// A merged request that crashes a target of each service costs what is in flight when the first
/// loss is known, a send and a hedge for each service, and two more.
fn merged_poison_is_bounded() {
    const SERVICES: [&str; 4] = ["s0", "s1", "s2", "s3"];
    let targets = SERVICES.iter().flat_map(|service| {
        ["a", "b", "c"].map(|name| target(&format!("{service}-{name}"), service))
    });
    let mut stage = RelayStage::new(vec![gather_route(&SERVICES, 0.5)], targets.collect());
    let mut crashes = 0;
    for _ in 0..50 {
        let from = stage.sends.len();
        stage.fingerprint = Some(POISON);
        stage.submit("gather", TIMEOUT);
        stage.pass(ms(60));
        crashes += break_all(&mut stage, from, true);
        stage.pass(ms(100));
    }
    assert!(
        crashes <= SERVICES.len() * 2 + 2,
        "{crashes} targets were lost"
    );
}

/// Some targets crash by themselves while merged requests run on them: those requests are not
/// suspected, since the other targets that ran them live, and are sent elsewhere at once.
fn crashes_beside_the_way_throw_no_suspicion() {
    const SERVICES: [&str; 6] = ["s0", "s1", "s2", "s3", "s4", "s5"];
    let targets = SERVICES.iter().flat_map(|service| {
        ["a", "b", "c"].map(|name| target(&format!("{service}-{name}"), service))
    });
    let mut stage = RelayStage::new(vec![gather_route(&SERVICES, 0.5)], targets.collect());
    let request = stage.submit("gather", TIMEOUT);
    let sent: Vec<_> = stage.sends.iter().map(|(_, order)| order.clone()).collect();
    for order in &sent[..2] {
        stage.end(order.attempt, TargetOutcome::Lost);
    }
    assert_eq!(stage.sends.len(), SERVICES.len() + 2, "sent again at once");
    for probe in std::mem::take(&mut stage.probes) {
        stage.feed(RelayEvent::Probed {
            target: probe.target,
            outcome: ProbeOutcome::Refused,
        });
    }
    assert!(stage.notices.is_empty(), "nobody is suspected");
    let rest: Vec<_> = stage.sends[2..]
        .iter()
        .map(|(_, order)| order.attempt)
        .collect();
    for attempt in rest {
        stage.end(attempt, success(b"0123456789abcdef"));
    }
    let end = stage.end_of(request);
    assert!(matches!(
        end.result,
        Ok(RelayAnswer::Merged { missing: 0, .. })
    ));
}

cases! {
    crashes_beside_a_merged_request_throw_no_suspicion: crashes_beside_the_way_throw_no_suspicion();
    a_crashing_request_costs_few_targets: poison_costs_few_targets();
    others_are_served_beside_a_crashing_request: others_are_served_beside_it();
    lost_answers_throw_no_suspicion: lost_answers_are_no_crashes();
    what_a_peer_holds_back_is_refused: a_peers_word_holds();
    a_merged_crashing_request_is_bounded: merged_poison_is_bounded();
}
