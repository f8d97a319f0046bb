//! Snapshots: each answer is from one map epoch and one index version.

use std::time::Duration;

use yuccalift_core::event::{AttemptFailure, TargetUpdateKind};
use yuccalift_core::{
    EngineDecision, EngineEvent, EngineOptions, MissingReason, Outcome, PolicyKind, ProtectionSet,
    RefusalCode, Snapshot,
};

use crate::support::{EngineHarness, map, reply};

fn harness(shards: u32, replicas: u32) -> EngineHarness {
    let options = EngineOptions::new(PolicyKind::Full, 7);
    EngineHarness::ready(options, map(1, shards, replicas), 5)
}

#[test]
fn newest_version_that_covers_every_shard_is_pinned() {
    let mut harness = harness(2, 2);
    harness.report_versions(0, &[5, 6, 7]);
    harness.report_versions(2, &[5, 6]);
    harness.submit(1);
    let sends = harness.take_sends();
    assert!(
        sends.iter().all(|plan| plan.snapshot.version == 6),
        "version 7 is newer, but only one shard has it: {sends:?}"
    );
    let targets: Vec<u32> = sends.iter().map(|plan| plan.target).collect();
    assert_eq!(
        targets,
        [0, 2],
        "only targets that hold the version get requests"
    );
}

#[test]
fn shard_without_target_does_not_limit_the_version() {
    let mut harness = harness(2, 1);
    harness.report_versions(0, &[6]);
    harness.update_target(1, TargetUpdateKind::Draining);
    harness.submit(1);
    let plan = harness.take_sends().remove(0);
    assert_eq!(
        plan.snapshot.version, 6,
        "the newest version of the remaining shard is used"
    );
    harness.reply(&plan);
    let missing = harness.answer().coverage.missing[0];
    assert_eq!(
        (missing.shard, missing.reason),
        (1, MissingReason::NoTarget),
        "the shard without a target is missing"
    );
}

#[test]
fn query_waits_for_version_reports() {
    let options = EngineOptions::new(PolicyKind::Full, 7);
    let mut harness = EngineHarness::without_versions(options, map(1, 2, 1));
    harness.submit(1);
    harness.submit(2);
    harness.report_versions(0, &[5]);
    assert!(
        harness.sends.is_empty(),
        "the target of the other shard has not reported its versions"
    );
    harness.report_versions(1, &[5]);
    assert_eq!(harness.sends.len(), 4, "both queries start with all shards");
}

#[test]
fn query_without_any_version_is_refused_as_not_run() {
    let options = EngineOptions::new(PolicyKind::Full, 7);
    let mut harness = EngineHarness::without_versions(options, map(1, 2, 1));
    harness.submit(1);
    harness.advance(Duration::from_secs(1));
    let refusal = harness.refusal();
    assert_eq!(
        (refusal.outcome, refusal.code),
        (Outcome::NotRun, RefusalCode::NoSnapshot),
        "nothing is sent without a snapshot"
    );
}

/// Removes the version that a running query is pinned to; returns whether the query was answered
/// completely at the newer version.
fn completes_at_newer_version(protections: ProtectionSet) -> bool {
    let mut options = EngineOptions::new(PolicyKind::Full, 7);
    options.protections = protections;
    let mut harness = EngineHarness::ready(options, map(1, 2, 2), 5);
    harness.submit(1);
    let sends = harness.take_sends();
    harness.reply(&sends[0]);
    for target in 0..4 {
        harness.report_versions(target, &[6]);
    }
    let failure = AttemptFailure::WrongVersion { held: vec![6] };
    harness.fail(&sends[1], failure);
    let retries = harness.take_sends();
    for plan in &retries {
        assert_eq!(
            plan.snapshot.version, 6,
            "every send after the restart uses the newer version"
        );
        harness.reply(plan);
    }
    let answer = harness.answer();
    let hits = answer.hits.len();
    assert_eq!(
        hits,
        answer.coverage.answered.len(),
        "the answer has no hit of the old version"
    );
    answer.coverage.is_complete() && answer.snapshot.version == 6
}

#[test]
fn query_restarts_when_its_version_is_dropped() {
    let protections = ProtectionSet::for_policy(PolicyKind::Full);
    assert!(completes_at_newer_version(protections));
}

#[test]
fn shard_is_missing_without_snapshot_restart() {
    let mut protections = ProtectionSet::for_policy(PolicyKind::Full);
    protections.snapshot_restart = false;
    assert!(
        !completes_at_newer_version(protections),
        "without the protection a shard is missing"
    );
}

#[test]
fn moved_shard_restarts_the_query_at_the_newer_map() {
    let mut harness = harness(2, 1);
    harness.submit(1);
    let sends = harness.take_sends();
    harness.reply(&sends[0]);
    let mut moved = map(2, 3, 1);
    moved.shards.remove(1);
    harness.change_map(moved);
    harness.report_versions(2, &[5]);
    harness.fail(&sends[1], AttemptFailure::NotHosted);
    let retries = harness.take_sends();
    assert!(
        retries.iter().all(|plan| plan.snapshot.epoch == 2),
        "all shards of the newer map are requested"
    );
    for plan in &retries {
        harness.reply(plan);
    }
    let answer = harness.answer();
    assert_eq!(
        answer.snapshot,
        Snapshot {
            epoch: 2,
            version: 5
        },
        "the answer is from the newer map only"
    );
    assert_eq!(
        answer.coverage.answered,
        [0, 2],
        "every shard of the newer map answered"
    );
}

#[test]
fn newer_map_waits_for_version_reports() {
    let mut harness = harness(2, 1);
    let mut newer = map(2, 3, 1);
    newer.shards.remove(1);
    harness.change_map(newer);
    harness.submit(1);
    let sends = harness.take_sends();
    assert!(
        sends.iter().all(|plan| plan.snapshot.epoch == 1),
        "the current map is used while the newer one cannot be served completely"
    );
    harness.advance(Duration::from_secs(1));
    assert_eq!(
        harness.engine.map_epoch("race-desk"),
        Some(2),
        "the newer map is adopted after a short delay in any case"
    );
}

#[test]
fn older_map_is_ignored() {
    let mut harness = harness(2, 1);
    harness.change_map(map(3, 2, 1));
    harness.change_map(map(2, 1, 1));
    harness.submit(1);
    let sends = harness.take_sends();
    assert_eq!(sends.len(), 2, "the shards of the newer map are requested");
    assert!(sends.iter().all(|plan| plan.snapshot.epoch == 3));
}

#[test]
fn lagging_report_does_not_override_own_report() {
    let mut harness = harness(1, 2);
    harness.submit(1);
    let plan = harness.take_sends().remove(0);
    let mut newer = reply(&plan);
    newer.held = vec![5, 6];
    harness.handle(EngineEvent::Reply(newer));
    harness.report_versions(plan.target, &[5]);
    harness.submit(2);
    let plan = harness.take_sends().remove(0);
    assert_eq!(
        plan.snapshot.version, 6,
        "the reply takes precedence over the lagging report"
    );
    harness.fail(&plan, AttemptFailure::Draining);
    harness.update_target(plan.target, TargetUpdateKind::Live);
    harness.take_sends();
    harness.submit(3);
    let sends = harness.take_sends();
    assert!(
        sends.iter().all(|sent| sent.target != plan.target),
        "a draining target gets no new work despite the lagging report"
    );
    let restarted = harness
        .decisions
        .iter()
        .any(|decision| matches!(decision, EngineDecision::Restarted { .. }));
    assert!(!restarted, "no query is restarted at the older version 5");
}
