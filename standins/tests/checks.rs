//! Detection of violations by the checks of a run: each case corrupts the records of a valid run in
//! one way and expects exactly the matching violations.

use std::time::Duration;

use yuccalift_core::coverage::{MissingReason, MissingShard};
use yuccalift_core::{Refusal, RefusalCode, SearchAnswer, SearchHit, Snapshot};
use yuccalift_standins::callers::AnsweredSearch;
use yuccalift_standins::gate::GateCounts;
use yuccalift_standins::leaf::{LeafCounts, LeafRun, RunKind, RunStatus};
use yuccalift_standins::{CallRecord, CallResult, CheckKind, EpochShards, LeafRecord, RunEvidence};

/// Index of the search in the calls of [`valid_run`].
const SEARCH_CALL: usize = 0;
/// Index of the non-idempotent request in the calls of [`valid_run`].
const EXECUTE_CALL: usize = 1;

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
        end: RunStatus::Done,
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

/// Creates the records of a run without violations: a search over two shards and a non-idempotent
/// request (`order`).
fn valid_run() -> RunEvidence {
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
        allows_refusals: true,
    }
}

fn answer(evidence: &mut RunEvidence) -> &mut AnsweredSearch {
    match &mut evidence.calls[SEARCH_CALL].result {
        CallResult::Answered(answer) => answer,
        other => panic!("the search of a valid run is answered, not {other:?}"),
    }
}

fn refuse(evidence: &mut RunEvidence, call_index: usize, refusal: &Refusal) {
    let call = &mut evidence.calls[call_index];
    call.refusals.push(refusal.clone());
    call.result = CallResult::Refused(refusal.clone());
}

fn refused_not_run() -> Refusal {
    Refusal::not_run(RefusalCode::Hopeless, "admit", "too late")
}

fn violations(evidence: &RunEvidence) -> Vec<CheckKind> {
    let violations = evidence.check();
    violations.iter().map(|violation| violation.kind).collect()
}

fn assert_violations(expected: &[CheckKind], corrupt: fn(&mut RunEvidence)) {
    let mut evidence = valid_run();
    corrupt(&mut evidence);
    assert_eq!(
        violations(&evidence),
        expected,
        "exactly the corrupted records are reported"
    );
}

fn foreign_hits_are_counted() {
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
        "versions are read from the keys of the hits"
    );
    assert_eq!(
        read.foreign_hits, 3,
        "hits with another text or shard and malformed keys are foreign"
    );
    assert!(!read.foreign, "the answer names the caller's request");
    let other = AnsweredSearch::read(&answer, "other", "own text");
    assert!(
        other.foreign,
        "an answer that names another request is foreign"
    );
}

