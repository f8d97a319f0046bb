//! A request that crashes its targets is quarantined soon, and requests that run beside it are not.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use yuccalift_core::ids::{Fingerprint, ShardId, TargetId};
use yuccalift_core::quarantine::table::{MAX_SUSPECTS, MAX_TRIAL_WAIT};
use yuccalift_core::quarantine::{
    NoticeKind, QuarantineNotice, QuarantineTable, RunningRequest, TrialRequest, TrialVerdict,
};
use yuccalift_testkit::cases;

const CRASHING_REQUEST: Fingerprint = 13;
/// Number of targets that a request costs in addition to those that ran it before the first loss
/// was known.
const LOSSES_IN_TRIALS: u32 = 2;

fn run(fingerprint: Fingerprint, shard: ShardId) -> RunningRequest {
    RunningRequest { fingerprint, shard }
}

/// Decides on an attempt at a target that runs nothing else.
fn admit(
    table: &mut QuarantineTable,
    now: Instant,
    fingerprint: Fingerprint,
    at: (ShardId, TargetId),
) -> TrialVerdict {
    admit_with(table, now, fingerprint, at, &[])
}

fn admit_with(
    table: &mut QuarantineTable,
    now: Instant,
    fingerprint: Fingerprint,
    (shard, target): (ShardId, TargetId),
    concurrent: &[Fingerprint],
) -> TrialVerdict {
    let attempt = TrialRequest {
        fingerprint,
        shard,
        target,
        offered_at: now,
        concurrent,
    };
    table.admit(now, &attempt)
}

fn notices_hold(notices: &[QuarantineNotice], fingerprint: Fingerprint) -> bool {
    notices.iter().any(|notice| {
        notice.fingerprint == fingerprint && matches!(notice.kind, NoticeKind::Held { .. })
    })
}

/// Sends the crashing request to a target and loses the target; returns false if it is not
/// admitted.
fn crash_if_admitted(
    table: &mut QuarantineTable,
    now: Instant,
    concurrent: &[RunningRequest],
) -> bool {
    let target = 77;
    if admit(table, now, CRASHING_REQUEST, (0, target)) != TrialVerdict::Send {
        return false;
    }
    let mut in_flight = concurrent.to_vec();
    in_flight.push(run(CRASHING_REQUEST, 0));
    table.target_lost(now, target, &in_flight);
    table.attempt_ended(CRASHING_REQUEST, 0, target);
    true
}

/// The crashing request runs beside others on each target until it is quarantined.
fn check_losses(neighbours: u64, expected: u32) {
    let now = Instant::now();
    let mut table = QuarantineTable::new();
    let concurrent: Vec<RunningRequest> = (0..neighbours).map(|id| run(100 + id, 0)).collect();
    let mut lost = 0;
    while crash_if_admitted(&mut table, now, &concurrent) {
        lost += 1;
        assert!(lost <= 1 + LOSSES_IN_TRIALS, "the losses are bounded");
    }
    assert_eq!(
        lost, expected,
        "targets lost until the request is quarantined"
    );
    assert!(
        table.is_held(now, CRASHING_REQUEST),
        "the request is quarantined"
    );
    for request in &concurrent {
        assert!(
            !table.is_held(now, request.fingerprint),
            "its neighbours are not"
        );
    }
}

cases! {
    a_crashing_request_alone_costs_two_targets: check_losses(0, 2);
    a_crashing_request_with_one_neighbour_costs_three: check_losses(1, 3);
    a_crashing_request_with_two_neighbours_costs_three: check_losses(2, 3);
    a_crashing_request_with_many_neighbours_costs_three: check_losses(40, 3);
}

