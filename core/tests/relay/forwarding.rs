//! Requests that go to one target.

use yuccalift_core::relay::{RelayAnswer, RelayDecision, RelayRefusal, RepeatKind, TargetOutcome};
use yuccalift_testkit::cases;

use crate::support::{RelayStage, TIMEOUT, failure, forward_route, ms, success, target};

fn stage(repeat: RepeatKind) -> RelayStage {
    let route = forward_route("orders", repeat, 2);
    let targets = ["a", "b", "c"].map(|name| target(name, "orders"));
    RelayStage::new(vec![route], targets.into())
}

fn answers_whole() {
    let mut stage = stage(RepeatKind::Idempotent);
    let request = stage.submit("to-orders", TIMEOUT);
    let attempt = stage.last_send().attempt;
    stage.end(attempt, success(b"body"));
    let end = stage.end_of(request);
    assert!(matches!(&end.result, Ok(RelayAnswer::Whole(reply)) if reply.body.as_ref() == b"body"));
}

/// Whether a request is sent to a second target after an outcome at the first.
fn is_sent_again(repeat: RepeatKind, outcome: TargetOutcome, expected: bool) {
    let mut stage = stage(repeat);
    stage.submit("to-orders", TIMEOUT);
    let first = stage.last_send().clone();
    stage.end(first.attempt, outcome);
    // A target that broke the attempt is asked first whether it has crashed.
    stage.pass(ms(25));
    let again = stage.sends.len() == 2;
    assert_eq!(again, expected, "sent again");
    if again {
        assert_ne!(stage.last_send().target, first.target, "to another target");
    }
}

/// What a caller gets when the only outcomes are these, in order.
fn ends_with(
    repeat: RepeatKind,
    outcomes: Vec<TargetOutcome>,
    expected: fn(&Result<RelayAnswer, RelayRefusal>) -> bool,
) {
    let mut stage = stage(repeat);
    let request = stage.submit("to-orders", TIMEOUT);
    for outcome in outcomes {
        let attempt = stage.last_send().attempt;
        stage.end(attempt, outcome);
    }
    let end = stage.end_of(request);
    assert!(expected(&end.result), "{:?}", end.result);
}

fn is_not_run(result: &Result<RelayAnswer, RelayRefusal>) -> bool {
    matches!(result, Err(RelayRefusal::NotRun { .. }))
}

fn is_failed(result: &Result<RelayAnswer, RelayRefusal>) -> bool {
    matches!(result, Err(RelayRefusal::Failed))
}

fn is_status_500(result: &Result<RelayAnswer, RelayRefusal>) -> bool {
    matches!(result, Ok(RelayAnswer::Whole(reply)) if reply.status == 500)
}

/// A request that must run once is never in flight twice, however long it takes.
fn slow_order_is_not_hedged() {
    let mut stage = stage(RepeatKind::NonIdempotent);
    let request = stage.submit("to-orders", TIMEOUT);
    stage.pass(TIMEOUT / 2);
    assert_eq!(stage.sends.len(), 1, "it is sent once");
    stage.pass(TIMEOUT / 2);
    assert!(matches!(
        stage.end_of(request).result,
        Err(RelayRefusal::TimedOut)
    ));
    assert_eq!(stage.cancels.len(), 1, "the target is told to stop");
}

fn slow_request_is_hedged() {
    let mut stage = stage(RepeatKind::Idempotent);
    stage.warm_up("to-orders", 80, ms(10));
    let sent = stage.sends.len();
    let request = stage.submit("to-orders", TIMEOUT);
    stage.pass(ms(60));
    assert_eq!(stage.sends.len(), sent + 2, "a second target is asked");
    let second = stage.last_send().attempt;
    stage.end(second, success(b"second"));
    let end = stage.end_of(request);
    assert!(
        matches!(&end.result, Ok(RelayAnswer::Whole(reply)) if reply.body.as_ref() == b"second")
    );
    stage.pass(ms(400));
    assert_eq!(stage.cancels.len(), 1, "the loser is given up in time");
}

fn gone_caller_ends_the_work() {
    let mut stage = stage(RepeatKind::Idempotent);
    let request = stage.submit("to-orders", TIMEOUT);
    stage.feed(yuccalift_core::relay::RelayEvent::CallerGone { request });
    let told = stage
        .decisions
        .iter()
        .any(|decision| matches!(decision, RelayDecision::Missed { reason: "late", .. }));
    assert!(told, "the log is told what it still waited for");
    stage.pass(ms(450));
    assert_eq!(stage.cancels.len(), 1, "within half a second");
    assert!(!stage.has_ended(request), "nobody is answered");
}

