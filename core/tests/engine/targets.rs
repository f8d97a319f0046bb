//! Selection of targets: connection shares, limits, ejection, loss, cold starts and locality.

use std::time::Duration;

use yuccalift_core::action::AttemptPlan;
use yuccalift_core::event::{AttemptFailure, ConnectionShare, TargetUpdateKind};
use yuccalift_core::ids::TargetId;
use yuccalift_core::{
    EngineDecision, EngineEvent, EngineOptions, MissingReason, PolicyKind, ProtectionSet,
};
use yuccalift_testkit::cases;

use crate::support::{EngineHarness, map};

/// Latency of a target that is not slow.
const TYPICAL_LATENCY: Duration = Duration::from_millis(4);
const SLOW_LATENCY: Duration = Duration::from_millis(40);

fn harness(policy: PolicyKind, replicas: u32) -> EngineHarness {
    EngineHarness::ready(EngineOptions::new(policy, 7), map(1, 1, replicas), 5)
}

/// Runs one query at a time with the given latency of each target. Returns the target of each send.
fn run_queries(
    harness: &mut EngineHarness,
    first: u64,
    count: u64,
    latency: impl Fn(TargetId) -> Duration,
) -> Vec<TargetId> {
    let mut sent_to = Vec::new();
    for query in first..first + count {
        harness.submit(query);
        let mut sends = harness.take_sends();
        while let Some(plan) = sends.pop() {
            sent_to.push(plan.target);
            harness.now += latency(plan.target);
            harness.reply(&plan);
            sends.extend(harness.take_sends());
        }
    }
    sent_to
}

fn count_of(sent_to: &[TargetId], target: TargetId) -> usize {
    sent_to.iter().filter(|other| **other == target).count()
}

/// Checks that attempts in flight never exceed the connection share.
fn share_is_never_exceeded(policy: PolicyKind) {
    let mut harness = harness(policy, 1);
    let share = ConnectionShare {
        target: 0,
        connections: 2,
    };
    harness.handle(EngineEvent::SharesChanged([share].into()));
    for query in 0..10 {
        harness.submit(query);
    }
    let mut sends = harness.take_sends();
    assert_eq!(sends.len(), 2, "one attempt uses one connection");
    for query in 0..10 {
        let plan: AttemptPlan = sends.remove(0);
        harness.reply(&plan);
        sends.extend(harness.take_sends());
        assert!(sends.len() <= 2, "after {query} replies");
    }
    assert_eq!(
        harness.answers.len(),
        10,
        "all waiting queries are answered"
    );
}

cases! {
    full_policy_never_exceeds_the_share: share_is_never_exceeded(PolicyKind::Full);
    baseline_policy_never_exceeds_the_share: share_is_never_exceeded(PolicyKind::Baseline);
}

#[test]
fn share_announced_before_the_map_is_kept() {
    let mut harness = EngineHarness::new(EngineOptions::new(PolicyKind::Full, 7));
    let share = ConnectionShare {
        target: 0,
        connections: 7,
    };
    harness.handle(EngineEvent::SharesChanged([share].into()));
    harness.handle(EngineEvent::MapChanged(std::sync::Arc::new(map(1, 1, 2))));
    let connections = |target: usize| harness.engine.status().targets[target].connections;
    assert_eq!(connections(0), 7, "the announced share is used");
    assert_eq!(
        connections(1),
        1,
        "the initial share is 1 until one is announced"
    );
}

#[test]
fn target_without_a_share_is_not_used() {
    let mut harness = harness(PolicyKind::Full, 2);
    let share = ConnectionShare {
        target: 0,
        connections: 0,
    };
    harness.handle(EngineEvent::SharesChanged([share].into()));
    let sent_to = run_queries(&mut harness, 1, 20, |_| TYPICAL_LATENCY);
    assert_eq!(
        count_of(&sent_to, 0),
        0,
        "a target without a connection share gets no request"
    );
}

