//! Each check of a run reports what it is there for: records of a sound run are broken one way at
//! a time, and just that violation must be found.

use std::time::Duration;

use yuccalift_core::coverage::{MissingReason, MissingShard};
use yuccalift_core::{Refusal, RefusalCode, SearchAnswer, SearchHit, Snapshot};
use yuccalift_standins::callers::AnsweredSearch;
use yuccalift_standins::gate::GateCounts;
use yuccalift_standins::leaf::{LeafCounts, LeafRun, RunEnd, RunKind};
use yuccalift_standins::{CallRecord, CallResult, CheckKind, EpochShards, LeafRecord, RunEvidence};

const SEARCH: usize = 0;
const ORDER: usize = 1;

fn run(kind: RunKind, request: &str, shard: u32) -> LeafRun {
    LeafRun {
        kind,
        request: request.into(),
        query: 1,
        attempt: 1,
        sender: "daemon".into(),
        shard,
        version: 1,
        began_ms: 0,
        end: RunEnd::Done,
    }
}

fn call(request: &str, result: CallResult) -> CallRecord {
    CallRecord {
        stream: 0,
        request: request.into(),
        due: Duration::ZERO,
        latency: Duration::from_millis(20),
        sends: 1,
        lost_sends: 0,
        refusals: Vec::new(),
        result,
    }
}

/// A search over two shards and an order, both as they should be.
fn sound_run() -> RunEvidence {
    let answer = AnsweredSearch {
        snapshot: Snapshot {
            epoch: 1,
            version: 1,
        },
        asked: 2,
        answered: vec![0, 1],
        missing: Vec::new(),
        hit_versions: vec![1],
        hit_shards: vec![0, 1],
        foreign_hits: 0,
        foreign: false,
    };
    let executed = CallResult::Executed {
        repeated: false,
        foreign: false,
    };
    RunEvidence {
        calls: vec![
            call("search", CallResult::Answered(answer)),
            call("order", executed),
        ],
        leafs: vec![LeafRecord {
            name: "leaf".into(),
            connections_limit: 30,
            runs: vec![
                run(RunKind::Search, "search", 0),
                run(RunKind::Search, "search", 1),
                run(RunKind::Execute, "order", 1),
            ],
            counts: LeafCounts {
                work_after_drain_ms: Some(3_000),
                ..LeafCounts::default()
            },
            connections: GateCounts {
                peak: 30,
                ..GateCounts::default()
            },
        }],
        epochs: vec![EpochShards {
            epoch: 1,
            shards: vec![0, 1],
        }],
        excuses_refusals: true,
    }
}

fn answer(evidence: &mut RunEvidence) -> &mut AnsweredSearch {
    match &mut evidence.calls[SEARCH].result {
        CallResult::Answered(answer) => answer,
        other => panic!("the search of a sound run is answered, not {other:?}"),
    }
}

fn refuse(evidence: &mut RunEvidence, position: usize, refusal: &Refusal) {
    let call = &mut evidence.calls[position];
    call.refusals.push(refusal.clone());
    call.result = CallResult::Refused(refusal.clone());
}

fn not_run() -> Refusal {
    Refusal::not_run(RefusalCode::Hopeless, "admit", "too late")
}

fn found(evidence: &RunEvidence) -> Vec<CheckKind> {
    let violations = evidence.check();
    violations.iter().map(|violation| violation.kind).collect()
}

fn finds(expected: &[CheckKind], break_it: fn(&mut RunEvidence)) {
    let mut evidence = sound_run();
    break_it(&mut evidence);
    assert_eq!(found(&evidence), expected, "just what was broken is found");
}

fn reads_foreign_hits() {
    let hit = |key: &str| SearchHit {
        shard: 4,
        key: key.into(),
        score: 1.0,
    };
    let answer = SearchAnswer {
        request: "own".into(),
        snapshot: Snapshot {
            epoch: 1,
            version: 7,
        },
        coverage: yuccalift_core::Coverage::default(),
        hits: vec![
            hit("4/7/0/own text"),
            hit("4/6/0/own text"),
            hit("4/7/0/other text"),
            hit("5/7/0/own text"),
            hit("garbage"),
        ],
        complete: true,
    };
    let read = AnsweredSearch::read(&answer, "own", "own text");
    assert_eq!(
        read.hit_versions,
        vec![6, 7],
        "versions are those that the targets wrote"
    );
    assert_eq!(
        read.foreign_hits, 3,
        "other texts, other shards and garbage are foreign"
    );
    assert!(!read.foreign, "the answer itself names its request");
    let other = AnsweredSearch::read(&answer, "other", "own text");
    assert!(
        other.foreign,
        "an answer that names another request is foreign"
    );
}

