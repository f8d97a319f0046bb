//! Requests whose answers are merged from the replies of several services.

use yuccalift_core::relay::{RelayAnswer, RelayRefusal, TargetOutcome};
use yuccalift_testkit::cases;

use crate::support::{LATENCY_AIM, RelayHarness, TIMEOUT, gather_route, ms, success, target};

const SERVICES: [&str; 4] = ["s0", "s1", "s2", "s3"];

/// Creates a relay with four services of two targets each.
fn harness(min_coverage: f64) -> RelayHarness {
    let targets = SERVICES
        .iter()
        .flat_map(|service| ["a", "b"].map(|name| target(&format!("{service}-{name}"), service)));
    RelayHarness::new(
        vec![gather_route(&SERVICES, min_coverage)],
        targets.collect(),
    )
}

fn record(letter: u8) -> TargetOutcome {
    success(&[letter; 16])
}

/// Ends the first attempts at some of the services with success.
fn answer_services(harness: &mut RelayHarness, services: &[usize]) {
    for service in services {
        let attempt = harness.sends[*service].1.attempt;
        harness.end(attempt, record(b'a' + *service as u8));
    }
}

/// Returns the number of merged replies, the number of missing ones, and the body.
fn merged_answer(result: &Result<RelayAnswer, RelayRefusal>) -> (usize, u32, Vec<u8>) {
    match result {
        Ok(RelayAnswer::Merged {
            signatures,
            missing,
            body,
        }) => (signatures.len(), *missing, body.clone()),
        other => panic!("expected a merged answer, got {other:?}"),
    }
}

fn complete_answer_is_immediate() {
    let mut harness = harness(0.75);
    let request = harness.submit("gather", TIMEOUT);
    answer_services(&mut harness, &[0, 1, 2, 3]);
    let end = harness.end_of_request(request);
    let (replies, missing, body) = merged_answer(&end.result);
    assert_eq!((replies, missing), (4, 0));
    assert_eq!(body, [[b'd'; 16], [b'c'; 16], [b'b'; 16]].concat());
    assert_eq!(end.at, harness.now, "at once");
}

/// A reply that does not arrive neither delays the answer nor is counted as present.
fn partial_answer_is_in_time() {
    let mut harness = harness(0.75);
    let request = harness.submit("gather", TIMEOUT);
    let started_at = harness.now;
    answer_services(&mut harness, &[0, 1, 2]);
    assert!(
        !harness.has_ended(request),
        "the fourth reply may still arrive"
    );
    harness.advance(LATENCY_AIM);
    let end = harness.end_of_request(request);
    let (replies, missing, _) = merged_answer(&end.result);
    assert_eq!((replies, missing), (3, 1));
    assert!(end.at < started_at + LATENCY_AIM, "within the latency aim");
}

/// An answer below the minimum coverage is not sent; it is sent as soon as the coverage is reached.
fn answer_waits_for_min_coverage() {
    let mut harness = harness(0.75);
    let request = harness.submit("gather", TIMEOUT);
    answer_services(&mut harness, &[0, 1]);
    harness.advance(LATENCY_AIM * 2);
    assert!(
        !harness.has_ended(request),
        "half of the replies is too little"
    );
    answer_services(&mut harness, &[2]);
    assert_eq!(merged_answer(&harness.end_of_request(request).result).0, 3);
}

fn request_below_min_coverage_times_out() {
    let mut harness = harness(0.75);
    let request = harness.submit("gather", TIMEOUT);
    answer_services(&mut harness, &[0, 1]);
    harness.advance(TIMEOUT + ms(1));
    assert!(matches!(
        harness.end_of_request(request).result,
        Err(RelayRefusal::TimedOut)
    ));
}

/// Services without targets are known before anything is sent: the request is answered without them
/// if enough others remain, and refused at once otherwise.
fn check_services_without_targets(lost: usize, served: bool) {
    let known = &SERVICES[lost..];
    let targets = known.iter().map(|service| target(service, service));
    let mut harness = RelayHarness::new(vec![gather_route(&SERVICES, 0.75)], targets.collect());
    let request = harness.submit("gather", TIMEOUT);
    if !served {
        assert!(harness.sends.is_empty(), "no useless attempt is sent");
        let refused = &harness.end_of_request(request).result;
        assert!(matches!(refused, Err(RelayRefusal::NotRun { .. })));
        return;
    }
    answer_services(&mut harness, &[0, 1, 2]);
    let end = harness.end_of_request(request);
    assert_eq!(merged_answer(&end.result).1, lost as u32);
    assert_eq!(
        end.at, harness.now,
        "the answer does not wait for missing services"
    );
}

/// A service with unreachable targets does not delay the requests that also use others.
fn unreachable_service_delays_no_request() {
    let mut harness = harness(0.75);
    let mut served = 0;
    for _ in 0..50 {
        let mut next = harness.sends.len();
        let request = harness.submit("gather", TIMEOUT);
        for _ in 0..10 {
            while let Some((_, order)) = harness.sends.get(next).cloned() {
                let is_unreachable = order.name.starts_with("s0");
                let outcome = if is_unreachable {
                    TargetOutcome::NotSent
                } else {
                    record(b'x')
                };
                harness.end(order.attempt, outcome);
                next += 1;
            }
            harness.advance(LATENCY_AIM / 20);
        }
        served += u32::from(harness.has_ended(request));
    }
    assert_eq!(served, 50, "each is answered long before its latency aim");
}

cases! {
    a_complete_answer_is_sent_at_once: complete_answer_is_immediate();
    a_partial_answer_is_sent_in_time: partial_answer_is_in_time();
    an_answer_waits_for_the_minimum_coverage: answer_waits_for_min_coverage();
    an_answer_below_the_minimum_coverage_is_refused: request_below_min_coverage_times_out();
    one_service_without_targets_is_missing: check_services_without_targets(1, true);
    too_many_services_without_targets_are_refused_at_once: check_services_without_targets(2, false);
    an_unreachable_service_delays_no_request: unreachable_service_delays_no_request();
}
