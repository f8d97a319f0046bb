//! Admission under overload: urgency classes, fairness, patience and early refusal.

use std::time::Duration;

use yuccalift_core::{AccountPolicy, EngineOptions, PolicyKind, ShardMap, Urgency};
use yuccalift_testkit::cases;

use crate::simulated_fleet::{QueryResult, SimulatedFleet};
use crate::support::{account, map};

const URGENT_ACCOUNT: &str = "dispatch";
const PATIENT_ACCOUNT: &str = "billing";
/// Queries per second that the simulated leafs can serve.
const CAPACITY: f64 = 450.0;
/// How long the load exceeds the capacity.
const OVERLOAD_LENGTH: Duration = Duration::from_secs(3);
const URGENT_PATIENCE: Duration = Duration::from_millis(200);

/// Returns a map of six shards with one replica each and two slots per target.
fn small_map() -> ShardMap {
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

fn run_overload(policy_kind: PolicyKind, seed: u64) -> SimulatedFleet {
    let mut fleet = SimulatedFleet::new(EngineOptions::new(policy_kind, seed), small_map(), None);
    fleet.harness.change_accounts(vec![
        policy(URGENT_ACCOUNT, Urgency::Urgent, URGENT_PATIENCE),
        policy(PATIENT_ACCOUNT, Urgency::Patient, Duration::from_secs(30)),
    ]);
    fleet.load(
        URGENT_ACCOUNT,
        CAPACITY * 0.6,
        Duration::ZERO,
        OVERLOAD_LENGTH,
    );
    fleet.load(
        PATIENT_ACCOUNT,
        CAPACITY * 3.4,
        Duration::ZERO,
        OVERLOAD_LENGTH,
    );
    fleet.run();
    fleet
}

fn results_of_account<'a>(fleet: &'a SimulatedFleet, account: &str) -> Vec<&'a QueryResult> {
    let results = fleet.results.iter();
    results
        .filter(|result| result.account.as_ref() == account)
        .collect()
}

/// Returns the share of an account's queries that were answered completely within a time.
fn served_share(fleet: &SimulatedFleet, account: &str, within: Duration) -> f64 {
    let results = results_of_account(fleet, account);
    let served = results
        .iter()
        .filter(|result| result.complete && result.latency <= within);
    served.count() as f64 / results.len() as f64
}

/// Checks the shares served at four times the capacity, of which the urgent part alone would fit.
fn check_urgent_share(seed: u64) {
    let full = run_overload(PolicyKind::Full, seed);
    let baseline = run_overload(PolicyKind::Baseline, seed);
    let share = served_share(&full, URGENT_ACCOUNT, URGENT_PATIENCE);
    let other = served_share(&baseline, URGENT_ACCOUNT, URGENT_PATIENCE);
    let patient = served_share(&full, PATIENT_ACCOUNT, Duration::from_secs(30));
    println!("seed {seed}: urgent {share:.4} against {other:.4}, patient {patient:.4}");
    assert!(share >= 0.99, "share of urgent queries served: {share}");
    assert!(
        patient >= 0.99,
        "share of patient queries served within their patience: {patient}"
    );
}

#[test]
fn baseline_does_not_serve_urgent_work() {
    let fleet = run_overload(PolicyKind::Baseline, 1);
    let share = served_share(&fleet, URGENT_ACCOUNT, URGENT_PATIENCE);
    assert!(share < 0.99, "share served by the baseline: {share}");
}

#[test]
fn requests_queue_in_the_engine() {
    let fleet = run_overload(PolicyKind::Full, 1);
    let longest = fleet.longest_queue();
    assert!(
        longest <= 2,
        "longest queue at a target, which must not exceed its slots: {longest}"
    );
}

/// Returns the share of a quiet account's queries that are served while another account floods the
/// engine.
fn quiet_share_under_flood(ordered: bool) -> f64 {
    let mut options = EngineOptions::new(PolicyKind::Full, 5);
    options.protections.ordered_admission = ordered;
    let mut fleet = SimulatedFleet::new(options, small_map(), None);
    let urgent = |name| policy(name, Urgency::Urgent, URGENT_PATIENCE);
    fleet
        .harness
        .change_accounts(vec![urgent("quiet"), urgent("flood")]);
    fleet.load("quiet", CAPACITY * 0.3, Duration::ZERO, OVERLOAD_LENGTH);
    fleet.load("flood", CAPACITY * 3.7, Duration::ZERO, OVERLOAD_LENGTH);
    fleet.run();
    served_share(&fleet, "quiet", URGENT_PATIENCE)
}

#[test]
fn flood_of_one_account_does_not_affect_others() {
    let share = quiet_share_under_flood(true);
    assert!(
        share >= 0.99,
        "share of the quiet account's queries served: {share}"
    );
}

#[test]
fn flood_starves_others_without_fairness() {
    let share = quiet_share_under_flood(false);
    assert!(
        share < 0.99,
        "share of the quiet account's queries served: {share}"
    );
}

/// Returns the share of patient queries that are served while urgent load alone exceeds the
/// capacity.
fn patient_share_under_overload(reserved: bool) -> f64 {
    let mut options = EngineOptions::new(PolicyKind::Full, 6);
    options.protections.reserved_starts = reserved;
    let mut fleet = SimulatedFleet::new(options, small_map(), None);
    let patience = Duration::from_secs(2);
    fleet.harness.change_accounts(vec![
        policy(URGENT_ACCOUNT, Urgency::Urgent, URGENT_PATIENCE),
        policy(PATIENT_ACCOUNT, Urgency::Patient, patience),
    ]);
    fleet.load(
        URGENT_ACCOUNT,
        CAPACITY * 3.0,
        Duration::ZERO,
        OVERLOAD_LENGTH * 2,
    );
    fleet.load(PATIENT_ACCOUNT, 10.0, Duration::ZERO, OVERLOAD_LENGTH);
    fleet.run();
    served_share(&fleet, PATIENT_ACCOUNT, patience)
}

#[test]
fn patient_work_never_starves() {
    let share = patient_share_under_overload(true);
    assert!(share >= 0.99, "share of patient queries served: {share}");
}

#[test]
fn patient_work_starves_without_reserved_starts() {
    let share = patient_share_under_overload(false);
    assert!(share < 0.99, "share of patient queries served: {share}");
}

/// Returns the median time that refused urgent queries waited during an overload.
fn median_refusal_wait(ordered: bool) -> Duration {
    let mut options = EngineOptions::new(PolicyKind::Full, 7);
    options.protections.ordered_admission = ordered;
    let mut fleet = SimulatedFleet::new(options, small_map(), None);
    fleet.harness.change_accounts(vec![policy(
        URGENT_ACCOUNT,
        Urgency::Urgent,
        URGENT_PATIENCE,
    )]);
    fleet.load(
        URGENT_ACCOUNT,
        CAPACITY * 4.0,
        Duration::ZERO,
        OVERLOAD_LENGTH,
    );
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
    let wait = median_refusal_wait(true);
    assert!(wait.is_zero(), "median wait before refusal: {wait:?}");
}

#[test]
fn hopeless_work_is_refused_late_without_estimates() {
    let wait = median_refusal_wait(false);
    assert!(
        wait >= URGENT_PATIENCE,
        "median wait before refusal: {wait:?}"
    );
}

cases! {
    overload_seed_1: check_urgent_share(1);
    overload_seed_2: check_urgent_share(2);
    overload_seed_3: check_urgent_share(3);
}
