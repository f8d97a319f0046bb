//! Quarantines, pauses and callers that go: what was begun before must not act on.

use std::time::Duration;

use yuccalift_core::event::{AttemptFailure, TargetShare};
use yuccalift_core::{
    EngineEvent, EngineOptions, MissingReason, Outcome, PolicyKind, ProtectionSet, RefusalCode,
};

use crate::support::{EngineDriver, map};

const USUAL: Duration = Duration::from_millis(4);

fn driver(change: fn(&mut ProtectionSet)) -> EngineDriver {
    let mut options = EngineOptions::new(PolicyKind::Full, 7);
    change(&mut options.protections);
    EngineDriver::ready(options, map(1, 2, 3), 5)
}

/// Answers enough queries for the usual latency to be known.
fn warm_up(driver: &mut EngineDriver) {
    for query in 1_000..1_100 {
        driver.submit(query);
        driver.now += USUAL;
        for plan in driver.take_sends() {
            driver.reply(&plan);
        }
    }
    driver.answers.clear();
}

fn hold_back(driver: &mut EngineDriver, fingerprint: u64) {
    driver.tell(EngineEvent::Quarantine {
        fingerprint,
        held: true,
    });
}

/// How often a request that crashes its targets is sent, when it is quarantined on the way.
fn sends_of_crashing_request(change: fn(&mut ProtectionSet)) -> usize {
    let mut driver = driver(change);
    driver.submit(1);
    let mut sends = driver.take_sends();
    let mut sent = sends.len();
    hold_back(&mut driver, 1);
    while let Some(plan) = sends.pop() {
        driver.fail(&plan, AttemptFailure::Lost);
        let again = driver.take_sends();
        sent += again.len();
        sends.extend(again);
    }
    assert!(
        driver.refusals.is_empty(),
        "it ran, so it is answered with what is missing"
    );
    assert_eq!(driver.answers.len(), 1, "its caller is told once");
    sent
}

#[test]
fn quarantined_request_in_work_is_not_sent_again() {
    assert_eq!(sends_of_crashing_request(|_| {}), 2, "one try a shard");
}

#[test]
fn crashing_request_goes_on_without_quarantine() {
    let sent = sends_of_crashing_request(|set| set.quarantine = false);
    assert!(sent > 2, "it takes further targets down: {sent}");
}

#[test]
fn quarantined_request_is_refused_at_the_door() {
    let mut driver = driver(|_| {});
    hold_back(&mut driver, 1);
    driver.submit(1);
    let refusal = driver.refusal();
    assert_eq!(
        (refusal.outcome, refusal.code),
        (Outcome::NotRun, RefusalCode::Quarantined)
    );
    driver.tell(EngineEvent::Quarantine {
        fingerprint: 1,
        held: false,
    });
    driver.submit(1);
    assert_eq!(driver.sends.len(), 2, "it runs once it is free again");
}

#[test]
fn quarantined_request_that_waits_is_refused() {
    let mut driver = EngineDriver::untold(EngineOptions::new(PolicyKind::Full, 7), map(1, 1, 1));
    driver.submit(1);
    hold_back(&mut driver, 1);
    assert_eq!(driver.refusal().code, RefusalCode::Quarantined);
}

#[test]
fn quarantine_names_itself_in_the_coverage() {
    let mut driver = driver(|_| {});
    driver.submit(1);
    let sends = driver.take_sends();
    driver.reply(&sends[0]);
    hold_back(&mut driver, 1);
    driver.fail(&sends[1], AttemptFailure::Lost);
    let missing = driver.answer().coverage.missing[0];
    assert_eq!(missing.reason, MissingReason::Quarantined);
}

/// How many requests are sent on waking from a pause within which a query's hedge came due.
fn sends_on_waking(change: fn(&mut ProtectionSet)) -> usize {
    let mut driver = driver(change);
    warm_up(&mut driver);
    driver.submit(1);
    driver.take_sends();
    driver.now += Duration::from_secs(1);
    driver.tell(EngineEvent::Tick);
    driver.take_sends().len()
}

#[test]
fn stale_hedge_is_not_sent_after_a_pause() {
    assert_eq!(sends_on_waking(|_| {}), 0, "replies may be there already");
}

#[test]
fn stale_hedge_is_sent_without_the_check() {
    assert!(sends_on_waking(|set| set.pause_handling = false) > 0);
}

#[test]
fn nothing_is_sent_past_its_deadline_after_a_pause() {
    let mut driver = driver(|_| {});
    let shares: Vec<TargetShare> = (0..6)
        .map(|target| TargetShare {
            target,
            connections: 1,
        })
        .collect();
    driver.tell(EngineEvent::SharesChanged(shares.into()));
    for query in 1..=20 {
        driver.submit(query);
    }
    let sends = driver.take_sends();
    driver.now += Duration::from_secs(10);
    driver.reply(&sends[0]);
    driver.tell(EngineEvent::Paused(Duration::from_secs(10)));
    assert!(driver.sends.is_empty(), "every deadline has passed");
    assert_eq!(
        driver.answers.len() + driver.refusals.len(),
        20,
        "every caller is told"
    );
    let untouched = driver
        .refusals
        .iter()
        .all(|(_, refusal)| refusal.outcome == Outcome::NotRun);
    assert!(untouched, "what waited has not run");
}

#[test]
fn pause_drops_what_was_believed_of_targets() {
    let mut driver = driver(|set| set.two_choices = false);
    warm_up(&mut driver);
    for query in 1..40 {
        driver.submit(query);
        let (slow, usual): (Vec<_>, Vec<_>) = driver
            .take_sends()
            .into_iter()
            .partition(|plan| plan.target == 0);
        driver.now += USUAL;
        for plan in usual {
            driver.reply(&plan);
        }
        driver.now += USUAL * 10;
        for plan in slow {
            driver.reply(&plan);
        }
    }
    let state = |driver: &EngineDriver| driver.engine.status().targets[0].state;
    assert_eq!(state(&driver), "ejected");
    driver.tell(EngineEvent::Paused(Duration::from_secs(1)));
    assert_eq!(state(&driver), "live", "nobody knows how it is now");
}

#[test]
fn caller_that_has_gone_costs_nothing_more() {
    let mut driver = driver(|_| {});
    driver.submit(1);
    let sends = driver.take_sends();
    driver.tell(EngineEvent::CallerGone { query: 1 });
    assert_eq!(driver.cancels.len(), 2, "what is under way is cancelled");
    for plan in &sends {
        driver.fail(plan, AttemptFailure::Cancelled);
    }
    driver.pass(Duration::from_secs(5));
    assert!(driver.sends.is_empty(), "nothing is tried again");
    assert!(driver.answers.is_empty(), "nobody is there to be answered");
}
