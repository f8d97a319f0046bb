//! Which targets get work: shares, limits, ejection, loss, cold starts and locality.

use std::time::Duration;

use yuccalift_core::action::AttemptPlan;
use yuccalift_core::event::{AttemptFailure, ConnectionShare, TargetUpdateKind};
use yuccalift_core::ids::TargetId;
use yuccalift_core::{
    EngineDecision, EngineEvent, EngineOptions, MissingReason, PolicyKind, ProtectionSet,
};
use yuccalift_testkit::cases;

use crate::support::{EngineDriver, map};

/// A usual latency, and that of a slow target.
const USUAL: Duration = Duration::from_millis(4);
const SLOW: Duration = Duration::from_millis(40);

fn driver(policy: PolicyKind, replicas: u32) -> EngineDriver {
    EngineDriver::ready(EngineOptions::new(policy, 7), map(1, 1, replicas), 5)
}

/// Runs one query at a time; `latency` tells what each target takes. Returns the targets asked.
fn run_queries(
    driver: &mut EngineDriver,
    first: u64,
    count: u64,
    latency: impl Fn(TargetId) -> Duration,
) -> Vec<TargetId> {
    let mut asked = Vec::new();
    for query in first..first + count {
        driver.submit(query);
        let mut sends = driver.take_sends();
        while let Some(plan) = sends.pop() {
            asked.push(plan.target);
            driver.now += latency(plan.target);
            driver.reply(&plan);
            sends.extend(driver.take_sends());
        }
    }
    asked
}

fn count_of(asked: &[TargetId], target: TargetId) -> usize {
    asked.iter().filter(|other| **other == target).count()
}

/// Attempts in flight never exceed the connection share, whatever comes.
fn share_is_kept(policy: PolicyKind) {
    let mut driver = driver(policy, 1);
    let share = ConnectionShare {
        target: 0,
        connections: 2,
    };
    driver.tell(EngineEvent::SharesChanged([share].into()));
    for query in 0..10 {
        driver.submit(query);
    }
    let mut sends = driver.take_sends();
    assert_eq!(sends.len(), 2, "one attempt uses one connection");
    for query in 0..10 {
        let plan: AttemptPlan = sends.remove(0);
        driver.reply(&plan);
        sends.extend(driver.take_sends());
        assert!(sends.len() <= 2, "after {query} replies");
    }
    assert_eq!(driver.answers.len(), 10, "what waits is served in turn");
}

cases! {
    full_keeps_the_share: share_is_kept(PolicyKind::Full);
    baseline_keeps_the_share: share_is_kept(PolicyKind::Baseline);
}

#[test]
fn share_told_before_the_map_is_kept() {
    let mut driver = EngineDriver::new(EngineOptions::new(PolicyKind::Full, 7));
    let share = ConnectionShare {
        target: 0,
        connections: 7,
    };
    driver.tell(EngineEvent::SharesChanged([share].into()));
    driver.tell(EngineEvent::MapChanged(std::sync::Arc::new(map(1, 1, 2))));
    let connections = |target: usize| driver.engine.status().targets[target].connections;
    assert_eq!(connections(0), 7, "it was told");
    assert_eq!(connections(1), 1, "the least while nothing is told");
}

#[test]
fn target_without_a_share_is_not_used() {
    let mut driver = driver(PolicyKind::Full, 2);
    let share = ConnectionShare {
        target: 0,
        connections: 0,
    };
    driver.tell(EngineEvent::SharesChanged([share].into()));
    let asked = run_queries(&mut driver, 1, 20, |_| USUAL);
    assert_eq!(count_of(&asked, 0), 0, "no connection may be held to it");
}

/// How many requests are in flight to a target that sheds, at the end.
fn limit_after_shedding(policy: PolicyKind) -> u32 {
    let mut driver = driver(policy, 1);
    for query in 0..20 {
        driver.submit(query);
        for plan in driver.take_sends() {
            driver.fail(&plan, AttemptFailure::Shed);
        }
        driver.now += Duration::from_millis(30);
    }
    driver.engine.status().targets[0].limit
}

#[test]
fn shedding_lowers_the_limit() {
    assert_eq!(limit_after_shedding(PolicyKind::Full), 1);
    assert_eq!(
        limit_after_shedding(PolicyKind::Baseline),
        30,
        "the baseline's limit is fixed"
    );
}

