//! Evacuated data centres: what is sent, retried, parked, probed and refused.

use std::time::Duration;

use yuccalift_core::relay::{
    ProbeOutcome, RefusalCause, RelayAnswer, RelayDecision, RelayEvent, RelayRefusal, RepeatKind,
    RequestKey, TargetOutcome, TargetRecord,
};
use yuccalift_testkit::cases;

use crate::support::{RelayHarness, TIMEOUT, forward_route, gather_route, ms, success, target};

fn target_in(data_centre: &str, service: &str) -> TargetRecord {
    TargetRecord {
        data_centre: data_centre.into(),
        ..target(&format!("{service}-{data_centre}"), service)
    }
}

/// Creates a relay with a service that has a target in each of these data centres.
fn relay_with(data_centres: &[&str], repeat: RepeatKind) -> RelayHarness {
    let targets = data_centres.iter().map(|name| target_in(name, "s0"));
    RelayHarness::new(vec![forward_route("s0", repeat, 2)], targets.collect())
}

fn evacuate(harness: &mut RelayHarness, data_centre: &str, active: bool) {
    harness.feed(RelayEvent::EvacuationChanged {
        data_centre: data_centre.into(),
        active,
    });
}

fn names_sent(harness: &RelayHarness) -> Vec<&str> {
    let sends = harness.sends.iter();
    sends.map(|(_, order)| order.name.as_ref()).collect()
}

/// Checks that a request was refused now as not run, for this cause.
fn check_refused_now(harness: &RelayHarness, request: RequestKey, expected: RefusalCause) {
    let end = harness.end_of_request(request);
    assert_eq!(end.at, harness.now);
    let Err(RelayRefusal::NotRun { retry_after, cause }) = end.result else {
        panic!("{:?} instead of a refusal", end.result);
    };
    assert_eq!(cause, expected);
    assert!(retry_after > Duration::ZERO);
}

/// Guards against a first attempt that is sent to an evacuated data centre, although that is the
/// nearest one, and against an evacuation that does not end.
fn first_attempts_avoid_the_data_centre() {
    let mut harness = relay_with(&["here", "south"], RepeatKind::Idempotent);
    evacuate(&mut harness, "here", true);
    harness.warm_up("to-s0", 5, ms(5));
    assert_eq!(names_sent(&harness), ["s0-south"; 5]);
    evacuate(&mut harness, "here", false);
    // More requests at once than the other target may get.
    for _ in 0..4 {
        harness.submit("to-s0", TIMEOUT);
    }
    assert!(names_sent(&harness)[5..].contains(&"s0-here"));
}

/// Guards against a retry that is sent to an evacuated data centre when its other target fails.
fn retries_avoid_the_data_centre() {
    let mut harness = relay_with(&["here", "south"], RepeatKind::Idempotent);
    evacuate(&mut harness, "here", true);
    let request = harness.submit("to-s0", TIMEOUT);
    let attempt = harness.last_send().attempt;
    harness.end(attempt, TargetOutcome::Rejected);
    harness.advance(TIMEOUT);
    assert!(names_sent(&harness).iter().all(|name| *name == "s0-south"));
    assert!(harness.has_ended(request));
}

/// Guards against a hedge that is sent to an evacuated data centre.
fn hedges_avoid_the_data_centre() {
    let mut harness = relay_with(&["here", "south"], RepeatKind::Idempotent);
    harness.warm_up("to-s0", 20, ms(5));
    evacuate(&mut harness, "here", true);
    let before = harness.sends.len();
    harness.submit("to-s0", TIMEOUT);
    harness.advance(TIMEOUT);
    assert_eq!(names_sent(&harness)[before..], ["s0-south"]);
}

/// Guards against an evacuated target that is used as the last one left.
fn last_target_is_not_used(prepare: impl Fn(&mut RelayHarness)) {
    let mut harness = relay_with(&["here"], RepeatKind::Idempotent);
    prepare(&mut harness);
    evacuate(&mut harness, "here", true);
    let request = harness.submit("to-s0", TIMEOUT);
    check_refused_now(&harness, request, RefusalCause::Evacuated);
    assert!(harness.sends.is_empty());
}

fn begin_departure(harness: &mut RelayHarness) {
    harness.feed(RelayEvent::TargetListed(TargetRecord {
        phase: yuccalift_core::relay::TargetPhase::Draining,
        ..target_in("here", "s0")
    }));
}

/// Guards against an attempt that is cancelled, or whose answer is lost, since its target's data
/// centre is evacuated.
fn attempts_in_flight_run_to_their_end(repeat: RepeatKind) {
    let mut harness = relay_with(&["here"], repeat);
    let request = harness.submit("to-s0", TIMEOUT);
    evacuate(&mut harness, "here", true);
    harness.advance(ms(5));
    assert!(harness.cancels.is_empty());
    let attempt = harness.last_send().attempt;
    harness.end(attempt, success(b"0123456789abcdef"));
    let end = harness.end_of_request(request);
    assert!(matches!(end.result, Ok(RelayAnswer::Forwarded(_))));
}

