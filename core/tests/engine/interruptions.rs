//! Quarantines, process pauses and disconnected callers: earlier work must not trigger further
//! sends.

use std::time::Duration;

use yuccalift_core::event::{AttemptFailure, ConnectionShare};
use yuccalift_core::{
    EngineEvent, EngineOptions, MissingReason, Outcome, PolicyKind, ProtectionSet, RefusalCode,
};

use crate::support::{EngineHarness, map};

const TYPICAL_LATENCY: Duration = Duration::from_millis(4);

fn harness(change: fn(&mut ProtectionSet)) -> EngineHarness {
    let mut options = EngineOptions::new(PolicyKind::Full, 7);
    change(&mut options.protections);
    EngineHarness::ready(options, map(1, 2, 3), 5)
}

/// Answers enough queries for the typical latency to be known.
fn warm_up(harness: &mut EngineHarness) {
    for query in 1_000..1_100 {
        harness.submit(query);
        harness.now += TYPICAL_LATENCY;
        for plan in harness.take_sends() {
            harness.reply(&plan);
        }
    }
    harness.answers.clear();
}

fn quarantine(harness: &mut EngineHarness, fingerprint: u64) {
    harness.handle(EngineEvent::Quarantine {
        fingerprint,
        held: true,
    });
}

/// Returns the number of sends of a request that crashes its targets and is quarantined while it is
/// in flight.
fn sends_of_crashing_request(change: fn(&mut ProtectionSet)) -> usize {
    let mut harness = harness(change);
    harness.submit(1);
    let mut sends = harness.take_sends();
    let mut sent = sends.len();
    quarantine(&mut harness, 1);
    while let Some(plan) = sends.pop() {
        harness.fail(&plan, AttemptFailure::Lost);
        let retries = harness.take_sends();
        sent += retries.len();
        sends.extend(retries);
    }
    assert!(
        harness.refusals.is_empty(),
        "a request that may have run is answered with missing shards, not refused"
    );
    assert_eq!(harness.answers.len(), 1, "the caller gets one answer");
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
    let mut harness = harness(|_| {});
    quarantine(&mut harness, 1);
    harness.submit(1);
    let refusal = harness.refusal();
    assert_eq!(
        (refusal.outcome, refusal.code),
        (Outcome::NotRun, RefusalCode::Quarantined)
    );
    harness.handle(EngineEvent::Quarantine {
        fingerprint: 1,
        held: false,
    });
    harness.submit(1);
    assert_eq!(
        harness.sends.len(),
        2,
        "the request runs after the quarantine has ended"
    );
}

#[test]
fn waiting_request_is_refused_when_quarantined() {
    let mut harness =
        EngineHarness::without_versions(EngineOptions::new(PolicyKind::Full, 7), map(1, 1, 1));
    harness.submit(1);
    quarantine(&mut harness, 1);
    assert_eq!(harness.refusal().code, RefusalCode::Quarantined);
}

#[test]
fn coverage_names_quarantine_as_the_reason() {
    let mut harness = harness(|_| {});
    harness.submit(1);
    let sends = harness.take_sends();
    harness.reply(&sends[0]);
    quarantine(&mut harness, 1);
    harness.fail(&sends[1], AttemptFailure::Lost);
    let missing = harness.answer().coverage.missing[0];
    assert_eq!(missing.reason, MissingReason::Quarantined);
}

/// Returns the number of sends after a pause during which a hedge check of a query became due.
fn sends_after_pause(change: fn(&mut ProtectionSet)) -> usize {
    let mut harness = harness(change);
    warm_up(&mut harness);
    harness.submit(1);
    harness.take_sends();
    harness.now += Duration::from_secs(1);
    harness.handle(EngineEvent::Tick);
    harness.take_sends().len()
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
    let mut harness = harness(|_| {});
    let shares: Vec<ConnectionShare> = (0..6)
        .map(|target| ConnectionShare {
            target,
            connections: 1,
        })
        .collect();
    harness.handle(EngineEvent::SharesChanged(shares.into()));
    for query in 1..=20 {
        harness.submit(query);
    }
    let sends = harness.take_sends();
    harness.now += Duration::from_secs(10);
    harness.reply(&sends[0]);
    harness.handle(EngineEvent::Paused(Duration::from_secs(10)));
    assert!(
        harness.sends.is_empty(),
        "nothing is sent after the deadlines"
    );
    assert_eq!(
        harness.answers.len() + harness.refusals.len(),
        20,
        "every query is answered or refused"
    );
    let all_not_run = harness
        .refusals
        .iter()
        .all(|(_, refusal)| refusal.outcome == Outcome::NotRun);
    assert!(all_not_run, "the refused queries did not run");
}

#[test]
fn pause_discards_target_state() {
    let mut harness = harness(|set| set.two_choices = false);
    warm_up(&mut harness);
    for query in 1..40 {
        harness.submit(query);
        let (slow, others): (Vec<_>, Vec<_>) = harness
            .take_sends()
            .into_iter()
            .partition(|plan| plan.target == 0);
        harness.now += TYPICAL_LATENCY;
        for plan in others {
            harness.reply(&plan);
        }
        harness.now += TYPICAL_LATENCY * 10;
        for plan in slow {
            harness.reply(&plan);
        }
    }
    let state = |harness: &EngineHarness| harness.engine.status().targets[0].state;
    assert_eq!(state(&harness), "ejected");
    harness.handle(EngineEvent::Paused(Duration::from_secs(1)));
    assert_eq!(
        state(&harness),
        "live",
        "the ejection is discarded after a pause"
    );
}

#[test]
fn disconnected_caller_causes_no_further_sends() {
    let mut harness = harness(|_| {});
    harness.submit(1);
    let sends = harness.take_sends();
    harness.handle(EngineEvent::CallerDisconnected { query: 1 });
    assert_eq!(
        harness.cancels.len(),
        2,
        "the attempts in flight are cancelled"
    );
    for plan in &sends {
        harness.fail(plan, AttemptFailure::Cancelled);
    }
    harness.advance(Duration::from_secs(5));
    assert!(harness.sends.is_empty(), "nothing is retried");
    assert!(
        harness.answers.is_empty(),
        "the disconnected caller gets no answer"
    );
}
