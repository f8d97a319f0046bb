//! Requests that are forwarded to a single target.

use yuccalift_core::relay::{RelayAnswer, RelayDecision, RelayRefusal, RepeatKind, TargetOutcome};
use yuccalift_testkit::cases;

use crate::support::{RelayHarness, TIMEOUT, failure, forward_route, ms, success, target};

fn harness(repeat: RepeatKind) -> RelayHarness {
    let route = forward_route("orders", repeat, 2);
    let targets = ["a", "b", "c"].map(|name| target(name, "orders"));
    RelayHarness::new(vec![route], targets.into())
}

fn answer_is_forwarded() {
    let mut harness = harness(RepeatKind::Idempotent);
    let request = harness.submit("to-orders", TIMEOUT);
    let attempt = harness.last_send().attempt;
    harness.end(attempt, success(b"body"));
    let end = harness.end_of_request(request);
    assert!(
        matches!(&end.result, Ok(RelayAnswer::Forwarded(reply)) if reply.body.as_ref() == b"body")
    );
}

/// Checks whether a request is sent to a second target after the given outcome at the first.
fn check_sent_again(repeat: RepeatKind, outcome: TargetOutcome, expected: bool) {
    let mut harness = harness(repeat);
    harness.submit("to-orders", TIMEOUT);
    let first = harness.last_send().clone();
    harness.end(first.attempt, outcome);
    // After a lost attempt the target is probed before the request is retried.
    harness.advance(ms(25));
    let sent_again = harness.sends.len() == 2;
    assert_eq!(sent_again, expected, "sent again");
    if sent_again {
        assert_ne!(
            harness.last_send().target,
            first.target,
            "to another target"
        );
    }
}

/// Checks the caller's result if the attempts end with these outcomes, in order.
fn check_result(
    repeat: RepeatKind,
    outcomes: Vec<TargetOutcome>,
    expected: fn(&Result<RelayAnswer, RelayRefusal>) -> bool,
) {
    let mut harness = harness(repeat);
    let request = harness.submit("to-orders", TIMEOUT);
    for outcome in outcomes {
        let attempt = harness.last_send().attempt;
        harness.end(attempt, outcome);
    }
    let end = harness.end_of_request(request);
    assert!(expected(&end.result), "{:?}", end.result);
}

fn is_not_run(result: &Result<RelayAnswer, RelayRefusal>) -> bool {
    matches!(result, Err(RelayRefusal::NotRun { .. }))
}

fn is_failed(result: &Result<RelayAnswer, RelayRefusal>) -> bool {
    matches!(result, Err(RelayRefusal::Failed))
}

fn is_status_500(result: &Result<RelayAnswer, RelayRefusal>) -> bool {
    matches!(result, Ok(RelayAnswer::Forwarded(reply)) if reply.status == 500)
}

/// A non-idempotent request never has two attempts in flight, however long it takes.
fn non_idempotent_request_is_not_hedged() {
    let mut harness = harness(RepeatKind::NonIdempotent);
    let request = harness.submit("to-orders", TIMEOUT);
    harness.advance(TIMEOUT / 2);
    assert_eq!(harness.sends.len(), 1, "it is sent once");
    harness.advance(TIMEOUT / 2);
    assert!(matches!(
        harness.end_of_request(request).result,
        Err(RelayRefusal::TimedOut)
    ));
    assert_eq!(harness.cancels.len(), 1, "the attempt is cancelled");
}

fn slow_request_is_hedged() {
    let mut harness = harness(RepeatKind::Idempotent);
    harness.warm_up("to-orders", 80, ms(10));
    let sent = harness.sends.len();
    let request = harness.submit("to-orders", TIMEOUT);
    harness.advance(ms(60));
    assert_eq!(harness.sends.len(), sent + 2, "a hedge is sent");
    let second = harness.last_send().attempt;
    harness.end(second, success(b"second"));
    let end = harness.end_of_request(request);
    assert!(
        matches!(&end.result, Ok(RelayAnswer::Forwarded(reply)) if reply.body.as_ref() == b"second")
    );
    harness.advance(ms(400));
    assert_eq!(
        harness.cancels.len(),
        1,
        "the surplus attempt is cancelled in time"
    );
}

fn disconnect_cancels_the_attempt() {
    let mut harness = harness(RepeatKind::Idempotent);
    let request = harness.submit("to-orders", TIMEOUT);
    harness.feed(yuccalift_core::relay::RelayEvent::CallerDisconnected { request });
    let logged = harness
        .decisions
        .iter()
        .any(|decision| matches!(decision, RelayDecision::Missed { reason: "late", .. }));
    assert!(logged, "the missing reply is logged");
    harness.advance(ms(450));
    assert_eq!(harness.cancels.len(), 1, "within half a second");
    assert!(!harness.has_ended(request), "no answer is written");
}

