//! Targets that say how many requests they accept.

use std::time::Duration;

use yuccalift_core::relay::{
    RelayEvent, RelayRefusal, RepeatKind, ReportedRate, SelfReport, TargetOutcome,
};
use yuccalift_testkit::cases;

use crate::support::{
    DRAIN_TIME, RelayHarness, TIMEOUT, forward_route, gather_route, ms, success, target,
};

/// A limit that leaves a daemon one request in many seconds.
const LOW_LIMIT: SelfReport = SelfReport {
    is_leaving: false,
    pause: None,
    rate_limit: ReportedRate::Limited(0.6),
    load: None,
    cold_left: None,
};
/// A word by which a target wants nothing for longer than a test takes.
const LONG_PAUSE: SelfReport = SelfReport {
    is_leaving: false,
    pause: Some(Duration::from_secs(50)),
    rate_limit: ReportedRate::Unlimited,
    load: None,
    cold_left: None,
};
const LEAVING: SelfReport = SelfReport {
    is_leaving: true,
    pause: None,
    rate_limit: ReportedRate::Unlimited,
    load: None,
    cold_left: None,
};
const DAEMONS: u32 = 30;

fn harness_with(targets: &[&str], repeat: RepeatKind) -> RelayHarness {
    let records = targets.iter().map(|name| target(name, "orders")).collect();
    let route = forward_route("orders", repeat, 2);
    let mut harness = RelayHarness::new(vec![route], records);
    harness.feed(RelayEvent::DaemonCountChanged(DAEMONS));
    harness
}

/// Sends a request, which is answered with `report` by the target that gets it.
fn answer_one(harness: &mut RelayHarness, report: SelfReport) -> Box<str> {
    harness.submit("to-orders", TIMEOUT);
    let (attempt, name) = (
        harness.last_send().attempt,
        harness.last_send().name.clone(),
    );
    harness.advance(ms(5));
    harness.end_with_report(attempt, success(b"0123456789abcdef"), Some(report));
    name
}

/// While others can serve, a limited target gets no more than this daemon's part.
fn other_targets_serve(repeat: RepeatKind, word: SelfReport) {
    let mut harness = harness_with(&["a", "b"], repeat);
    let limited = answer_one(&mut harness, word);
    let from = harness.sends.len();
    for _ in 0..20 {
        let served_by = answer_one(&mut harness, SelfReport::default());
        assert_ne!(served_by, limited);
    }
    assert_eq!(harness.sends.len(), from + 20);
}

/// If all targets of a service are held, a request is refused at once, and the time that its caller
/// is told is the time from which it is sent.
fn request_is_refused_at_once(repeat: RepeatKind) {
    let limit = ms(60_000);
    let mut route = forward_route("orders", repeat, 2);
    route.timeout = limit;
    let mut harness = RelayHarness::new(vec![route], vec![target("a", "orders")]);
    harness.feed(RelayEvent::DaemonCountChanged(DAEMONS));
    let report = SelfReport {
        rate_limit: ReportedRate::Limited(f64::from(DAEMONS)),
        ..SelfReport::default()
    };
    let mut request = harness.submit("to-orders", limit);
    while !harness.has_ended(request) {
        let attempt = harness.last_send().attempt;
        harness.end_with_report(attempt, success(b"0123456789abcdef"), Some(report));
        request = harness.submit("to-orders", limit);
    }
    let end = harness.end_of_request(request).clone();
    assert_eq!(end.at, harness.now);
    let Err(RelayRefusal::NotRun { retry_after, .. }) = end.result else {
        panic!("the request is refused: {end:?}");
    };
    assert!(
        retry_after < limit / 4,
        "the time is not only the longest one"
    );
    harness.advance(retry_after.saturating_sub(ms(1)));
    let too_early = harness.submit("to-orders", limit);
    assert!(harness.has_ended(too_early));
    harness.advance(ms(1));
    let in_time = harness.submit("to-orders", limit);
    assert!(!harness.has_ended(in_time));
}

/// A failed or slow attempt does not go to a target that is held.
fn no_second_attempt(is_hedge: bool, word: SelfReport) {
    let mut harness = harness_with(&["a", "b"], RepeatKind::Idempotent);
    harness.warm_up("to-orders", 100, ms(20));
    let limited = answer_one(&mut harness, word);
    let from = harness.sends.len();
    harness.submit("to-orders", TIMEOUT);
    let attempt = harness.last_send().attempt;
    if !is_hedge {
        harness.end(attempt, TargetOutcome::Rejected);
    }
    harness.advance(ms(200));
    let sends = &harness.sends[from..];
    assert!(sends.iter().all(|(_, order)| order.name != limited));
}

/// A request that waits for capacity when the limit is named does not go to the limited target.
fn waiting_request_is_not_sent(word: SelfReport) {
    let mut harness = harness_with(&["a"], RepeatKind::Idempotent);
    let mut attempts = Vec::new();
    while attempts.len() < 100 {
        let from = harness.sends.len();
        harness.submit("to-orders", TIMEOUT);
        if harness.sends.len() == from {
            break;
        }
        attempts.push(harness.last_send().attempt);
    }
    let sent = harness.sends.len();
    harness.end_with_report(attempts[0], success(b"0123456789abcdef"), Some(word));
    assert_eq!(harness.sends.len(), sent, "the waiting request is not sent");
}