/// How often a slow target of three is asked in a hundred queries, round robin.
fn asks_of_slow_target(ejection: bool) -> usize {
    let mut options = EngineOptions::new(PolicyKind::Full, 7);
    options.protections = ProtectionSet {
        two_choices: false,
        hedging: false,
        ejection,
        ..options.protections
    };
    let mut driver = EngineDriver::ready(options, map(1, 1, 3), 5);
    run_queries(&mut driver, 1, 100, |_| USUAL);
    let asked = run_queries(&mut driver, 101, 100, |target| match target {
        0 => SLOW,
        _ => USUAL,
    });
    count_of(&asked, 0)
}

#[test]
fn slow_target_is_ejected() {
    let (with, without) = (asks_of_slow_target(true), asks_of_slow_target(false));
    assert!(without >= 30, "a round robin asks it every third time");
    assert!(with <= 5, "once ejected it is hardly asked: {with}");
}

#[test]
fn ejected_target_comes_back_gently() {
    let mut options = EngineOptions::new(PolicyKind::Full, 7);
    options.protections.two_choices = false;
    let mut driver = EngineDriver::ready(options, map(1, 1, 3), 5);
    run_queries(&mut driver, 1, 100, |_| USUAL);
    run_queries(&mut driver, 101, 30, |target| match target {
        0 => SLOW,
        _ => USUAL,
    });
    driver.pass(Duration::from_millis(500));
    assert!(
        driver
            .decisions
            .contains(&EngineDecision::Readmitted { target: 0 }),
        "its ejection ends"
    );
    let limit = driver.engine.status().targets[0].limit;
    assert_eq!(limit, 1, "it is tried with one request at a time");
    let asked = run_queries(&mut driver, 201, 30, |_| USUAL);
    assert!(count_of(&asked, 0) >= 5, "it has work again");
}

#[test]
fn half_of_the_replicas_are_never_ejected() {
    let mut options = EngineOptions::new(PolicyKind::Full, 7);
    options.protections.two_choices = false;
    let mut driver = EngineDriver::ready(options, map(1, 5, 4), 5);
    run_queries(&mut driver, 1, 100, |_| USUAL);
    for query in 101..200 {
        driver.submit(query);
        let (slow, usual): (Vec<_>, Vec<_>) = driver
            .take_sends()
            .into_iter()
            .partition(|plan| plan.target < 3);
        driver.now += USUAL;
        for plan in usual {
            driver.reply(&plan);
        }
        driver.now += SLOW;
        for plan in slow.iter().chain(&driver.take_sends()) {
            driver.reply(plan);
        }
        let ejected = driver.engine.status().targets[..4]
            .iter()
            .filter(|status| status.state == "ejected")
            .count();
        assert!(ejected <= 2, "of four replicas at least two have work");
    }
}

#[test]
fn single_replica_is_never_ejected() {
    let mut driver = driver(PolicyKind::Full, 1);
    run_queries(&mut driver, 1, 100, |_| USUAL);
    let asked = run_queries(&mut driver, 101, 30, |_| SLOW);
    assert_eq!(count_of(&asked, 0), 30, "there is no other");
}

#[test]
fn lost_target_is_left_alone_and_tried_again() {
    let mut driver = driver(PolicyKind::Full, 3);
    let mut lost = 0;
    for query in 1..=60 {
        driver.submit(query);
        let mut sends = driver.take_sends();
        while let Some(plan) = sends.pop() {
            if plan.target == 0 {
                lost += 1;
                driver.fail(&plan, AttemptFailure::NotSent);
            } else {
                driver.now += Duration::from_millis(1);
                driver.reply(&plan);
            }
            sends.extend(driver.take_sends());
        }
    }
    assert_eq!(lost, 2, "two failures in a row lose it");
    assert_eq!(driver.answers.len(), 60, "every query is answered");
    assert!(
        driver
            .answers
            .iter()
            .all(|(_, answer)| answer.coverage.is_whole()),
        "the other replicas cover its shard"
    );
    driver.pass(Duration::from_millis(100));
    let asked = run_queries(&mut driver, 100, 30, |_| USUAL);
    assert!(count_of(&asked, 0) > 0, "then it is tried again");
}

#[test]
fn draining_target_gets_no_new_work() {
    let mut driver = driver(PolicyKind::Full, 2);
    driver.news(0, TargetUpdateKind::Draining);
    let asked = run_queries(&mut driver, 1, 20, |_| USUAL);
    assert_eq!(count_of(&asked, 0), 0, "not even a hedge");
    driver.pass(Duration::from_secs(6));
    driver.news(0, TargetUpdateKind::Live);
    let asked = run_queries(&mut driver, 100, 40, |_| USUAL);
    assert!(count_of(&asked, 0) > 0, "until it is back");
}

