//! The attempt gate: a lost target is counted once, and every attempt that waits for the result of
//! a trial is sent or dropped in the end.

use std::sync::Arc;
use std::time::{Duration, Instant};

use yuccalift_core::RequestKind;
use yuccalift_core::Snapshot;
use yuccalift_core::action::{AttemptCause, AttemptPlan};
use yuccalift_core::event::AttemptFailure;
use yuccalift_core::ids::{AttemptId, Fingerprint, ShardId, TargetId};
use yuccalift_core::quarantine::{AttemptGate, GateAction, NoticeKind};

const CRASHING_REQUEST: Fingerprint = 13;
const DEADLINE: Duration = Duration::from_millis(50);

fn plan(
    now: Instant,
    attempt: AttemptId,
    fingerprint: Fingerprint,
    (shard, target): (ShardId, TargetId),
) -> AttemptPlan {
    AttemptPlan {
        attempt,
        query: 1,
        request: "request-1".into(),
        target,
        address: ([127, 0, 0, 1], 1).into(),
        shard,
        kind: RequestKind::Search,
        snapshot: Snapshot {
            epoch: 1,
            version: 1,
        },
        text: Arc::from("ewe"),
        limit: 1,
        fingerprint,
        deadline: now + DEADLINE,
        cause: AttemptCause::First,
    }
}

/// A gate under test, with the time that is passed to its methods.
struct GateHarness {
    gate: AttemptGate,
    now: Instant,
}

impl GateHarness {
    fn new() -> Self {
        Self {
            gate: AttemptGate::new(),
            now: Instant::now(),
        }
    }

    fn offer(
        &mut self,
        attempt: AttemptId,
        request: Fingerprint,
        at: (ShardId, TargetId),
    ) -> Vec<GateAction> {
        let mut actions = Vec::new();
        let plan = plan(self.now, attempt, request, at);
        self.gate.offer(self.now, plan, &mut actions);
        actions
    }

    fn lose(&mut self, attempt: AttemptId) -> Vec<GateAction> {
        let mut actions = Vec::new();
        self.gate
            .record_failure(self.now, attempt, &AttemptFailure::Lost, &mut actions);
        actions
    }

    fn answer(&mut self, attempt: AttemptId) -> Vec<GateAction> {
        let mut actions = Vec::new();
        self.gate.record_answer(self.now, attempt, &mut actions);
        actions
    }

    fn suspect_count(&self) -> usize {
        self.gate.table().len()
    }
}

fn sent(actions: &[GateAction]) -> Vec<AttemptId> {
    let attempts = actions.iter().filter_map(|action| match action {
        GateAction::Send(plan) => Some(plan.attempt),
        _ => None,
    });
    attempts.collect()
}

fn dropped(actions: &[GateAction]) -> Vec<AttemptId> {
    let attempts = actions.iter().filter_map(|action| match action {
        GateAction::Drop(attempt) => Some(*attempt),
        _ => None,
    });
    attempts.collect()
}

fn suspicions(actions: &[GateAction]) -> Vec<(Fingerprint, u32)> {
    let notices = actions.iter().filter_map(|action| match action {
        GateAction::NotifyPeers(notice) => match notice.kind {
            NoticeKind::Suspected { blame, .. } => Some((notice.fingerprint, blame)),
            NoticeKind::Held { .. } => None,
        },
        _ => None,
    });
    notices.collect()
}

#[test]
fn attempts_lost_with_one_target_count_as_one_loss() {
    let mut harness = GateHarness::new();
    for attempt in 0..4 {
        harness.offer(attempt, 10 + attempt, (0, 1));
    }
    harness.offer(9, 20, (0, 2));
    let expected = [(10, 250), (11, 250), (12, 250), (13, 250)];
    assert_eq!(
        suspicions(&harness.lose(0)),
        expected,
        "the blame is split evenly over the four requests"
    );
    for attempt in 1..4 {
        assert!(
            suspicions(&harness.lose(attempt)).is_empty(),
            "the lost target is counted once"
        );
    }
    assert_eq!(
        harness.suspect_count(),
        4,
        "a request at another target is not blamed"
    );
}