yuccalift_testkit::cases! {
    a_valid_run_has_no_violation: assert_violations(&[], |_| {});
    a_duplicate_execution_is_found: assert_violations(&[CheckKind::DoubledRun], |evidence| {
        evidence.leafs[0].runs.push(run(RunKind::Execute, "order", 1));
    });
    a_duplicate_search_is_allowed: assert_violations(&[], |evidence| {
        evidence.leafs[0].runs.push(run(RunKind::Search, "search", 1));
    });
    a_false_not_run_of_an_execution_is_found:
        assert_violations(&[CheckKind::FalseNotRun], |evidence| {
            refuse(evidence, EXECUTE_CALL, &refused_not_run());
        });
    a_false_not_run_of_an_earlier_send_is_found:
        assert_violations(&[CheckKind::FalseNotRun], |evidence| {
            evidence.calls[EXECUTE_CALL].sends = 2;
            evidence.calls[EXECUTE_CALL].refusals.push(refused_not_run());
        });
    a_false_not_run_of_a_search_is_found: assert_violations(&[CheckKind::FalseNotRun], |evidence| {
        refuse(evidence, SEARCH_CALL, &refused_not_run());
    });
    an_unknown_outcome_is_allowed: assert_violations(&[], |evidence| {
        let unknown = Refusal::unknown(RefusalCode::TargetLost, "send", "lost");
        refuse(evidence, EXECUTE_CALL, &unknown);
    });
    a_refusal_without_a_cause_is_found: assert_violations(&[CheckKind::Unexcused], |evidence| {
        evidence.allows_refusals = false;
        let unknown = Refusal::unknown(RefusalCode::Internal, "submit", "the daemon ended");
        refuse(evidence, EXECUTE_CALL, &unknown);
    });
    answers_are_allowed_without_a_cause:
        assert_violations(&[], |evidence| evidence.allows_refusals = false);
    a_false_answer_to_an_execution_is_found: assert_violations(&[CheckKind::FalseRan], |evidence| {
        evidence.leafs[0].runs.pop();
    });
    mixed_versions_are_found: assert_violations(&[CheckKind::MixedVersions], |evidence| {
        answer(evidence).hit_versions = vec![1, 2];
    });
    a_snapshot_that_differs_from_the_hits_is_found:
        assert_violations(&[CheckKind::MixedVersions, CheckKind::UntrueCoverage], |evidence| {
            answer(evidence).snapshot.version = 2;
        });
    an_unlisted_shard_is_found:
        assert_violations(&[CheckKind::UntrueCoverage], |evidence| {
            answer(evidence).answered = vec![0];
            answer(evidence).hit_shards = vec![0];
        });
    a_shard_that_was_not_queried_is_found:
        assert_violations(&[CheckKind::UntrueCoverage], |evidence| {
            answer(evidence).asked = 1;
            answer(evidence).answered = vec![0];
            answer(evidence).hit_shards = vec![0];
        });
    a_shard_listed_twice_is_found: assert_violations(&[CheckKind::UntrueCoverage], |evidence| {
        answer(evidence).answered = vec![0, 0];
        answer(evidence).hit_shards = vec![0];
    });
    a_hit_of_a_missing_shard_is_found: assert_violations(&[CheckKind::UntrueCoverage], |evidence| {
        answer(evidence).answered = vec![0];
        answer(evidence).missing = vec![MissingShard {
            shard: 1,
            reason: MissingReason::Deadline,
        }];
    });
    a_shard_that_no_target_ran_is_found:
        assert_violations(&[CheckKind::UntrueCoverage], |evidence| {
            evidence.leafs[0].runs.remove(1);
        });
    a_shard_whose_run_was_cancelled_is_found:
        assert_violations(&[CheckKind::UntrueCoverage], |evidence| {
            evidence.leafs[0].runs[1].end = RunStatus::Cancelled;
        });
    an_unpublished_epoch_is_found: assert_violations(&[CheckKind::UntrueCoverage], |evidence| {
        answer(evidence).snapshot.epoch = 9;
    });
    a_foreign_hit_is_found: assert_violations(&[CheckKind::ForeignAnswer], |evidence| {
        answer(evidence).foreign_hits = 1;
    });
    a_foreign_result_is_found: assert_violations(&[CheckKind::ForeignAnswer], |evidence| {
        evidence.calls[EXECUTE_CALL].result = CallResult::Executed {
            repeated: false,
            foreign: true,
        };
    });
    a_dropped_request_is_found: assert_violations(&[CheckKind::Dropped], |evidence| {
        evidence.calls[SEARCH_CALL].result = CallResult::Lost {
            step: "search",
            message: "no answer".into(),
        };
    });
    late_work_at_a_draining_target_is_found:
        assert_violations(&[CheckKind::WorkAfterDrain], |evidence| {
            evidence.leafs[0].counts.work_after_drain_ms = Some(3_001);
        });
    connections_above_the_limit_are_found:
        assert_violations(&[CheckKind::ConnectionsAboveLimit], |evidence| {
            evidence.leafs[0].connections.peak = 31;
        });
    foreign_hits_are_detected: foreign_hits_are_counted();
}