/// Returns the concurrency limit of a target that has shed 20 requests.
fn limit_after_shedding(policy: PolicyKind) -> u32 {
    let mut harness = harness(policy, 1);
    for query in 0..20 {
        harness.submit(query);
        for plan in harness.take_sends() {
            harness.fail(&plan, AttemptFailure::Shed);
        }
        harness.now += Duration::from_millis(30);
    }
    harness.engine.status().targets[0].limit
}

#[test]
fn shedding_lowers_the_limit() {
    assert_eq!(limit_after_shedding(PolicyKind::Full), 1);
    assert_eq!(
        limit_after_shedding(PolicyKind::Baseline),
        30,
        "the limit of the baseline is fixed"
    );
}

/// Returns the number of requests to the slow one of three targets in 100 queries with round robin.
fn requests_to_slow_target(ejection: bool) -> usize {
    let mut options = EngineOptions::new(PolicyKind::Full, 7);
    options.protections = ProtectionSet {
        two_choices: false,
        hedging: false,
        ejection,
        ..options.protections
    };
    let mut harness = EngineHarness::ready(options, map(1, 1, 3), 5);
    run_queries(&mut harness, 1, 100, |_| TYPICAL_LATENCY);
    let sent_to = run_queries(&mut harness, 101, 100, |target| match target {
        0 => SLOW_LATENCY,
        _ => TYPICAL_LATENCY,
    });
    count_of(&sent_to, 0)
}

#[test]
fn slow_target_is_ejected() {
    let (with, without) = (
        requests_to_slow_target(true),
        requests_to_slow_target(false),
    );
    assert!(
        without >= 30,
        "round robin sends every third request to the slow target"
    );
    assert!(with <= 5, "an ejected target gets few requests: {with}");
}

#[test]
fn readmitted_target_starts_at_limit_one() {
    let mut options = EngineOptions::new(PolicyKind::Full, 7);
    options.protections.two_choices = false;
    let mut harness = EngineHarness::ready(options, map(1, 1, 3), 5);
    run_queries(&mut harness, 1, 100, |_| TYPICAL_LATENCY);
    run_queries(&mut harness, 101, 30, |target| match target {
        0 => SLOW_LATENCY,
        _ => TYPICAL_LATENCY,
    });
    harness.advance(Duration::from_millis(500));
    assert!(
        harness
            .decisions
            .contains(&EngineDecision::Readmitted { target: 0 }),
        "the target is readmitted"
    );
    let limit = harness.engine.status().targets[0].limit;
    assert_eq!(limit, 1, "a readmitted target gets one request at a time");
    let sent_to = run_queries(&mut harness, 201, 30, |_| TYPICAL_LATENCY);
    assert!(
        count_of(&sent_to, 0) >= 5,
        "a readmitted target gets requests again"
    );
}

#[test]
fn at_least_half_of_the_replicas_stay_in_use() {
    let mut options = EngineOptions::new(PolicyKind::Full, 7);
    options.protections.two_choices = false;
    let mut harness = EngineHarness::ready(options, map(1, 5, 4), 5);
    run_queries(&mut harness, 1, 100, |_| TYPICAL_LATENCY);
    for query in 101..200 {
        harness.submit(query);
        let (slow, others): (Vec<_>, Vec<_>) = harness
            .take_sends()
            .into_iter()
            .partition(|plan| plan.target < 3);
        harness.now += TYPICAL_LATENCY;
        for plan in others {
            harness.reply(&plan);
        }
        harness.now += SLOW_LATENCY;
        for plan in slow.iter().chain(&harness.take_sends()) {
            harness.reply(plan);
        }
        let ejected = harness.engine.status().targets[..4]
            .iter()
            .filter(|status| status.state == "ejected")
            .count();
        assert!(ejected <= 2, "at most two of four replicas are ejected");
    }
}