#[test]
fn failure_without_target_loss_blames_no_request() {
    let mut harness = GateHarness::new();
    let failures = [
        AttemptFailure::NotSent,
        AttemptFailure::Shed,
        AttemptFailure::Silent,
        AttemptFailure::Cancelled,
    ];
    for (attempt, failure) in (0..).zip(failures) {
        harness.offer(attempt, CRASHING_REQUEST, (0, 1));
        let mut actions = Vec::new();
        harness
            .gate
            .record_failure(harness.now, attempt, &failure, &mut actions);
        assert!(
            actions.is_empty(),
            "{failure:?} does not show that the target was lost"
        );
    }
}

#[test]
fn waiting_attempts_are_sent_after_a_successful_trial() {
    let mut harness = GateHarness::new();
    harness.offer(1, CRASHING_REQUEST, (0, 1));
    harness.lose(1);
    assert_eq!(
        sent(&harness.offer(2, CRASHING_REQUEST, (0, 2))),
        [2],
        "the trial is sent"
    );
    assert!(
        harness.offer(3, CRASHING_REQUEST, (0, 3)).is_empty(),
        "the next attempt waits for the trial"
    );
    assert!(
        harness.offer(4, CRASHING_REQUEST, (0, 2)).is_empty(),
        "and so does the attempt after it"
    );
    assert_eq!(
        sent(&harness.answer(2)),
        [3, 4],
        "a reply clears the request of suspicion"
    );
    assert_eq!(harness.suspect_count(), 0, "no request is suspected");
}

#[test]
fn waiting_attempts_are_dropped_after_a_failed_trial() {
    let mut harness = GateHarness::new();
    harness.offer(1, CRASHING_REQUEST, (0, 1));
    harness.lose(1);
    harness.offer(2, CRASHING_REQUEST, (0, 2));
    harness.offer(3, CRASHING_REQUEST, (0, 3));
    let actions = harness.lose(2);
    assert_eq!(dropped(&actions), [3], "the waiting attempt is dropped");
    let quarantined = GateAction::Hold {
        fingerprint: CRASHING_REQUEST,
        held: true,
    };
    let position = |wanted: &GateAction| actions.iter().position(|action| action == wanted);
    assert!(
        position(&quarantined) < position(&GateAction::Drop(3)),
        "the engine learns of the quarantine first, so that it does not retry"
    );
    assert_eq!(
        dropped(&harness.offer(4, CRASHING_REQUEST, (0, 4))),
        [4],
        "later attempts are dropped as well"
    );
}

#[test]
fn waiting_attempt_is_dropped_at_its_deadline() {
    let mut harness = GateHarness::new();
    harness.offer(1, CRASHING_REQUEST, (0, 1));
    harness.lose(1);
    harness.offer(2, CRASHING_REQUEST, (0, 2));
    harness.offer(3, CRASHING_REQUEST, (0, 3));
    let mut wake_ups = 0;
    let mut actions = Vec::new();
    while actions.is_empty() {
        let due = harness
            .gate
            .next_wake(harness.now)
            .expect("a wake-up is scheduled");
        assert!(due > harness.now, "a wake-up is never due immediately");
        harness.now = due;
        harness.gate.tick(harness.now, &mut actions);
        wake_ups += 1;
        assert!(wake_ups < 4, "the attempt is dropped within a few wake-ups");
    }
    assert_eq!(dropped(&actions), [3], "the waiting attempt is dropped");
}

#[test]
fn cancelled_waiting_attempt_is_never_sent() {
    let mut harness = GateHarness::new();
    harness.offer(1, CRASHING_REQUEST, (0, 1));
    harness.lose(1);
    harness.offer(2, CRASHING_REQUEST, (0, 2));
    harness.offer(3, CRASHING_REQUEST, (0, 3));
    let mut actions = Vec::new();
    assert!(!harness.gate.cancel(2, &mut actions), "the trial was sent");
    assert!(
        harness.gate.cancel(3, &mut actions),
        "the waiting attempt was not sent"
    );
    assert_eq!(dropped(&actions), [3], "and is dropped");
}

#[test]
fn end_of_a_quarantine_is_reported() {
    let mut harness = GateHarness::new();
    harness.offer(1, CRASHING_REQUEST, (0, 1));
    harness.lose(1);
    harness.offer(2, CRASHING_REQUEST, (0, 2));
    harness.lose(2);
    harness.now = harness
        .gate
        .next_wake(harness.now)
        .expect("the quarantine has an end");
    let mut actions = Vec::new();
    harness.gate.tick(harness.now, &mut actions);
    let released = GateAction::Hold {
        fingerprint: CRASHING_REQUEST,
        held: false,
    };
    assert_eq!(actions, [released], "the engine learns of the end");
}