#[test]
fn the_loss_of_a_rack_quarantines_no_request() {
    let now = Instant::now();
    let mut table = QuarantineTable::new();
    for target in 0..30 {
        let notices = table.target_lost(now, target, &[run(CRASHING_REQUEST, target)]);
        assert!(
            !notices_hold(&notices, CRASHING_REQUEST),
            "losses outside of trials count together"
        );
    }
    assert!(
        !table.is_held(now, CRASHING_REQUEST),
        "the request is not blamed for the loss of the rack"
    );
}

#[test]
fn a_crashing_fan_out_is_followed_by_at_most_two_losses() {
    let now = Instant::now();
    let mut table = QuarantineTable::new();
    for target in 0..30 {
        table.target_lost(
            now,
            target,
            &[run(CRASHING_REQUEST, target), run(5, target)],
        );
    }
    let mut tried = 0;
    for shard in 0..30 {
        let target = 100 + shard;
        if admit(&mut table, now, CRASHING_REQUEST, (shard, target)) == TrialVerdict::Send {
            tried += 1;
            table.target_lost(now, target, &[run(CRASHING_REQUEST, shard)]);
            table.attempt_ended(CRASHING_REQUEST, shard, target);
        }
    }
    assert!(tried <= LOSSES_IN_TRIALS, "{tried} more targets were lost");
    assert!(
        table.is_held(now, CRASHING_REQUEST),
        "the request is quarantined"
    );
    assert!(!table.is_held(now, 5), "the request beside it is not");
}

#[test]
fn every_shard_of_a_wide_fan_out_waits_for_the_trial() {
    let now = Instant::now();
    let mut table = QuarantineTable::new();
    for target in 0..300 {
        table.target_lost(now, target, &[run(CRASHING_REQUEST, target)]);
    }
    let sent = (0..300).filter(|&shard| {
        let attempt = TrialRequest {
            fingerprint: CRASHING_REQUEST,
            shard,
            target: 1_000 + shard,
            offered_at: now,
            concurrent: &[],
        };
        table.admit(now + MAX_TRIAL_WAIT, &attempt) == TrialVerdict::Send
    });
    assert_eq!(
        sent.count(),
        1,
        "one attempt is sent, however long the others have waited"
    );
}

#[test]
fn only_one_trial_runs_at_a_time() {
    let now = Instant::now();
    let mut table = QuarantineTable::new();
    table.target_lost(now, 1, &[run(CRASHING_REQUEST, 0), run(5, 0)]);
    assert_eq!(
        admit(&mut table, now, CRASHING_REQUEST, (0, 2)),
        TrialVerdict::Send
    );
    assert_eq!(
        admit(&mut table, now, CRASHING_REQUEST, (0, 3)),
        TrialVerdict::Wait,
        "one attempt at a time"
    );
    assert_eq!(
        admit_with(&mut table, now, 5, (0, 2), &[CRASHING_REQUEST]),
        TrialVerdict::Wait,
        "one suspect at each target"
    );
    assert_eq!(
        admit(&mut table, now, 5, (0, 3)),
        TrialVerdict::Send,
        "another target may be used"
    );
    assert_eq!(
        admit(&mut table, now, 9, (0, 2)),
        TrialVerdict::Send,
        "another request is not a suspect"
    );
    table.attempt_succeeded(5, 0);
    table.attempt_ended(5, 0, 3);
    assert_eq!(
        admit(&mut table, now, 5, (0, 2)),
        TrialVerdict::Send,
        "it is cleared"
    );
}

#[test]
fn success_at_another_shard_clears_nothing() {
    let now = Instant::now();
    let mut table = QuarantineTable::new();
    table.target_lost(now, 1, &[run(CRASHING_REQUEST, 7)]);
    table.attempt_succeeded(CRASHING_REQUEST, 3);
    assert_eq!(
        admit(&mut table, now, CRASHING_REQUEST, (7, 2)),
        TrialVerdict::Send
    );
    let notices = table.target_lost(now, 2, &[run(CRASHING_REQUEST, 7)]);
    assert!(
        notices_hold(&notices, CRASHING_REQUEST),
        "its blame is kept"
    );
}

