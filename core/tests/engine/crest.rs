//! Admission at the crest of a swing: classes, fairness, patience, and what is refused.

use std::time::Duration;

use yuccalift_core::{AccountPolicy, EngineOptions, PolicyKind, ShardMap, Urgency};
use yuccalift_testkit::cases;

use crate::fleet::{FakeFleet, QueryResult};
use crate::support::{account, map};

const URGENT: &str = "dispatch";
const PATIENT: &str = "billing";
/// Queries a second that the fake leafs serve.
const CAPACITY: f64 = 450.0;
/// How long the load is above it.
const CREST: Duration = Duration::from_secs(3);
/// How long urgent work waits.
const URGENT_PATIENCE: Duration = Duration::from_millis(200);

/// Six shards with one replica each, of two slots.
fn narrow_map() -> ShardMap {
    let mut map = map(1, 6, 1);
    for target in &mut map.targets {
        target.slots = 2;
        target.connections = 10;
    }
    map
}

fn policy(name: &str, urgency: Urgency, patience: Duration) -> AccountPolicy {
    AccountPolicy {
        urgency,
        patience,
        deadline: patience + Duration::from_secs(1),
        queue_limit: 100_000,
        ..account(name)
    }
}

fn crest(policy_kind: PolicyKind, seed: u64) -> FakeFleet {
    let mut fleet = FakeFleet::new(EngineOptions::new(policy_kind, seed), narrow_map(), None);
    fleet.driver.put_accounts(vec![
        policy(URGENT, Urgency::Urgent, URGENT_PATIENCE),
        policy(PATIENT, Urgency::Patient, Duration::from_secs(30)),
    ]);
    fleet.load(URGENT, CAPACITY * 0.6, Duration::ZERO, CREST);
    fleet.load(PATIENT, CAPACITY * 3.4, Duration::ZERO, CREST);
    fleet.run();
    fleet
}

fn of_account<'a>(fleet: &'a FakeFleet, account: &str) -> Vec<&'a QueryResult> {
    let results = fleet.results.iter();
    results
        .filter(|result| result.account.as_ref() == account)
        .collect()
}

/// The share of an account's queries that were answered whole within a time.
fn served_share(fleet: &FakeFleet, account: &str, within: Duration) -> f64 {
    let results = of_account(fleet, account);
    let served = results
        .iter()
        .filter(|result| result.whole && result.latency <= within);
    served.count() as f64 / results.len() as f64
}

/// Load of four times the capacity, of which the urgent part would fit alone.
fn urgent_work_is_served(seed: u64) {
    let full = crest(PolicyKind::Full, seed);
    let baseline = crest(PolicyKind::Baseline, seed);
    let share = served_share(&full, URGENT, URGENT_PATIENCE);
    let other = served_share(&baseline, URGENT, URGENT_PATIENCE);
    let patient = served_share(&full, PATIENT, Duration::from_secs(30));
    println!("seed {seed}: urgent {share:.4} against {other:.4}, patient {patient:.4}");
    assert!(share >= 0.99, "urgent work served: {share}");
    assert!(
        patient >= 0.99,
        "patient work served in its patience: {patient}"
    );
}

#[test]
fn baseline_does_not_serve_urgent_work() {
    let fleet = crest(PolicyKind::Baseline, 1);
    let share = served_share(&fleet, URGENT, URGENT_PATIENCE);
    assert!(share < 0.99, "the baseline's share: {share}");
}

#[test]
fn queue_stays_at_the_engine() {
    let fleet = crest(PolicyKind::Full, 1);
    let longest = fleet.longest_queue();
    assert!(
        longest <= 2,
        "no more than the slots wait at a target: {longest}"
    );
}

/// How many of a quiet account's queries are served beside another account's flood.
fn share_beside_flood(ordered: bool) -> f64 {
    let mut options = EngineOptions::new(PolicyKind::Full, 5);
    options.protections.ordered_admission = ordered;
    let mut fleet = FakeFleet::new(options, narrow_map(), None);
    let urgent = |name| policy(name, Urgency::Urgent, URGENT_PATIENCE);
    fleet
        .driver
        .put_accounts(vec![urgent("quiet"), urgent("flood")]);
    fleet.load("quiet", CAPACITY * 0.3, Duration::ZERO, CREST);
    fleet.load("flood", CAPACITY * 3.7, Duration::ZERO, CREST);
    fleet.run();
    served_share(&fleet, "quiet", URGENT_PATIENCE)
}

#[test]
fn flood_of_one_account_leaves_others_as_they_were() {
    let share = share_beside_flood(true);
    assert!(share >= 0.99, "the quiet account's share: {share}");
}

#[test]
fn flood_starves_others_without_fairness() {
    let share = share_beside_flood(false);
    assert!(share < 0.99, "the quiet account's share: {share}");
}

/// How many patient queries are served while urgent work alone is more than the capacity.
fn patient_share_beside_urgent(reserved: bool) -> f64 {
    let mut options = EngineOptions::new(PolicyKind::Full, 6);
    options.protections.reserved_starts = reserved;
    let mut fleet = FakeFleet::new(options, narrow_map(), None);
    let patience = Duration::from_secs(2);
    fleet.driver.put_accounts(vec![
        policy(URGENT, Urgency::Urgent, URGENT_PATIENCE),
        policy(PATIENT, Urgency::Patient, patience),
    ]);
    fleet.load(URGENT, CAPACITY * 3.0, Duration::ZERO, CREST * 2);
    fleet.load(PATIENT, 10.0, Duration::ZERO, CREST);
    fleet.run();
    served_share(&fleet, PATIENT, patience)
}

#[test]
fn patient_work_never_starves() {
    let share = patient_share_beside_urgent(true);
    assert!(share >= 0.99, "the patient share: {share}");
}

#[test]
fn patient_work_starves_without_reserved_starts() {
    let share = patient_share_beside_urgent(false);
    assert!(share < 0.99, "the patient share: {share}");
}

/// How long urgent queries that are refused in an overload have waited, in the middle.
fn median_refusal(ordered: bool) -> Duration {
    let mut options = EngineOptions::new(PolicyKind::Full, 7);
    options.protections.ordered_admission = ordered;
    let mut fleet = FakeFleet::new(options, narrow_map(), None);
    fleet
        .driver
        .put_accounts(vec![policy(URGENT, Urgency::Urgent, URGENT_PATIENCE)]);
    fleet.load(URGENT, CAPACITY * 4.0, Duration::ZERO, CREST);
    fleet.run();
    let mut waits: Vec<Duration> = fleet
        .results
        .iter()
        .filter(|result| result.refused)
        .map(|result| result.latency)
        .collect();
    waits.sort_unstable();
    waits[waits.len() / 2]
}

#[test]
fn hopeless_work_is_refused_at_once() {
    let wait = median_refusal(true);
    assert!(wait.is_zero(), "refusals come at once: {wait:?}");
}

#[test]
fn hopeless_work_waits_in_vain_without_estimates() {
    let wait = median_refusal(false);
    assert!(wait >= URGENT_PATIENCE, "refusals come late: {wait:?}");
}

cases! {
    crest_seed_1: urgent_work_is_served(1);
    crest_seed_2: urgent_work_is_served(2);
    crest_seed_3: urgent_work_is_served(3);
}
