//! The gate counts each lost target once, keeps what waits, and forgets nothing.

use std::sync::Arc;
use std::time::{Duration, Instant};

use yuccalift_core::RequestKind;
use yuccalift_core::Snapshot;
use yuccalift_core::action::{AttemptCause, AttemptPlan};
use yuccalift_core::event::AttemptFailure;
use yuccalift_core::ids::{AttemptId, Fingerprint, ShardId, TargetId};
use yuccalift_core::quarantine::{AttemptGate, GateAction, NoticeKind};

const POISON: Fingerprint = 13;
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

/// A gate with the time that its calls happen at.
struct GateBench {
    gate: AttemptGate,
    now: Instant,
}

impl GateBench {
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
            .failed(self.now, attempt, &AttemptFailure::Lost, &mut actions);
        actions
    }

    fn answer(&mut self, attempt: AttemptId) -> Vec<GateAction> {
        let mut actions = Vec::new();
        self.gate.answered(self.now, attempt, &mut actions);
        actions
    }

    fn blame(&self) -> usize {
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

fn blames(actions: &[GateAction]) -> Vec<(Fingerprint, u32)> {
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
fn attempts_lost_together_are_one_loss() {
    let mut bench = GateBench::new();
    for attempt in 0..4 {
        bench.offer(attempt, 10 + attempt, (0, 1));
    }
    bench.offer(9, 20, (0, 2));
    let expected = [(10, 250), (11, 250), (12, 250), (13, 250)];
    assert_eq!(
        blames(&bench.lose(0)),
        expected,
        "each has a fourth of the blame"
    );
    for attempt in 1..4 {
        assert!(
            blames(&bench.lose(attempt)).is_empty(),
            "it is counted once"
        );
    }
    assert_eq!(bench.blame(), 4, "another target's request is not blamed");
}

#[test]
fn a_failure_that_is_no_loss_blames_nobody() {
    let mut bench = GateBench::new();
    let failures = [
        AttemptFailure::NotSent,
        AttemptFailure::Shed,
        AttemptFailure::Silent,
        AttemptFailure::Cancelled,
    ];
    for (attempt, failure) in (0..).zip(failures) {
        bench.offer(attempt, POISON, (0, 1));
        let mut actions = Vec::new();
        bench
            .gate
            .failed(bench.now, attempt, &failure, &mut actions);
        assert!(
            actions.is_empty(),
            "{failure:?} tells nothing of the target's end"
        );
    }
}

#[test]
fn a_waiting_attempt_is_sent_when_the_trial_ends_well() {
    let mut bench = GateBench::new();
    bench.offer(1, POISON, (0, 1));
    bench.lose(1);
    assert_eq!(
        sent(&bench.offer(2, POISON, (0, 2))),
        [2],
        "the trial is sent"
    );
    assert!(
        bench.offer(3, POISON, (0, 3)).is_empty(),
        "the next one waits"
    );
    assert!(
        bench.offer(4, POISON, (0, 2)).is_empty(),
        "and the one after it"
    );
    assert_eq!(sent(&bench.answer(2)), [3, 4], "a reply clears the request");
    assert_eq!(bench.blame(), 0, "nobody is suspected");
}

#[test]
fn a_waiting_attempt_is_dropped_when_the_trial_ends_badly() {
    let mut bench = GateBench::new();
    bench.offer(1, POISON, (0, 1));
    bench.lose(1);
    bench.offer(2, POISON, (0, 2));
    bench.offer(3, POISON, (0, 3));
    let actions = bench.lose(2);
    assert_eq!(dropped(&actions), [3], "nothing more is sent");
    let held = GateAction::Hold {
        fingerprint: POISON,
        held: true,
    };
    let position = |wanted: &GateAction| actions.iter().position(|action| action == wanted);
    assert!(
        position(&held) < position(&GateAction::Drop(3)),
        "the engine hears of the hold first, so that it does not try again"
    );
    assert_eq!(
        dropped(&bench.offer(4, POISON, (0, 4))),
        [4],
        "nor anything later"
    );
}

#[test]
fn a_waiting_attempt_ends_with_its_deadline() {
    let mut bench = GateBench::new();
    bench.offer(1, POISON, (0, 1));
    bench.lose(1);
    bench.offer(2, POISON, (0, 2));
    bench.offer(3, POISON, (0, 3));
    let mut wakes = 0;
    let mut actions = Vec::new();
    while actions.is_empty() {
        let wake = bench.gate.next_wake(bench.now).expect("something is due");
        assert!(wake > bench.now, "a wake-up is never due at once");
        bench.now = wake;
        bench.gate.tick(bench.now, &mut actions);
        wakes += 1;
        assert!(wakes < 4, "few wake-ups are needed");
    }
    assert_eq!(dropped(&actions), [3], "it was not sent");
}

#[test]
fn a_cancelled_attempt_that_waits_was_never_sent() {
    let mut bench = GateBench::new();
    bench.offer(1, POISON, (0, 1));
    bench.lose(1);
    bench.offer(2, POISON, (0, 2));
    bench.offer(3, POISON, (0, 3));
    let mut actions = Vec::new();
    assert!(!bench.gate.cancel(2, &mut actions), "the trial was sent");
    assert!(bench.gate.cancel(3, &mut actions), "the other one was not");
    assert_eq!(dropped(&actions), [3], "and never will be");
}

#[test]
fn the_end_of_a_hold_is_told() {
    let mut bench = GateBench::new();
    bench.offer(1, POISON, (0, 1));
    bench.lose(1);
    bench.offer(2, POISON, (0, 2));
    bench.lose(2);
    bench.now = bench.gate.next_wake(bench.now).expect("the hold ends");
    let mut actions = Vec::new();
    bench.gate.tick(bench.now, &mut actions);
    let released = GateAction::Hold {
        fingerprint: POISON,
        held: false,
    };
    assert_eq!(actions, [released], "the engine hears of it");
}
