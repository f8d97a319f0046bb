//! The service that a refusal is counted for.

use yuccalift_core::relay::{
    AdmissionMode, RefusalCause, RelayDecision, RelayEvent, RelayRefusal, RepeatKind, RequestKey,
    TargetOutcome,
};
use yuccalift_testkit::cases;

use crate::support::{
    LATENCY_AIM, RelayHarness, TIMEOUT, forward_route, gather_route, ms, success, target, tuning,
};

const SERVICES: [&str; 3] = ["s0", "s1", "s2"];

/// Creates a relay with a route to three services, of which an answer may lack none; `listed` are the
/// services that have a target.
fn harness(listed: &[&str]) -> RelayHarness {
    let targets = listed.iter().map(|service| target(service, service));
    RelayHarness::new(vec![gather_route(&SERVICES, 1.0)], targets.collect())
}

/// Checks the cause of a refusal and the service that it is counted for.
fn check_refused(harness: &RelayHarness, request: RequestKey, expected: (RefusalCause, &str)) {
    let end = harness.end_of_request(request);
    let Err(RelayRefusal::NotRun { cause, .. }) = end.result else {
        panic!("{:?} instead of a refusal", end.result);
    };
    let mut refused = harness.refused_for.iter();
    let (_, service) = refused
        .find(|(refused, _)| *refused == request)
        .expect("the refusal is recorded");
    assert_eq!((cause, service.as_ref()), expected);
}

/// Guards against a refusal that is counted for a service that has targets.
fn service_without_targets() {
    let mut harness = harness(&["s0", "s2"]);
    let request = harness.submit("gather", TIMEOUT);
    check_refused(&harness, request, (RefusalCause::NoTarget, "s1"));
}

/// Guards against a refusal that is counted for a service without a target, if the named cause is that
/// of another one.
fn evacuated_service() {
    let mut harness = harness(&["s1", "s2"]);
    harness.feed(RelayEvent::EvacuationChanged {
        data_centre: "here".into(),
        active: true,
    });
    let request = harness.submit("gather", TIMEOUT);
    check_refused(&harness, request, (RefusalCause::Evacuated, "s1"));
}

/// Guards against a request without time or in quarantine that is counted for a service.
fn expired_request() {
    let mut harness = harness(&SERVICES);
    let request = harness.submit("gather", ms(0));
    check_refused(&harness, request, (RefusalCause::NoTime, ""));
}

/// Guards against a refusal after a rejection that is counted for a service that was not asked.
fn rejecting_service() {
    let route = forward_route("s1", RepeatKind::Idempotent, 1);
    let mut harness = RelayHarness::new(vec![route], vec![target("a", "s1")]);
    let request = harness.submit("to-s1", TIMEOUT);
    let mut rejected = 0;
    while !harness.has_ended(request) {
        if let Some((_, order)) = harness.sends.get(rejected) {
            let attempt = order.attempt;
            rejected += 1;
            harness.end(attempt, TargetOutcome::Rejected);
        }
        harness.advance(ms(1));
    }
    assert!(rejected > 0, "the request was sent");
    check_refused(&harness, request, (RefusalCause::Rejected, "s1"));
}

/// Guards against a refusal of a request that waited in vain that is counted for no service.
fn full_service() {
    let route = forward_route("s1", RepeatKind::NonIdempotent, 1);
    let mut harness = RelayHarness::new(vec![route], vec![target("a", "s1")]);
    let mut request = harness.submit("to-s1", TIMEOUT);
    while harness.last_send().request == request {
        request = harness.submit("to-s1", TIMEOUT);
    }
    harness.advance(LATENCY_AIM);
    check_refused(&harness, request, (RefusalCause::NoCapacity, "s1"));
}

/// Guards against a refusal for overload that is counted for another service than the one that the
/// log names.
fn overloaded_service() {
    let mut harness = harness(&SERVICES);
    harness.feed(RelayEvent::TuningChanged(tuning(AdmissionMode::Adaptive)));
    harness.warm_up("gather", 100, ms(5));
    // The target of one service becomes slow.
    for _ in 0..60 {
        let from = harness.sends.len();
        harness.submit("gather", TIMEOUT);
        harness.advance(ms(5));
        end_attempts(&mut harness, from, |name| name != "s1");
        harness.advance(ms(300));
        end_attempts(&mut harness, from, |name| name == "s1");
    }
    let mut decisions = harness.decisions.iter();
    let named = decisions.any(|decision| {
        matches!(decision, RelayDecision::Shed { service, .. } if service.as_ref() == "s1")
    });
    assert!(named, "the log names the slow service");
    let refused = harness.refused_for.last().expect("requests are refused");
    check_refused(&harness, refused.0, (RefusalCause::Overload, "s1"));
}

/// Answers the attempts from the given one on that were sent to the selected targets.
fn end_attempts(harness: &mut RelayHarness, from: usize, is_selected: impl Fn(&str) -> bool) {
    let sends = harness.sends[from..].iter();
    let selected = sends.filter(|(_, order)| is_selected(&order.name));
    let attempts: Vec<_> = selected.map(|(_, order)| order.attempt).collect();
    for attempt in attempts {
        harness.end(attempt, success(b"0123456789abcdef"));
    }
}

cases! {
    a_service_without_targets_is_named: service_without_targets();
    an_evacuated_service_is_named: evacuated_service();
    a_request_without_time_names_no_service: expired_request();
    a_rejecting_service_is_named: rejecting_service();
    a_full_service_is_named: full_service();
    an_overloaded_service_is_named: overloaded_service();
}