/// A merged request does without the service whose targets are all held.
fn merged_request_does_without_held_service(word: SelfReport) {
    let services = ["s1", "s2", "s3"];
    let records = services.iter().map(|name| target(name, name)).collect();
    let mut harness = RelayHarness::new(vec![gather_route(&services, 0.6)], records);
    harness.feed(RelayEvent::DaemonCountChanged(DAEMONS));
    harness.submit("gather", TIMEOUT);
    let attempts: Vec<_> = harness
        .sends
        .iter()
        .map(|(_, order)| order.attempt)
        .collect();
    harness.end_with_report(attempts[0], success(b"0123456789abcdef"), Some(word));
    for attempt in &attempts[1..] {
        harness.end(*attempt, success(b"0123456789abcdef"));
    }
    let from = harness.sends.len();
    harness.submit("gather", TIMEOUT);
    let names: Vec<&str> = harness.sends[from..]
        .iter()
        .map(|(_, order)| order.name.as_ref())
        .collect();
    assert_eq!(names, ["s2", "s3"]);
}

/// The last target of a service is used for a while after it said that it leaves, and then no more;
/// callers are told at once. Another incarnation of it starts anew.
fn last_target_leaves() {
    let mut harness = harness_with(&["a"], RepeatKind::Idempotent);
    answer_one(&mut harness, LEAVING);
    harness.advance(DRAIN_TIME.mul_f64(0.25));
    answer_one(&mut harness, LEAVING);
    harness.advance(DRAIN_TIME.mul_f64(0.1));
    let request = harness.submit("to-orders", TIMEOUT);
    assert_eq!(harness.end_of_request(request).at, harness.now);
    let mut record = target("a", "orders");
    harness.feed(RelayEvent::TargetListed(record.clone()));
    let request = harness.submit("to-orders", TIMEOUT);
    assert!(harness.has_ended(request), "it goes on listing itself");
    record.started_ms = Some(2);
    harness.feed(RelayEvent::TargetListed(record));
    let request = harness.submit("to-orders", TIMEOUT);
    assert!(!harness.has_ended(request));
}

/// All targets of a service want nothing for a while: callers are told at once when one does.
fn all_targets_pause() {
    let limit = ms(60_000);
    let mut route = forward_route("orders", RepeatKind::Idempotent, 2);
    route.timeout = limit;
    let records = vec![target("a", "orders"), target("b", "orders")];
    let mut harness = RelayHarness::new(vec![route], records);
    for pause_ms in [4_000, 6_000] {
        harness.submit("to-orders", limit);
        let report = SelfReport {
            pause: Some(ms(pause_ms)),
            ..SelfReport::default()
        };
        let attempt = harness.last_send().attempt;
        harness.end_with_report(attempt, success(b"0123456789abcdef"), Some(report));
    }
    let request = harness.submit("to-orders", limit);
    let end = harness.end_of_request(request).clone();
    assert_eq!(end.at, harness.now);
    let Err(RelayRefusal::NotRun { retry_after, .. }) = end.result else {
        panic!("the request is refused: {end:?}");
    };
    assert_eq!(retry_after, ms(4_000));
    harness.advance(retry_after);
    let request = harness.submit("to-orders", limit);
    assert!(!harness.has_ended(request));
}

/// A late answer, to a request that was given up, counts as well.
fn word_in_a_late_answer_counts() {
    let mut harness = harness_with(&["a"], RepeatKind::Idempotent);
    let request = harness.submit("to-orders", TIMEOUT);
    let attempt = harness.last_send().attempt;
    harness.feed(RelayEvent::CallerDisconnected { request });
    harness.end_with_report(attempt, success(b"0123456789abcdef"), Some(LONG_PAUSE));
    let request = harness.submit("to-orders", TIMEOUT);
    assert!(harness.has_ended(request));
}

cases! {
    limited_target_gets_its_part_while_others_serve: other_targets_serve(RepeatKind::Idempotent, LOW_LIMIT);
    limited_target_gets_no_more_orders: other_targets_serve(RepeatKind::NonIdempotent, LOW_LIMIT);
    paused_target_gets_nothing_while_others_serve: other_targets_serve(RepeatKind::Idempotent, LONG_PAUSE);
    paused_target_gets_no_orders: other_targets_serve(RepeatKind::NonIdempotent, LONG_PAUSE);
    leaving_target_gets_nothing_while_others_serve: other_targets_serve(RepeatKind::Idempotent, LEAVING);
    leaving_target_gets_no_orders: other_targets_serve(RepeatKind::NonIdempotent, LEAVING);
    request_without_a_free_target_is_refused_at_once: request_is_refused_at_once(RepeatKind::Idempotent);
    order_without_a_free_target_is_refused_at_once: request_is_refused_at_once(RepeatKind::NonIdempotent);
    limited_target_gets_no_hedge: no_second_attempt(true, LOW_LIMIT);
    limited_target_gets_no_retry: no_second_attempt(false, LOW_LIMIT);
    paused_target_gets_no_hedge: no_second_attempt(true, LONG_PAUSE);
    paused_target_gets_no_retry: no_second_attempt(false, LONG_PAUSE);
    limited_target_gets_no_waiting_request: waiting_request_is_not_sent(LOW_LIMIT);
    paused_target_gets_no_waiting_request: waiting_request_is_not_sent(LONG_PAUSE);
    merged_request_goes_without_a_limited_service: merged_request_does_without_held_service(LOW_LIMIT);
    merged_request_goes_without_a_paused_service: merged_request_does_without_held_service(LONG_PAUSE);
    last_target_that_leaves_is_not_used_for_good: last_target_leaves();
    callers_learn_when_a_paused_service_is_back: all_targets_pause();
    word_of_a_target_counts_in_a_late_answer: word_in_a_late_answer_counts();
}