#[test]
fn single_replica_is_never_ejected() {
    let mut harness = harness(PolicyKind::Full, 1);
    run_queries(&mut harness, 1, 100, |_| TYPICAL_LATENCY);
    let sent_to = run_queries(&mut harness, 101, 30, |_| SLOW_LATENCY);
    assert_eq!(
        count_of(&sent_to, 0),
        30,
        "the only replica gets all requests"
    );
}

#[test]
fn lost_target_is_avoided_and_retried_later() {
    let mut harness = harness(PolicyKind::Full, 3);
    let mut lost_attempts = 0;
    for query in 1..=60 {
        harness.submit(query);
        let mut sends = harness.take_sends();
        while let Some(plan) = sends.pop() {
            if plan.target == 0 {
                lost_attempts += 1;
                harness.fail(&plan, AttemptFailure::NotSent);
            } else {
                harness.now += Duration::from_millis(1);
                harness.reply(&plan);
            }
            sends.extend(harness.take_sends());
        }
    }
    assert_eq!(
        lost_attempts, 2,
        "two consecutive failures mark the target as lost"
    );
    assert_eq!(harness.answers.len(), 60, "every query is answered");
    assert!(
        harness
            .answers
            .iter()
            .all(|(_, answer)| answer.coverage.is_complete()),
        "the other replicas answer for the shard"
    );
    harness.advance(Duration::from_millis(100));
    let sent_to = run_queries(&mut harness, 100, 30, |_| TYPICAL_LATENCY);
    assert!(
        count_of(&sent_to, 0) > 0,
        "the lost target is tried again after a while"
    );
}

#[test]
fn draining_target_gets_no_new_work() {
    let mut harness = harness(PolicyKind::Full, 2);
    harness.update_target(0, TargetUpdateKind::Draining);
    let sent_to = run_queries(&mut harness, 1, 20, |_| TYPICAL_LATENCY);
    assert_eq!(
        count_of(&sent_to, 0),
        0,
        "a draining target gets no request, not even a hedge"
    );
    harness.advance(Duration::from_secs(6));
    harness.update_target(0, TargetUpdateKind::Live);
    let sent_to = run_queries(&mut harness, 100, 40, |_| TYPICAL_LATENCY);
    assert!(
        count_of(&sent_to, 0) > 0,
        "a target that is live again gets requests"
    );
}

#[test]
fn own_live_report_does_not_override_leaving_reports() {
    let mut harness = harness(PolicyKind::Full, 2);
    harness.update_target(0, TargetUpdateKind::Leaving(true));
    harness.advance(Duration::from_secs(6));
    harness.update_target(0, TargetUpdateKind::Live);
    let sent_to = run_queries(&mut harness, 1, 20, |_| TYPICAL_LATENCY);
    assert_eq!(
        count_of(&sent_to, 0),
        0,
        "the target's own report may lag, so it gets no request"
    );
    harness.update_target(0, TargetUpdateKind::Leaving(false));
    let sent_to = run_queries(&mut harness, 100, 40, |_| TYPICAL_LATENCY);
    assert!(
        count_of(&sent_to, 0) > 0,
        "the target gets requests once no one reports it as leaving"
    );
}

#[test]
fn new_target_starts_at_limit_one() {
    let mut harness = harness(PolicyKind::Full, 2);
    run_queries(&mut harness, 1, 100, |_| TYPICAL_LATENCY);
    harness.change_map(map(2, 1, 3));
    harness.report_versions(2, &[5]);
    let limit = harness.engine.status().targets[2].limit;
    assert_eq!(limit, 1, "a cold target gets one request at a time");
    let sent_to = run_queries(&mut harness, 101, 30, |_| TYPICAL_LATENCY);
    assert!(
        count_of(&sent_to, 2) < count_of(&sent_to, 0),
        "a cold target gets fewer requests than a warm one: {sent_to:?}"
    );
}