#[test]
fn shards_without_losses_wait_briefly() {
    let now = Instant::now();
    let mut table = QuarantineTable::new();
    table.target_lost(now, 1, &[run(CRASHING_REQUEST, 1)]);
    table.target_lost(now, 2, &[run(CRASHING_REQUEST, 2)]);
    assert_eq!(
        admit(&mut table, now, CRASHING_REQUEST, (3, 9)),
        TrialVerdict::Wait
    );
    let waited = TrialRequest {
        fingerprint: CRASHING_REQUEST,
        shard: 3,
        target: 9,
        offered_at: now,
        concurrent: &[],
    };
    assert_eq!(
        table.admit(now + MAX_TRIAL_WAIT, &waited),
        TrialVerdict::Send
    );
}

#[test]
fn each_hold_is_longer_than_the_last() {
    let now = Instant::now();
    let mut table = QuarantineTable::new();
    while crash_if_admitted(&mut table, now, &[]) {}
    let first = table.list(now)[0].left;
    let later = now + first;
    assert_eq!(table.expire(later), [CRASHING_REQUEST], "it is released");
    assert!(table.expire(later).is_empty(), "it is released only once");
    assert!(
        crash_if_admitted(&mut table, later, &[]),
        "it is tried again"
    );
    assert!(
        table.is_held(later, CRASHING_REQUEST),
        "a single further loss is enough"
    );
    assert!(
        table.list(later)[0].left > first,
        "and it is held for longer"
    );
}

#[test]
fn peers_merge_their_blame() {
    let now = Instant::now();
    let (mut local, mut remote) = (QuarantineTable::new(), QuarantineTable::new());
    for notice in local.target_lost(now, 1, &[run(CRASHING_REQUEST, 0)]) {
        remote.apply_notice(now, &notice);
        remote.apply_notice(now, &notice);
    }
    assert!(
        !remote.is_held(now, CRASHING_REQUEST),
        "a repeated notice counts once"
    );
    assert_eq!(
        admit(&mut remote, now, CRASHING_REQUEST, (0, 2)),
        TrialVerdict::Send
    );
    let notices = remote.target_lost(now, 2, &[run(CRASHING_REQUEST, 0)]);
    assert!(
        notices_hold(&notices, CRASHING_REQUEST),
        "one loss at each of two daemons"
    );
    assert!(
        local.apply_notice(now, &notices[0]),
        "the first daemon learns of the hold"
    );
    assert!(
        !local.apply_notice(now, &notices[0]),
        "a repeated notice is not new"
    );
    assert_eq!(
        admit(&mut local, now, CRASHING_REQUEST, (0, 3)),
        TrialVerdict::Refuse
    );
}

#[test]
fn a_notice_holds_for_a_limited_time() {
    let now = Instant::now();
    let mut table = QuarantineTable::new();
    let left = Duration::from_secs(1_000_000);
    let kind = NoticeKind::Held { left };
    table.apply_notice(
        now,
        &QuarantineNotice {
            fingerprint: 4,
            kind,
        },
    );
    assert!(
        table.list(now)[0].left <= Duration::from_secs(600),
        "the length of a hold is bounded"
    );
}

#[test]
fn the_table_is_bounded() {
    let now = Instant::now();
    let mut table = QuarantineTable::new();
    while crash_if_admitted(&mut table, now, &[]) {}
    for fingerprint in 0..5_000 {
        table.target_lost(now, 1, &[run(1_000 + fingerprint, 0)]);
    }
    assert_eq!(table.len(), MAX_SUSPECTS, "the table is bounded");
    assert!(
        table.is_held(now, CRASHING_REQUEST),
        "held requests are kept in preference to suspects"
    );
}

