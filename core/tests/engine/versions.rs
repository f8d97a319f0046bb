//! Snapshots: one answer, one map epoch and one index version.

use std::time::Duration;

use yuccalift_core::event::{AttemptFailure, TargetUpdateKind};
use yuccalift_core::{
    EngineDecision, EngineEvent, EngineOptions, MissingReason, Outcome, PolicyKind, ProtectionSet,
    RefusalCode, Snapshot,
};

use crate::support::{EngineDriver, map, reply};

fn driver(shards: u32, replicas: u32) -> EngineDriver {
    let options = EngineOptions::new(PolicyKind::Full, 7);
    EngineDriver::ready(options, map(1, shards, replicas), 5)
}

#[test]
fn newest_version_that_covers_every_shard_is_pinned() {
    let mut driver = driver(2, 2);
    driver.hold(0, &[5, 6, 7]);
    driver.hold(2, &[5, 6]);
    driver.submit(1);
    let sends = driver.take_sends();
    assert!(
        sends.iter().all(|plan| plan.snapshot.version == 6),
        "7 is newer, but only one shard has it: {sends:?}"
    );
    let targets: Vec<u32> = sends.iter().map(|plan| plan.target).collect();
    assert_eq!(targets, [0, 2], "only holders of the version are asked");
}

#[test]
fn shard_without_target_does_not_hold_the_version_back() {
    let mut driver = driver(2, 1);
    driver.hold(0, &[6]);
    driver.news(1, TargetUpdateKind::Draining);
    driver.submit(1);
    let plan = driver.take_sends().remove(0);
    assert_eq!(plan.snapshot.version, 6, "the newest of the shards left");
    driver.reply(&plan);
    let missing = driver.answer().coverage.missing[0];
    assert_eq!(
        (missing.shard, missing.reason),
        (1, MissingReason::NoTarget),
        "the shard without a target is missing"
    );
}

#[test]
fn query_before_any_version_is_known_waits_briefly() {
    let options = EngineOptions::new(PolicyKind::Full, 7);
    let mut driver = EngineDriver::untold(options, map(1, 2, 1));
    driver.submit(1);
    driver.submit(2);
    driver.hold(0, &[5]);
    assert!(driver.sends.is_empty(), "the other shard has not told yet");
    driver.hold(1, &[5]);
    assert_eq!(driver.sends.len(), 4, "now both queries begin whole");
}

#[test]
fn query_without_any_version_is_refused_as_not_run() {
    let options = EngineOptions::new(PolicyKind::Full, 7);
    let mut driver = EngineDriver::untold(options, map(1, 2, 1));
    driver.submit(1);
    driver.pass(Duration::from_secs(1));
    let refusal = driver.refusal();
    assert_eq!(
        (refusal.outcome, refusal.code),
        (Outcome::NotRun, RefusalCode::NoSnapshot),
        "nothing could be pinned, so nothing was sent"
    );
}

/// A version goes away under a query; true if the query ended whole, at the newer one.
fn ends_whole_at_newer_version(protections: ProtectionSet) -> bool {
    let mut options = EngineOptions::new(PolicyKind::Full, 7);
    options.protections = protections;
    let mut driver = EngineDriver::ready(options, map(1, 2, 2), 5);
    driver.submit(1);
    let sends = driver.take_sends();
    driver.reply(&sends[0]);
    for target in 0..4 {
        driver.hold(target, &[6]);
    }
    let gone = AttemptFailure::WrongVersion { held: vec![6] };
    driver.fail(&sends[1], gone);
    let again = driver.take_sends();
    for plan in &again {
        assert_eq!(plan.snapshot.version, 6, "every send is of the new version");
        driver.reply(plan);
    }
    let answer = driver.answer();
    let hits = answer.hits.len();
    assert_eq!(
        hits,
        answer.coverage.answered.len(),
        "no hit of the old version is left"
    );
    answer.coverage.is_whole() && answer.snapshot.version == 6
}

#[test]
fn vanished_version_restarts_the_query_whole() {
    let protections = ProtectionSet::of(PolicyKind::Full);
    assert!(ends_whole_at_newer_version(protections));
}

#[test]
fn vanished_version_without_restart_leaves_a_gap() {
    let mut protections = ProtectionSet::of(PolicyKind::Full);
    protections.snapshot_restart = false;
    assert!(
        !ends_whole_at_newer_version(protections),
        "without the protection the answer lacks a shard"
    );
}

#[test]
fn moved_shard_restarts_the_query_at_the_newer_map() {
    let mut driver = driver(2, 1);
    driver.submit(1);
    let sends = driver.take_sends();
    driver.reply(&sends[0]);
    let mut moved = map(2, 3, 1);
    moved.shards.remove(1);
    driver.put_map(moved);
    driver.hold(2, &[5]);
    driver.fail(&sends[1], AttemptFailure::NotHosted);
    let again = driver.take_sends();
    assert!(
        again.iter().all(|plan| plan.snapshot.epoch == 2),
        "every shard of the newer map is asked anew"
    );
    for plan in &again {
        driver.reply(plan);
    }
    let answer = driver.answer();
    assert_eq!(
        answer.snapshot,
        Snapshot {
            epoch: 2,
            version: 5
        },
        "the answer is of the newer map alone"
    );
    assert_eq!(answer.coverage.answered, [0, 2], "and whole by it");
}

#[test]
fn newer_map_waits_for_its_targets_to_tell() {
    let mut driver = driver(2, 1);
    let mut wider = map(2, 3, 1);
    wider.shards.remove(1);
    driver.put_map(wider);
    driver.submit(1);
    let sends = driver.take_sends();
    assert!(
        sends.iter().all(|plan| plan.snapshot.epoch == 1),
        "the map in force is whole, the newer one not yet"
    );
    driver.pass(Duration::from_secs(1));
    assert_eq!(
        driver.engine.map_epoch("race-desk"),
        Some(2),
        "a target that left the map is not used for long"
    );
}

#[test]
fn older_map_changes_nothing() {
    let mut driver = driver(2, 1);
    driver.put_map(map(3, 2, 1));
    driver.put_map(map(2, 1, 1));
    driver.submit(1);
    let sends = driver.take_sends();
    assert_eq!(sends.len(), 2, "the newer map's shards are asked");
    assert!(sends.iter().all(|plan| plan.snapshot.epoch == 3));
}

#[test]
fn lagging_report_does_not_undo_what_a_target_said() {
    let mut driver = driver(1, 2);
    driver.submit(1);
    let plan = driver.take_sends().remove(0);
    let mut newer = reply(&plan);
    newer.held = vec![5, 6];
    driver.tell(EngineEvent::Reply(newer));
    driver.hold(plan.target, &[5]);
    driver.submit(2);
    let plan = driver.take_sends().remove(0);
    assert_eq!(
        plan.snapshot.version, 6,
        "the reply is newer than the report"
    );
    driver.fail(&plan, AttemptFailure::Draining);
    driver.news(plan.target, TargetUpdateKind::Live);
    driver.take_sends();
    driver.submit(3);
    let sends = driver.take_sends();
    assert!(
        sends.iter().all(|sent| sent.target != plan.target),
        "a draining target gets no new work, whatever lags behind"
    );
    let restarted = driver
        .decisions
        .iter()
        .any(|decision| matches!(decision, EngineDecision::Restarted { .. }));
    assert!(
        !restarted,
        "version 5 is older, so nothing is restarted at it"
    );
}