/// Fills the limit of requests in flight to the only target, and parks a request.
fn park_request(harness: &mut RelayHarness) -> RequestKey {
    loop {
        let sent = harness.sends.len();
        let request = harness.submit("to-s0", TIMEOUT);
        if harness.sends.len() == sent {
            return request;
        }
    }
}

/// Guards against a request that goes on waiting for capacity in an evacuated data centre.
fn parked_requests_are_refused_at_once() {
    let mut harness = relay_with(&["here"], RepeatKind::Idempotent);
    let request = park_request(&mut harness);
    assert!(!harness.has_ended(request));
    harness.advance(ms(3));
    evacuate(&mut harness, "here", true);
    check_refused_now(&harness, request, RefusalCause::Evacuated);
}

/// Guards against a request that waits for a retry and is refused only at its deadline.
fn waiting_retries_are_refused_at_once() {
    let mut harness = relay_with(&["here"], RepeatKind::Idempotent);
    let request = harness.submit("to-s0", TIMEOUT);
    let attempt = harness.last_send().attempt;
    harness.end(attempt, TargetOutcome::Rejected);
    assert!(!harness.has_ended(request));
    evacuate(&mut harness, "here", true);
    check_refused_now(&harness, request, RefusalCause::Evacuated);
}

/// Guards against a request that waits for capacity although an evacuation has ended.
fn parked_requests_are_sent_when_the_evacuation_ends() {
    let mut harness = relay_with(&["here", "south"], RepeatKind::Idempotent);
    evacuate(&mut harness, "here", true);
    let request = park_request(&mut harness);
    evacuate(&mut harness, "here", false);
    assert_eq!(harness.last_send().request, request);
    assert_eq!(harness.last_send().name.as_ref(), "s0-here");
}

/// Guards against a merged request that fails, or waits, for an evacuated service that its coverage
/// does not need.
fn merged_requests_do_without_the_service() {
    let targets = vec![
        target_in("here", "s0"),
        target_in("here", "s1"),
        target_in("south", "s2"),
    ];
    let routes = vec![gather_route(&["s0", "s1", "s2"], 0.6)];
    let mut harness = RelayHarness::new(routes, targets);
    evacuate(&mut harness, "south", true);
    let request = harness.submit("gather", TIMEOUT);
    let attempts: Vec<_> = harness.sends.iter().map(|sent| sent.1.attempt).collect();
    assert_eq!(names_sent(&harness), ["s0-here", "s1-here"]);
    for attempt in attempts {
        harness.end(attempt, success(b"0123456789abcdef"));
    }
    let end = harness.end_of_request(request);
    assert!(matches!(
        &end.result,
        Ok(RelayAnswer::Merged { missing: 1, .. })
    ));
    assert!(harness.decisions.iter().any(|decision| matches!(decision,
        RelayDecision::Missed { reason, .. } if *reason == "evacuated")));
    evacuate(&mut harness, "here", true);
    let request = harness.submit("gather", TIMEOUT);
    check_refused_now(&harness, request, RefusalCause::Evacuated);
}

/// Guards against connection probes of an evacuated target, and against an unreachable target that is
/// never probed again after the evacuation.
fn probes_wait_for_the_end() {
    let mut harness = relay_with(&["here", "south"], RepeatKind::Idempotent);
    while harness.sends.is_empty() || harness.last_send().name.as_ref() != "s0-here" {
        harness.submit("to-s0", TIMEOUT);
    }
    let order = harness.last_send().clone();
    harness.end_with_report(order.attempt, TargetOutcome::NotSent, None);
    evacuate(&mut harness, "here", true);
    let before = harness.probes.len();
    harness.advance(Duration::from_secs(5));
    let probed = harness.probes[before..].iter();
    assert_eq!(
        probed.filter(|probe| probe.target == order.target).count(),
        0
    );
    evacuate(&mut harness, "here", false);
    assert_eq!(
        harness.probes.last().map(|probe| probe.target),
        Some(order.target)
    );
    harness.feed(RelayEvent::Probed {
        target: order.target,
        outcome: ProbeOutcome::Reached,
    });
    assert!(harness.decisions.iter().any(|decision| matches!(decision,
        RelayDecision::Resumed { target } if target.as_ref() == "s0-here")));
}