#[test]
fn local_target_is_preferred_unless_it_is_slower() {
    let options = EngineOptions::new(PolicyKind::Full, 7).in_data_centre("south");
    let mut map = map(1, 1, 3);
    map.targets[2].data_centre = "south".into();
    let mut harness = EngineHarness::ready(options, map, 5);
    let sent_to = run_queries(&mut harness, 1, 50, |_| TYPICAL_LATENCY);
    assert!(
        count_of(&sent_to, 2) >= 45,
        "a local target of equal latency is preferred: {sent_to:?}"
    );
    let sent_to = run_queries(&mut harness, 101, 50, |target| match target {
        2 => TYPICAL_LATENCY * 3,
        _ => TYPICAL_LATENCY,
    });
    assert!(
        count_of(&sent_to, 2) <= 10,
        "a slower local target is not preferred: {sent_to:?}"
    );
}

/// Returns the number of requests to a target with a report of full load of the given age.
fn requests_after_report(age: Duration) -> usize {
    let mut harness = harness(PolicyKind::Full, 2);
    run_queries(&mut harness, 1, 50, |_| TYPICAL_LATENCY);
    harness.update_target(0, TargetUpdateKind::Load { load: 1.0, age });
    count_of(&run_queries(&mut harness, 101, 40, |_| TYPICAL_LATENCY), 0)
}

#[test]
fn old_load_report_is_ignored() {
    let fresh = requests_after_report(Duration::ZERO);
    let old = requests_after_report(Duration::from_secs(2));
    assert!(
        fresh < old,
        "requests with a fresh report {fresh}, with an old one {old}"
    );
}

#[test]
fn retry_budget_bounds_the_retries() {
    let mut harness = harness(PolicyKind::Full, 3);
    let mut sent = 0;
    for query in 1..=2_000 {
        harness.submit(query);
        let mut sends = harness.take_sends();
        while let Some(plan) = sends.pop() {
            sent += 1;
            harness.fail(&plan, AttemptFailure::Shed);
            sends.extend(harness.take_sends());
        }
    }
    let retries = sent - 2_000;
    assert!(
        retries <= 100 + 200,
        "retries are limited to a burst and a tenth of the requests: {retries}"
    );
    let all_not_run = harness
        .refusals
        .iter()
        .all(|(_, refusal)| refusal.outcome == yuccalift_core::Outcome::NotRun);
    assert!(all_not_run, "all queries were refused as not run");
}

#[test]
fn missing_shard_has_a_reason() {
    let mut harness = harness(PolicyKind::Full, 2);
    harness.submit(1);
    let mut sends = harness.take_sends();
    while let Some(plan) = sends.pop() {
        harness.fail(&plan, AttemptFailure::Garbled);
        sends.extend(harness.take_sends());
    }
    let missing = harness.answer().coverage.missing[0];
    assert_eq!(missing.reason, MissingReason::Failed);
}

#[test]
fn target_that_was_slow_is_chosen_again_later() {
    let mut options = EngineOptions::new(PolicyKind::Full, 7);
    options.protections.ejection = false;
    let mut harness = EngineHarness::ready(options, map(1, 1, 2), 5);
    run_queries(&mut harness, 1, 100, |_| TYPICAL_LATENCY);
    run_queries(&mut harness, 101, 40, |target| match target {
        0 => SLOW_LATENCY,
        _ => TYPICAL_LATENCY,
    });
    let soon = run_queries(&mut harness, 201, 20, |_| TYPICAL_LATENCY);
    assert!(
        count_of(&soon, 0) <= 2,
        "a recently slow target gets few requests: {soon:?}"
    );
    harness.advance(Duration::from_secs(10));
    let later = run_queries(&mut harness, 301, 20, |_| TYPICAL_LATENCY);
    assert!(
        count_of(&later, 0) >= 5,
        "a target that was slow long ago gets requests: {later:?}"
    );
}
