//! Quarantines, process pauses and disconnected callers: earlier work must not trigger further
//! sends.

use std::time::Duration;

use yuccalift_core::event::{AttemptFailure, ConnectionShare};
use yuccalift_core::{
    EngineEvent, EngineOptions, MissingReason, Outcome, PolicyKind, ProtectionSet, RefusalCode,
};

use crate::support::{EngineDriver, map};

const TYPICAL: Duration = Duration::from_millis(4);

fn driver(change: fn(&mut ProtectionSet)) -> EngineDriver {
    let mut options = EngineOptions::new(PolicyKind::Full, 7);
    change(&mut options.protections);
    EngineDriver::ready(options, map(1, 2, 3), 5)
}

/// Answers enough queries for the typical latency to be known.
fn warm_up(driver: &mut EngineDriver) {
    for query in 1_000..1_100 {
        driver.submit(query);
        driver.now += TYPICAL;
        for plan in driver.take_sends() {
            driver.reply(&plan);
        }
    }
    driver.answers.clear();
}

fn quarantine(driver: &mut EngineDriver, fingerprint: u64) {
    driver.handle(EngineEvent::Quarantine {
        fingerprint,
        held: true,
    });
}

/// Returns the number of sends of a request that crashes its targets and is quarantined while it is
/// in flight.
fn sends_of_crashing_request(change: fn(&mut ProtectionSet)) -> usize {
    let mut driver = driver(change);
    driver.submit(1);
    let mut sends = driver.take_sends();
    let mut sent = sends.len();
    quarantine(&mut driver, 1);
    while let Some(plan) = sends.pop() {
        driver.fail(&plan, AttemptFailure::Lost);
        let retries = driver.take_sends();
        sent += retries.len();
        sends.extend(retries);
    }
    assert!(
        driver.refusals.is_empty(),
        "a request that may have run is answered with missing shards, not refused"
    );
    assert_eq!(driver.answers.len(), 1, "the caller gets one answer");
    sent
}

#[test]
fn quarantined_running_request_is_not_retried() {
    assert_eq!(
        sends_of_crashing_request(|_| {}),
        2,
        "one attempt per shard"
    );
}

#[test]
fn crashing_request_is_retried_without_quarantine() {
    let sent = sends_of_crashing_request(|set| set.quarantine = false);
    assert!(
        sent > 2,
        "without quarantine the request is sent to further targets: {sent}"
    );
}

#[test]
fn quarantined_request_is_refused_at_submission() {
    let mut driver = driver(|_| {});
    quarantine(&mut driver, 1);
    driver.submit(1);
    let refusal = driver.refusal();
    assert_eq!(
        (refusal.outcome, refusal.code),
        (Outcome::NotRun, RefusalCode::Quarantined)
    );
    driver.handle(EngineEvent::Quarantine {
        fingerprint: 1,
        held: false,
    });
    driver.submit(1);
    assert_eq!(
        driver.sends.len(),
        2,
        "the request runs after the quarantine has ended"
    );
}

#[test]
fn waiting_request_is_refused_when_quarantined() {
    let mut driver =
        EngineDriver::without_versions(EngineOptions::new(PolicyKind::Full, 7), map(1, 1, 1));
    driver.submit(1);
    quarantine(&mut driver, 1);
    assert_eq!(driver.refusal().code, RefusalCode::Quarantined);
}

#[test]
fn coverage_names_quarantine_as_the_reason() {
    let mut driver = driver(|_| {});
    driver.submit(1);
    let sends = driver.take_sends();
    driver.reply(&sends[0]);
    quarantine(&mut driver, 1);
    driver.fail(&sends[1], AttemptFailure::Lost);
    let missing = driver.answer().coverage.missing[0];
    assert_eq!(missing.reason, MissingReason::Quarantined);
}

/// Returns the number of sends after a pause during which a hedge check of a query became due.
fn sends_after_pause(change: fn(&mut ProtectionSet)) -> usize {
    let mut driver = driver(change);
    warm_up(&mut driver);
    driver.submit(1);
    driver.take_sends();
    driver.now += Duration::from_secs(1);
    driver.handle(EngineEvent::Tick);
    driver.take_sends().len()
}

#[test]
fn overdue_hedge_is_not_sent_after_a_pause() {
    assert_eq!(
        sends_after_pause(|_| {}),
        0,
        "replies may already be waiting"
    );
}

#[test]
fn overdue_hedge_is_sent_without_pause_handling() {
    assert!(sends_after_pause(|set| set.pause_handling = false) > 0);
}

#[test]
fn nothing_is_sent_past_its_deadline_after_a_pause() {
    let mut driver = driver(|_| {});
    let shares: Vec<ConnectionShare> = (0..6)
        .map(|target| ConnectionShare {
            target,
            connections: 1,
        })
        .collect();
    driver.handle(EngineEvent::SharesChanged(shares.into()));
    for query in 1..=20 {
        driver.submit(query);
    }
    let sends = driver.take_sends();
    driver.now += Duration::from_secs(10);
    driver.reply(&sends[0]);
    driver.handle(EngineEvent::Paused(Duration::from_secs(10)));
    assert!(
        driver.sends.is_empty(),
        "nothing is sent after the deadlines"
    );
    assert_eq!(
        driver.answers.len() + driver.refusals.len(),
        20,
        "every query is answered or refused"
    );
    let all_not_run = driver
        .refusals
        .iter()
        .all(|(_, refusal)| refusal.outcome == Outcome::NotRun);
    assert!(all_not_run, "the refused queries did not run");
}

#[test]
fn pause_discards_target_state() {
    let mut driver = driver(|set| set.two_choices = false);
    warm_up(&mut driver);
    for query in 1..40 {
        driver.submit(query);
        let (slow, others): (Vec<_>, Vec<_>) = driver
            .take_sends()
            .into_iter()
            .partition(|plan| plan.target == 0);
        driver.now += TYPICAL;
        for plan in others {
            driver.reply(&plan);
        }
        driver.now += TYPICAL * 10;
        for plan in slow {
            driver.reply(&plan);
        }
    }
    let state = |driver: &EngineDriver| driver.engine.status().targets[0].state;
    assert_eq!(state(&driver), "ejected");
    driver.handle(EngineEvent::Paused(Duration::from_secs(1)));
    assert_eq!(
        state(&driver),
        "live",
        "the ejection is discarded after a pause"
    );
}

#[test]
fn disconnected_caller_causes_no_further_sends() {
    let mut driver = driver(|_| {});
    driver.submit(1);
    let sends = driver.take_sends();
    driver.handle(EngineEvent::CallerDisconnected { query: 1 });
    assert_eq!(
        driver.cancels.len(),
        2,
        "the attempts in flight are cancelled"
    );
    for plan in &sends {
        driver.fail(plan, AttemptFailure::Cancelled);
    }
    driver.advance(Duration::from_secs(5));
    assert!(driver.sends.is_empty(), "nothing is retried");
    assert!(
        driver.answers.is_empty(),
        "the disconnected caller gets no answer"
    );
}
