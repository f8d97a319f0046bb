//! Coverage and outcomes: answers and refusals match the replies received.

use std::time::Duration;

use yuccalift_core::event::{AttemptFailure, AttemptReply};
use yuccalift_core::{
    EngineEvent, EngineOptions, MissingReason, Outcome, PolicyKind, RefusalCode, RequestKind,
    ShardMap,
};
use yuccalift_testkit::cases;

use crate::support::{EngineHarness, hit, map, reply, request};

const POLICIES: [PolicyKind; 2] = [PolicyKind::Full, PolicyKind::Baseline];

fn harness(policy: PolicyKind, map: ShardMap) -> EngineHarness {
    EngineHarness::ready(EngineOptions::new(policy, 7), map, 5)
}

#[test]
fn complete_answer_covers_every_shard() {
    for policy in POLICIES {
        let mut harness = harness(policy, map(3, 4, 2));
        harness.submit(1);
        let sends = harness.take_sends();
        assert_eq!(sends.len(), 4, "one request per shard");
        for plan in sends.iter().rev() {
            harness.reply(plan);
        }
        let answer = harness.answer();
        assert!(answer.coverage.is_complete(), "every shard answered");
        assert_eq!(
            (answer.snapshot.epoch, answer.snapshot.version),
            (3, 5),
            "the answer has the snapshot of the requests"
        );
        assert_eq!(answer.hits.len(), 4, "the answer has a hit of every shard");
        assert_eq!(answer.hits[0], hit(3), "the best hit comes first");
    }
}

/// Checks that a reply that does not match its request leads to a retry, and that its hits are
/// discarded.
fn mismatched_reply_is_rejected(change: fn(&mut AttemptReply)) {
    for policy in POLICIES {
        let mut harness = harness(policy, map(1, 1, 2));
        harness.submit(1);
        let first = harness.take_sends().remove(0);
        let mut wrong = reply(&first);
        wrong.hits[0].key = "foreign".into();
        change(&mut wrong);
        harness.handle(EngineEvent::Reply(wrong));
        let second = harness.take_sends().remove(0);
        assert_ne!(
            first.target, second.target,
            "the retry goes to another replica"
        );
        harness.reply(&second);
        let answer = harness.answer();
        assert!(answer.coverage.is_complete(), "the retry answered");
        assert!(
            answer.hits.iter().all(|hit| hit.key.as_ref() != "foreign"),
            "the answer has no hit of the mismatched reply"
        );
    }
}

cases! {
    reply_for_other_query: mismatched_reply_is_rejected(|reply| reply.query += 1);
    reply_for_other_shard: mismatched_reply_is_rejected(|reply| reply.shard += 1);
    hit_of_other_shard: mismatched_reply_is_rejected(|reply| reply.hits[0].shard += 1);
    reply_at_other_version: mismatched_reply_is_rejected(|reply| reply.version += 1);
    truncated_body: mismatched_reply_is_rejected(|reply| reply.complete = false);
}

#[test]
fn late_and_duplicate_replies_are_ignored() {
    for policy in POLICIES {
        let mut harness = harness(policy, map(1, 2, 1));
        harness.submit(1);
        let sends = harness.take_sends();
        harness.reply(&sends[0]);
        harness.reply(&sends[0]);
        harness.advance(Duration::from_secs(2));
        harness.reply(&sends[1]);
        let answer = harness.answer();
        assert_eq!(answer.coverage.answered, vec![0], "one shard answered");
        let missing = answer.coverage.missing[0];
        assert_eq!(
            (missing.shard, missing.reason),
            (1, MissingReason::Deadline),
            "the late shard is missing"
        );
        assert_eq!(
            answer.hits.len(),
            1,
            "neither the duplicate nor the late reply adds a hit"
        );
    }
}

/// Checks the number of attempts and the outcome of a non-idempotent request whose attempts fail.
fn check_execute_outcome(failure: &AttemptFailure, attempts: usize, outcome: Outcome) {
    for policy in POLICIES {
        let mut harness = harness(policy, map(1, 2, 2));
        let mut order = request(1);
        order.kind = RequestKind::Execute { shard: 1 };
        harness.handle(EngineEvent::Submit(order));
        let mut sent = 0;
        while let Some(plan) = harness.take_sends().pop() {
            assert_eq!(plan.shard, 1, "only the shard of the request is used");
            sent += 1;
            harness.fail(&plan, failure.clone());
        }
        harness.advance(Duration::from_secs(2));
        assert_eq!(sent, attempts, "attempts after {failure:?}");
        assert_eq!(
            harness.refusal().outcome,
            outcome,
            "outcome after {failure:?}"
        );
    }
}

cases! {
    execute_shed: check_execute_outcome(&AttemptFailure::Shed, 2, Outcome::NotRun);
    execute_draining: check_execute_outcome(&AttemptFailure::Draining, 2, Outcome::NotRun);
    execute_not_hosted: check_execute_outcome(&AttemptFailure::NotHosted, 2, Outcome::NotRun);
    execute_lost: check_execute_outcome(&AttemptFailure::Lost, 1, Outcome::Unknown);
    execute_silent: check_execute_outcome(&AttemptFailure::Silent, 1, Outcome::Unknown);
    execute_garbled: check_execute_outcome(&AttemptFailure::Garbled, 1, Outcome::Unknown);
    execute_cancelled: check_execute_outcome(&AttemptFailure::Cancelled, 1, Outcome::Unknown);
}

#[test]
fn execute_is_never_hedged() {
    let mut harness = harness(PolicyKind::Full, map(1, 1, 3));
    let mut order = request(1);
    order.kind = RequestKind::Execute { shard: 0 };
    harness.handle(EngineEvent::Submit(order));
    for _ in 0..400 {
        harness.advance(Duration::from_millis(5));
    }
    assert_eq!(harness.sends.len(), 1, "the request is sent once");
    assert!(harness.cancels.is_empty(), "the attempt is not cancelled");
    let refusal = harness.refusal();
    assert_eq!(
        (refusal.outcome, refusal.code),
        (Outcome::Unknown, RefusalCode::DeadlineExceeded),
        "the outcome of a request that may have run is unknown"
    );
}

#[test]
fn stopping_refuses_new_queries_and_finishes_running_ones() {
    let mut harness = harness(PolicyKind::Full, map(1, 1, 1));
    harness.submit(1);
    harness.handle(EngineEvent::Stopping);
    harness.submit(2);
    let plan = harness.take_sends().remove(0);
    harness.reply(&plan);
    assert!(
        harness.answer().coverage.is_complete(),
        "the running query is answered"
    );
    let refusal = harness.refusal();
    assert_eq!(
        (refusal.outcome, refusal.code),
        (Outcome::NotRun, RefusalCode::Stopping),
        "the new query is refused"
    );
}