/// Guards against a lost request that waits for the probe of an evacuated target until its deadline.
fn lost_requests_are_retried_without_a_probe() {
    let mut harness = relay_with(&["here", "south"], RepeatKind::Idempotent);
    let request = harness.submit("to-s0", TIMEOUT);
    let first = harness.last_send().clone();
    let data_centre = first.name.strip_prefix("s0-").expect("a name of this test");
    evacuate(&mut harness, data_centre, true);
    harness.end_with_report(first.attempt, TargetOutcome::Lost, None);
    harness.advance(ms(200));
    let mut probes = harness.probes.iter();
    assert!(probes.all(|probe| probe.target != first.target));
    assert_ne!(harness.last_send().name, first.name);
    harness.end(harness.last_send().attempt, success(b"0123456789abcdef"));
    let end = harness.end_of_request(request);
    assert!(matches!(end.result, Ok(RelayAnswer::Forwarded(_))));
}

/// Guards against an explanation that does not tell why an evacuated target gets nothing.
fn explanation_tells_the_evacuation() {
    let mut harness = relay_with(&["here", "south"], RepeatKind::Idempotent);
    evacuate(&mut harness, "here", true);
    let explanation = harness.engine.explain(harness.now, "shop.example", "/s0/1");
    let targets = explanation.services[0].targets.iter();
    let held: Vec<_> = targets
        .map(|target| (target.name.as_ref(), target.held_by.as_deref()))
        .collect();
    assert_eq!(held, [("s0-here", Some("evacuated")), ("s0-south", None)]);
}

/// Guards against a change that is announced twice, for example by the store and then by a peer.
fn repeated_changes_are_ignored() {
    let mut harness = relay_with(&["here"], RepeatKind::Idempotent);
    for active in [false, true, true, false, false] {
        evacuate(&mut harness, "here", active);
    }
    let changes = harness
        .decisions
        .iter()
        .filter_map(|decision| match decision {
            RelayDecision::EvacuationChanged {
                active, evacuated, ..
            } => Some((*active, *evacuated)),
            _ => None,
        });
    assert_eq!(changes.collect::<Vec<_>>(), [(true, 1), (false, 0)]);
}

/// Returns a relay with an evacuated data centre whose evacuation a restored store does not list.
fn relay_without_the_key() -> RelayHarness {
    let mut harness = relay_with(&["here", "south"], RepeatKind::Idempotent);
    evacuate(&mut harness, "here", true);
    harness.feed(RelayEvent::ListRegained);
    evacuate(&mut harness, "here", false);
    harness
}

/// Guards against requests to an evacuated data centre from the restoration of the store until the
/// evacuation is written again.
fn evacuation_written_again_is_not_interrupted() {
    let mut harness = relay_without_the_key();
    harness.warm_up("to-s0", 5, ms(5));
    harness.advance(ms(1_000));
    evacuate(&mut harness, "here", true);
    harness.advance(Duration::from_secs(10));
    harness.warm_up("to-s0", 5, ms(5));
    assert_eq!(names_sent(&harness), ["s0-south"; 10]);
}

/// Guards against an evacuation that outlives its key, also if the store is restored again meanwhile.
fn evacuation_not_written_again_ends(restorations: usize) {
    let mut harness = relay_without_the_key();
    for _ in 1..restorations {
        harness.advance(ms(1_000));
        harness.feed(RelayEvent::ListRegained);
    }
    harness.advance(Duration::from_secs(3));
    harness.warm_up("to-s0", 10, ms(5));
    assert!(names_sent(&harness).contains(&"s0-here"));
}

cases! {
    an_evacuation_written_again_is_not_interrupted: evacuation_written_again_is_not_interrupted();
    an_evacuation_not_written_again_ends: evacuation_not_written_again_ends(1);
    an_evacuation_lost_twice_ends: evacuation_not_written_again_ends(2);
    a_first_attempt_avoids_an_evacuated_data_centre: first_attempts_avoid_the_data_centre();
    a_retry_avoids_an_evacuated_data_centre: retries_avoid_the_data_centre();
    a_hedge_avoids_an_evacuated_data_centre: hedges_avoid_the_data_centre();
    an_evacuated_target_is_no_last_resort: last_target_is_not_used(|_harness| {});
    an_evacuated_leaving_target_is_no_last_resort: last_target_is_not_used(begin_departure);
    an_attempt_in_flight_is_answered: attempts_in_flight_run_to_their_end(RepeatKind::Idempotent);
    an_order_in_flight_is_answered: attempts_in_flight_run_to_their_end(RepeatKind::NonIdempotent);
    a_parked_request_is_refused_when_it_begins: parked_requests_are_refused_at_once();
    a_waiting_retry_is_refused_when_it_begins: waiting_retries_are_refused_at_once();
    a_parked_request_is_sent_when_it_ends: parked_requests_are_sent_when_the_evacuation_ends();
    a_merged_request_does_without_an_evacuated_service: merged_requests_do_without_the_service();
    an_unreachable_target_is_probed_when_it_ends: probes_wait_for_the_end();
    a_lost_request_is_retried_elsewhere: lost_requests_are_retried_without_a_probe();
    an_explanation_tells_the_evacuation: explanation_tells_the_evacuation();
    a_repeated_change_is_ignored: repeated_changes_are_ignored();
}