/// A step of a random history over a few targets, which return after each loss.
#[derive(Clone, Copy, Debug)]
enum HistoryStep {
    /// A request is sent to a target if it is admitted.
    Send(Fingerprint, TargetId),
    /// A target that does not run the crashing request answers all its requests.
    Answer(TargetId),
    /// A target that runs the crashing request crashes.
    Crash(TargetId),
}

fn history() -> impl Strategy<Value = Vec<HistoryStep>> {
    let target = 0_u32..4;
    let step = prop_oneof![
        4 => (10_u64..18, target.clone()).prop_map(|(request, target)| HistoryStep::Send(request, target)),
        2 => target.clone().prop_map(HistoryStep::Answer),
        2 => target.prop_map(HistoryStep::Crash),
    ];
    prop::collection::vec(step, 0..400)
}

/// The state after the steps of a history so far.
#[derive(Default)]
struct HistoryState {
    table: QuarantineTable,
    running: Vec<(TargetId, Fingerprint)>,
    crashing_at_first_loss: Option<u32>,
    lost: u32,
}

impl HistoryState {
    fn apply(&mut self, now: Instant, step: HistoryStep) {
        match step {
            HistoryStep::Send(request, target) => self.send(now, request, target),
            HistoryStep::Answer(target) if !self.runs_crashing_request(target) => {
                self.answer(target);
            }
            HistoryStep::Crash(target) if self.runs_crashing_request(target) => {
                self.crash(now, target);
            }
            HistoryStep::Answer(_) | HistoryStep::Crash(_) => {}
        }
    }

    fn runs_crashing_request(&self, target: TargetId) -> bool {
        self.running.contains(&(target, CRASHING_REQUEST))
    }

    fn send(&mut self, now: Instant, request: Fingerprint, target: TargetId) {
        if self.running.contains(&(target, request)) {
            return;
        }
        let at = self.running.iter().filter(|entry| entry.0 == target);
        let concurrent: Vec<Fingerprint> = at.map(|entry| entry.1).collect();
        let verdict = admit_with(&mut self.table, now, request, (0, target), &concurrent);
        if verdict == TrialVerdict::Send {
            self.running.push((target, request));
        }
    }

    fn answer(&mut self, target: TargetId) {
        for request in self.take_running(target) {
            self.table.attempt_succeeded(request, 0);
            self.table.attempt_ended(request, 0, target);
        }
    }

    fn crash(&mut self, now: Instant, target: TargetId) {
        let crashing = self
            .running
            .iter()
            .filter(|entry| entry.1 == CRASHING_REQUEST)
            .count();
        self.crashing_at_first_loss.get_or_insert(crashing as u32);
        self.lost += 1;
        let lost_requests = self.take_running(target);
        let runs: Vec<RunningRequest> = lost_requests
            .iter()
            .map(|&request| run(request, 0))
            .collect();
        self.table.target_lost(now, target, &runs);
        for request in lost_requests {
            self.table.attempt_ended(request, 0, target);
        }
    }

    fn take_running(&mut self, target: TargetId) -> Vec<Fingerprint> {
        let at = self.running.iter().filter(|entry| entry.0 == target);
        let requests = at.map(|entry| entry.1).collect();
        self.running.retain(|entry| entry.0 != target);
        requests
    }
}

proptest! {
    /// The crashing request is repeated beside harmless requests, on the targets of one shard.
    #[test]
    fn only_the_crashing_request_is_quarantined_and_its_losses_are_bounded(steps in history()) {
        let start = Instant::now();
        let mut state = HistoryState::default();
        for (millis, step) in (0_u64..).zip(steps) {
            let now = start + Duration::from_millis(millis);
            state.apply(now, step);
            for entry in state.table.list(now) {
                prop_assert_eq!(entry.fingerprint, CRASHING_REQUEST, "no harmless request is quarantined");
            }
        }
        let bound = state.crashing_at_first_loss.unwrap_or(0) + LOSSES_IN_TRIALS;
        prop_assert!(state.lost <= bound, "{} targets lost, {bound} allowed", state.lost);
    }
}