/// Without a known target, the caller is refused at once and told when to retry.
fn request_without_targets_is_refused_at_once() {
    let route = forward_route("orders", RepeatKind::Idempotent, 2);
    let mut harness = RelayHarness::new(vec![route], Vec::new());
    let request = harness.submit("to-orders", TIMEOUT);
    let end = harness.end_of_request(request);
    assert!(is_not_run(&end.result));
    assert_eq!(end.at, harness.now, "at once");
}

/// All targets are full: the request waits for capacity for a fifth of its latency aim.
fn request_without_capacity_is_refused_soon() {
    let mut harness = harness(RepeatKind::Idempotent);
    let mut last = 0;
    for _ in 0..10 {
        last = harness.submit("to-orders", TIMEOUT);
    }
    assert_eq!(harness.sends.len(), 9, "three at each target");
    harness.advance(ms(19));
    assert!(!harness.has_ended(last));
    harness.advance(ms(2));
    assert!(is_not_run(&harness.end_of_request(last).result));
}

/// Capacity goes to the waiting request with the highest priority.
fn capacity_is_granted_by_priority() {
    let mut urgent = forward_route("orders", RepeatKind::Idempotent, 1);
    urgent.name = "urgent".into();
    urgent.prefix = "/urgent/".into();
    urgent.priority = 0;
    let route = forward_route("orders", RepeatKind::Idempotent, 1);
    let targets = vec![target("a", "orders")];
    let mut harness = RelayHarness::new(vec![route, urgent], targets);
    for _ in 0..4 {
        harness.submit("to-orders", TIMEOUT);
    }
    let later = harness.submit("urgent", TIMEOUT);
    let first = harness.sends[0].1.attempt;
    harness.end(first, success(b""));
    assert_eq!(
        harness.last_send().request,
        later,
        "the urgent request is sent"
    );
}

cases! {
    an_answer_is_forwarded_unchanged: answer_is_forwarded();
    a_rejected_request_is_retried:
        check_sent_again(RepeatKind::Idempotent, TargetOutcome::Rejected, true);
    a_rejected_non_idempotent_request_is_retried:
        check_sent_again(RepeatKind::NonIdempotent, TargetOutcome::Rejected, true);
    a_misdirected_non_idempotent_request_is_retried:
        check_sent_again(RepeatKind::NonIdempotent, TargetOutcome::Misdirected, true);
    an_unsent_non_idempotent_request_is_retried:
        check_sent_again(RepeatKind::NonIdempotent, TargetOutcome::NotSent, true);
    a_lost_request_is_retried:
        check_sent_again(RepeatKind::Idempotent, TargetOutcome::Lost, true);
    a_lost_non_idempotent_request_is_not_retried:
        check_sent_again(RepeatKind::NonIdempotent, TargetOutcome::Lost, false);
    a_garbled_non_idempotent_request_is_not_retried:
        check_sent_again(RepeatKind::NonIdempotent, TargetOutcome::Garbled, false);
    a_failed_request_is_retried:
        check_sent_again(RepeatKind::Idempotent, failure(500), true);
    a_failed_non_idempotent_request_is_not_retried:
        check_sent_again(RepeatKind::NonIdempotent, failure(500), false);
    a_lost_non_idempotent_request_may_have_run:
        check_result(RepeatKind::NonIdempotent, vec![TargetOutcome::Lost], is_failed);
    a_request_rejected_by_all_targets_has_not_run:
        check_result(RepeatKind::NonIdempotent, vec![TargetOutcome::Rejected; 3], is_not_run);
    a_failure_reply_is_forwarded:
        check_result(RepeatKind::NonIdempotent, vec![failure(500)], is_status_500);
    a_503_reply_is_not_forwarded:
        check_result(RepeatKind::NonIdempotent, vec![failure(503)], is_failed);
    a_slow_non_idempotent_request_is_sent_once: non_idempotent_request_is_not_hedged();
    a_slow_request_is_sent_to_a_second_target: slow_request_is_hedged();
    work_for_a_disconnected_caller_is_cancelled: disconnect_cancels_the_attempt();
    a_request_without_targets_is_refused_at_once: request_without_targets_is_refused_at_once();
    a_request_without_capacity_is_refused_soon: request_without_capacity_is_refused_soon();
    capacity_goes_to_the_highest_priority: capacity_is_granted_by_priority();
}