/// No target is known: the caller hears so at once, and when to come back.
fn refuses_at_once_without_targets() {
    let route = forward_route("orders", RepeatKind::Idempotent, 2);
    let mut stage = RelayStage::new(vec![route], Vec::new());
    let request = stage.submit("to-orders", TIMEOUT);
    let end = stage.end_of(request);
    assert!(is_not_run(&end.result));
    assert_eq!(end.at, stage.now, "at once");
}

/// All targets have as much in flight as they may: the request waits a fifth of its aim for room.
fn refuses_soon_without_room() {
    let mut stage = stage(RepeatKind::Idempotent);
    let mut last = 0;
    for _ in 0..10 {
        last = stage.submit("to-orders", TIMEOUT);
    }
    assert_eq!(stage.sends.len(), 9, "three at each target");
    stage.pass(ms(19));
    assert!(!stage.has_ended(last));
    stage.pass(ms(2));
    assert!(is_not_run(&stage.end_of(last).result));
}

/// The most urgent request that waits is served first when there is room.
fn serves_the_urgent_first() {
    let mut urgent = forward_route("orders", RepeatKind::Idempotent, 1);
    urgent.name = "urgent".into();
    urgent.prefix = "/urgent/".into();
    urgent.priority = 0;
    let route = forward_route("orders", RepeatKind::Idempotent, 1);
    let targets = vec![target("a", "orders")];
    let mut stage = RelayStage::new(vec![route, urgent], targets);
    for _ in 0..4 {
        stage.submit("to-orders", TIMEOUT);
    }
    let later = stage.submit("urgent", TIMEOUT);
    let first = stage.sends[0].1.attempt;
    stage.end(first, success(b""));
    assert_eq!(stage.last_send().request, later, "the urgent one is sent");
}

cases! {
    one_answer_is_passed_on_whole: answers_whole();
    a_rejected_request_goes_elsewhere:
        is_sent_again(RepeatKind::Idempotent, TargetOutcome::Rejected, true);
    a_rejected_order_goes_elsewhere:
        is_sent_again(RepeatKind::NonIdempotent, TargetOutcome::Rejected, true);
    an_order_for_another_target_goes_elsewhere:
        is_sent_again(RepeatKind::NonIdempotent, TargetOutcome::Misdirected, true);
    an_unsent_order_goes_elsewhere:
        is_sent_again(RepeatKind::NonIdempotent, TargetOutcome::NotSent, true);
    a_lost_request_goes_elsewhere:
        is_sent_again(RepeatKind::Idempotent, TargetOutcome::Lost, true);
    a_lost_order_does_not:
        is_sent_again(RepeatKind::NonIdempotent, TargetOutcome::Lost, false);
    a_garbled_order_does_not:
        is_sent_again(RepeatKind::NonIdempotent, TargetOutcome::Garbled, false);
    a_failed_request_goes_elsewhere:
        is_sent_again(RepeatKind::Idempotent, failure(500), true);
    a_failed_order_does_not:
        is_sent_again(RepeatKind::NonIdempotent, failure(500), false);
    a_lost_order_promises_nothing:
        ends_with(RepeatKind::NonIdempotent, vec![TargetOutcome::Lost], is_failed);
    an_order_that_all_rejected_has_not_run:
        ends_with(RepeatKind::NonIdempotent, vec![TargetOutcome::Rejected; 3], is_not_run);
    a_target_failure_is_passed_on:
        ends_with(RepeatKind::NonIdempotent, vec![failure(500)], is_status_500);
    a_target_503_without_its_word_is_no_promise:
        ends_with(RepeatKind::NonIdempotent, vec![failure(503)], is_failed);
    a_slow_order_is_in_flight_once: slow_order_is_not_hedged();
    a_slow_request_is_sent_to_a_second_target: slow_request_is_hedged();
    work_for_a_gone_caller_ends: gone_caller_ends_the_work();
    without_targets_it_is_refused_at_once: refuses_at_once_without_targets();
    without_room_it_is_refused_soon: refuses_soon_without_room();
    room_goes_to_the_urgent_first: serves_the_urgent_first();
}
