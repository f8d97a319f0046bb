//! Coverage and outcomes: every answer is true of what came back.

use std::time::Duration;

use yuccalift_core::event::{AttemptFailure, AttemptReply};
use yuccalift_core::{
    EngineEvent, EngineOptions, MissingReason, Outcome, PolicyKind, RefusalCode, RequestKind,
    ShardMap,
};
use yuccalift_testkit::cases;

use crate::support::{EngineDriver, hit, map, reply, request};

const POLICIES: [PolicyKind; 2] = [PolicyKind::Full, PolicyKind::Baseline];

fn driver(policy: PolicyKind, map: ShardMap) -> EngineDriver {
    EngineDriver::ready(EngineOptions::new(policy, 7), map, 5)
}

#[test]
fn whole_answer_covers_every_shard() {
    for policy in POLICIES {
        let mut driver = driver(policy, map(3, 4, 2));
        driver.submit(1);
        let sends = driver.take_sends();
        assert_eq!(sends.len(), 4, "one request a shard");
        for plan in sends.iter().rev() {
            driver.reply(plan);
        }
        let answer = driver.answer();
        assert!(answer.coverage.is_whole(), "every shard answered");
        assert_eq!(
            (answer.snapshot.epoch, answer.snapshot.version),
            (3, 5),
            "the answer names its snapshot"
        );
        assert_eq!(answer.hits.len(), 4, "every shard's hit is there");
        assert_eq!(answer.hits[0], hit(3), "the best hit comes first");
    }
}

/// A reply that is not what was asked makes its shard tried again, and leaves no hit behind.
fn wrong_reply_is_not_taken(change: fn(&mut AttemptReply)) {
    for policy in POLICIES {
        let mut driver = driver(policy, map(1, 1, 2));
        driver.submit(1);
        let first = driver.take_sends().remove(0);
        let mut wrong = reply(&first);
        wrong.hits[0].key = "foreign".into();
        change(&mut wrong);
        driver.tell(EngineEvent::Reply(wrong));
        let second = driver.take_sends().remove(0);
        assert_ne!(first.target, second.target, "another replica is asked");
        driver.reply(&second);
        let answer = driver.answer();
        assert!(answer.coverage.is_whole(), "the retry answered");
        assert!(
            answer.hits.iter().all(|hit| hit.key.as_ref() != "foreign"),
            "nothing of the wrong reply is in the answer"
        );
    }
}

cases! {
    foreign_query: wrong_reply_is_not_taken(|reply| reply.query += 1);
    foreign_shard: wrong_reply_is_not_taken(|reply| reply.shard += 1);
    foreign_hit: wrong_reply_is_not_taken(|reply| reply.hits[0].shard += 1);
    other_version: wrong_reply_is_not_taken(|reply| reply.version += 1);
    cut_body: wrong_reply_is_not_taken(|reply| reply.complete = false);
}

#[test]
fn late_and_doubled_replies_change_nothing() {
    for policy in POLICIES {
        let mut driver = driver(policy, map(1, 2, 1));
        driver.submit(1);
        let sends = driver.take_sends();
        driver.reply(&sends[0]);
        driver.reply(&sends[0]);
        driver.pass(Duration::from_secs(2));
        driver.reply(&sends[1]);
        let answer = driver.answer();
        assert_eq!(answer.coverage.answered, vec![0], "one shard answered");
        let missing = answer.coverage.missing[0];
        assert_eq!(
            (missing.shard, missing.reason),
            (1, MissingReason::Deadline),
            "the late shard is missing"
        );
        assert_eq!(answer.hits.len(), 1, "no hit stands twice or comes late");
    }
}

/// What a non-idempotent request's failure makes of its outcome.
fn execute_outcome(failure: &AttemptFailure, tries: usize, outcome: Outcome) {
    for policy in POLICIES {
        let mut driver = driver(policy, map(1, 2, 2));
        let mut order = request(1);
        order.kind = RequestKind::Execute { shard: 1 };
        driver.tell(EngineEvent::Submit(order));
        let mut sent = 0;
        while let Some(plan) = driver.take_sends().pop() {
            assert_eq!(plan.shard, 1, "only its shard is asked");
            sent += 1;
            driver.fail(&plan, failure.clone());
        }
        driver.pass(Duration::from_secs(2));
        assert_eq!(sent, tries, "tries after {failure:?}");
        assert_eq!(driver.refusal().outcome, outcome, "after {failure:?}");
    }
}

cases! {
    execute_shed: execute_outcome(&AttemptFailure::Shed, 2, Outcome::NotRun);
    execute_draining: execute_outcome(&AttemptFailure::Draining, 2, Outcome::NotRun);
    execute_not_hosted: execute_outcome(&AttemptFailure::NotHosted, 2, Outcome::NotRun);
    execute_lost: execute_outcome(&AttemptFailure::Lost, 1, Outcome::Unknown);
    execute_silent: execute_outcome(&AttemptFailure::Silent, 1, Outcome::Unknown);
    execute_garbled: execute_outcome(&AttemptFailure::Garbled, 1, Outcome::Unknown);
    execute_cancelled: execute_outcome(&AttemptFailure::Cancelled, 1, Outcome::Unknown);
}

#[test]
fn execute_is_never_sent_beside_itself() {
    let mut driver = driver(PolicyKind::Full, map(1, 1, 3));
    let mut order = request(1);
    order.kind = RequestKind::Execute { shard: 0 };
    driver.tell(EngineEvent::Submit(order));
    for _ in 0..400 {
        driver.pass(Duration::from_millis(5));
    }
    assert_eq!(driver.sends.len(), 1, "it is sent once");
    assert!(driver.cancels.is_empty(), "it is left to end by itself");
    let refusal = driver.refusal();
    assert_eq!(
        (refusal.outcome, refusal.code),
        (Outcome::Unknown, RefusalCode::DeadlineExceeded),
        "a request that may have run is not called not run"
    );
}

#[test]
fn stopping_refuses_new_work_and_ends_the_old() {
    let mut driver = driver(PolicyKind::Full, map(1, 1, 1));
    driver.submit(1);
    driver.tell(EngineEvent::Stopping);
    driver.submit(2);
    let plan = driver.take_sends().remove(0);
    driver.reply(&plan);
    assert!(driver.answer().coverage.is_whole(), "admitted work ends");
    let refusal = driver.refusal();
    assert_eq!(
        (refusal.outcome, refusal.code),
        (Outcome::NotRun, RefusalCode::Stopping),
        "new work is refused"
    );
}