#[test]
fn own_live_report_does_not_lift_what_others_say() {
    let mut driver = driver(PolicyKind::Full, 2);
    driver.news(0, TargetUpdateKind::Leaving(true));
    driver.pass(Duration::from_secs(6));
    driver.news(0, TargetUpdateKind::Live);
    let asked = run_queries(&mut driver, 1, 20, |_| USUAL);
    assert_eq!(
        count_of(&asked, 0),
        0,
        "its own report lags, so it gets no work"
    );
    driver.news(0, TargetUpdateKind::Leaving(false));
    let asked = run_queries(&mut driver, 100, 40, |_| USUAL);
    assert!(count_of(&asked, 0) > 0, "until nobody says so any more");
}

#[test]
fn new_target_starts_gently() {
    let mut driver = driver(PolicyKind::Full, 2);
    run_queries(&mut driver, 1, 100, |_| USUAL);
    driver.put_map(map(2, 1, 3));
    driver.hold(2, &[5]);
    let limit = driver.engine.status().targets[2].limit;
    assert_eq!(limit, 1, "one request at a time while it is cold");
    let asked = run_queries(&mut driver, 101, 30, |_| USUAL);
    assert!(
        count_of(&asked, 2) < count_of(&asked, 0),
        "and less work than the warm ones: {asked:?}"
    );
}

#[test]
fn target_of_the_own_data_centre_is_preferred_while_it_is_no_slower() {
    let options = EngineOptions::new(PolicyKind::Full, 7).in_data_centre("south");
    let mut map = map(1, 1, 3);
    map.targets[2].data_centre = "south".into();
    let mut driver = EngineDriver::ready(options, map, 5);
    let asked = run_queries(&mut driver, 1, 50, |_| USUAL);
    assert!(count_of(&asked, 2) >= 45, "equal targets: {asked:?}");
    let asked = run_queries(&mut driver, 101, 50, |target| match target {
        2 => USUAL * 3,
        _ => USUAL,
    });
    assert!(count_of(&asked, 2) <= 10, "slower target: {asked:?}");
}

/// How often a target that claims to be loaded is asked, by the age of its report.
fn asks_after_report(age: Duration) -> usize {
    let mut driver = driver(PolicyKind::Full, 2);
    run_queries(&mut driver, 1, 50, |_| USUAL);
    driver.news(0, TargetUpdateKind::Load { load: 1.0, age });
    count_of(&run_queries(&mut driver, 101, 40, |_| USUAL), 0)
}

#[test]
fn old_load_report_says_nothing() {
    let fresh = asks_after_report(Duration::ZERO);
    let old = asks_after_report(Duration::from_secs(2));
    assert!(fresh < old, "fresh {fresh}, old {old}");
}

#[test]
fn retry_budget_bounds_the_retries() {
    let mut driver = driver(PolicyKind::Full, 3);
    let mut sent = 0;
    for query in 1..=2_000 {
        driver.submit(query);
        let mut sends = driver.take_sends();
        while let Some(plan) = sends.pop() {
            sent += 1;
            driver.fail(&plan, AttemptFailure::Shed);
            sends.extend(driver.take_sends());
        }
    }
    let retries = sent - 2_000;
    assert!(
        retries <= 100 + 200,
        "retries are a burst and a tenth of the requests: {retries}"
    );
    let told = driver
        .refusals
        .iter()
        .all(|(_, refusal)| refusal.outcome == yuccalift_core::Outcome::NotRun);
    assert!(told, "all of it was refused before it ran");
}

#[test]
fn missing_shard_names_why() {
    let mut driver = driver(PolicyKind::Full, 2);
    driver.submit(1);
    let mut sends = driver.take_sends();
    while let Some(plan) = sends.pop() {
        driver.fail(&plan, AttemptFailure::Garbled);
        sends.extend(driver.take_sends());
    }
    let missing = driver.answer().coverage.missing[0];
    assert_eq!(missing.reason, MissingReason::Failed);
}

#[test]
fn target_that_was_slow_once_is_asked_again_later() {
    let mut options = EngineOptions::new(PolicyKind::Full, 7);
    options.protections.ejection = false;
    let mut driver = EngineDriver::ready(options, map(1, 1, 2), 5);
    run_queries(&mut driver, 1, 100, |_| USUAL);
    run_queries(&mut driver, 101, 40, |target| match target {
        0 => SLOW,
        _ => USUAL,
    });
    let soon = run_queries(&mut driver, 201, 20, |_| USUAL);
    assert!(count_of(&soon, 0) <= 2, "it was slow just now: {soon:?}");
    driver.pass(Duration::from_secs(10));
    let later = run_queries(&mut driver, 301, 20, |_| USUAL);
    assert!(count_of(&later, 0) >= 5, "that is long ago: {later:?}");
}