yuccalift_testkit::cases! {
    a_sound_run_has_no_violation: finds(&[], |_| {});
    a_doubled_order_is_found: finds(&[CheckKind::DoubledRun], |run_record| {
        run_record.leafs[0].runs.push(run(RunKind::Execute, "order", 1));
    });
    a_doubled_search_is_allowed: finds(&[], |run_record| {
        run_record.leafs[0].runs.push(run(RunKind::Search, "search", 1));
    });
    a_false_not_run_of_an_order_is_found: finds(&[CheckKind::FalseNotRun], |run_record| {
        refuse(run_record, ORDER, &not_run());
    });
    a_false_not_run_of_an_earlier_sending_is_found:
        finds(&[CheckKind::FalseNotRun], |run_record| {
            run_record.calls[ORDER].sends = 2;
            run_record.calls[ORDER].refusals.push(not_run());
        });
    a_false_not_run_of_a_search_is_found: finds(&[CheckKind::FalseNotRun], |run_record| {
        refuse(run_record, SEARCH, &not_run());
    });
    an_unknown_outcome_is_allowed: finds(&[], |run_record| {
        let unknown = Refusal::unknown(RefusalCode::TargetLost, "send", "lost");
        refuse(run_record, ORDER, &unknown);
    });
    an_unexcused_refusal_is_found: finds(&[CheckKind::Unexcused], |run_record| {
        run_record.excuses_refusals = false;
        let unknown = Refusal::unknown(RefusalCode::Internal, "submit", "the daemon ended");
        refuse(run_record, ORDER, &unknown);
    });
    answers_need_no_excuse: finds(&[], |run_record| run_record.excuses_refusals = false);
    a_false_ran_is_found: finds(&[CheckKind::FalseRan], |run_record| {
        run_record.leafs[0].runs.pop();
    });
    mixed_versions_are_found: finds(&[CheckKind::MixedVersions], |run_record| {
        answer(run_record).hit_versions = vec![1, 2];
    });
    a_snapshot_that_is_not_the_hits_is_found:
        finds(&[CheckKind::MixedVersions, CheckKind::UntrueCoverage], |run_record| {
            answer(run_record).snapshot.version = 2;
        });
    a_shard_that_is_not_accounted_for_is_found:
        finds(&[CheckKind::UntrueCoverage], |run_record| {
            answer(run_record).answered = vec![0];
            answer(run_record).hit_shards = vec![0];
        });
    a_shard_that_was_never_asked_for_is_found:
        finds(&[CheckKind::UntrueCoverage], |run_record| {
            answer(run_record).asked = 1;
            answer(run_record).answered = vec![0];
            answer(run_record).hit_shards = vec![0];
        });
    a_shard_that_stands_twice_is_found: finds(&[CheckKind::UntrueCoverage], |run_record| {
        answer(run_record).answered = vec![0, 0];
        answer(run_record).hit_shards = vec![0];
    });
    a_hit_of_a_missing_shard_is_found: finds(&[CheckKind::UntrueCoverage], |run_record| {
        answer(run_record).answered = vec![0];
        answer(run_record).missing = vec![MissingShard {
            shard: 1,
            reason: MissingReason::Deadline,
        }];
    });
    a_shard_that_no_target_ran_is_found: finds(&[CheckKind::UntrueCoverage], |run_record| {
        run_record.leafs[0].runs.remove(1);
    });
    a_shard_whose_run_was_cancelled_is_found:
        finds(&[CheckKind::UntrueCoverage], |run_record| {
            run_record.leafs[0].runs[1].end = RunEnd::Cancelled;
        });
    an_unpublished_epoch_is_found: finds(&[CheckKind::UntrueCoverage], |run_record| {
        answer(run_record).snapshot.epoch = 9;
    });
    a_foreign_hit_is_found: finds(&[CheckKind::ForeignAnswer], |run_record| {
        answer(run_record).foreign_hits = 1;
    });
    a_foreign_result_is_found: finds(&[CheckKind::ForeignAnswer], |run_record| {
        run_record.calls[ORDER].result = CallResult::Executed {
            repeated: false,
            foreign: true,
        };
    });
    a_dropped_request_is_found: finds(&[CheckKind::Dropped], |run_record| {
        run_record.calls[SEARCH].result = CallResult::Lost {
            step: "search",
            message: "no answer".into(),
        };
    });
    late_work_at_a_draining_target_is_found:
        finds(&[CheckKind::WorkAfterDrain], |run_record| {
            run_record.leafs[0].counts.work_after_drain_ms = Some(3_001);
        });
    connections_above_the_limit_are_found:
        finds(&[CheckKind::ConnectionsAboveLimit], |run_record| {
            run_record.leafs[0].connections.peak = 31;
        });
    foreign_hits_are_read: reads_foreign_hits();
}
