//! Effect of hedging, ejection and target choice on tail latency with slow targets.

use std::time::Duration;

use yuccalift_core::{EngineOptions, PolicyKind, ProtectionSet};
use yuccalift_testkit::cases;

use crate::simulated_fleet::{SimulatedFleet, SlowPeriods};
use crate::support::{ACCOUNT, map};

/// Number of shards per query.
const SHARDS: u32 = 30;
/// Number of targets that hold each shard.
const REPLICAS: u32 = 3;
/// Queries per second.
const RATE: f64 = 100.0;
/// How long queries are submitted.
const LOAD_LENGTH: Duration = Duration::from_secs(15);

fn run(options: EngineOptions, slow_periods: Option<SlowPeriods>) -> SimulatedFleet {
    let mut fleet = SimulatedFleet::new(options, map(1, SHARDS, REPLICAS), slow_periods);
    fleet.load(ACCOUNT, RATE, Duration::ZERO, LOAD_LENGTH);
    fleet.run();
    fleet
}

fn slow_periods() -> SlowPeriods {
    SlowPeriods {
        leafs: SHARDS * REPLICAS / 20,
        length: Duration::from_secs(1),
    }
}

fn complete_share(fleet: &SimulatedFleet) -> f64 {
    let complete = fleet
        .results
        .iter()
        .filter(|result| result.complete)
        .count();
    complete as f64 / fleet.results.len() as f64
}

/// Checks the bounds with one target in twenty slowed down tenfold: p99 at most a quarter of the
/// baseline's, extra load at most 5%, and no less coverage.
fn check_straggler_bounds(seed: u64) {
    let full = run(
        EngineOptions::new(PolicyKind::Full, seed),
        Some(slow_periods()),
    );
    let baseline = run(
        EngineOptions::new(PolicyKind::Baseline, seed),
        Some(slow_periods()),
    );
    let (tail, other) = (full.quantile(0.99), baseline.quantile(0.99));
    println!(
        "seed {seed}: p99 {tail:?} against {other:?}, extra load {:.4}",
        full.extra_load()
    );
    assert!(
        tail * 4 <= other,
        "p99 of {tail:?} is at most a quarter of the baseline's {other:?}"
    );
    assert!(full.extra_load() <= 0.05, "extra load of at most 5%");
    assert!(
        complete_share(&full) >= complete_share(&baseline),
        "coverage is not below the baseline's"
    );
}

/// Checks the bounds without slow targets: p99 no worse than the baseline's, extra load at most 2%.
fn check_steady_bounds(seed: u64) {
    let full = run(EngineOptions::new(PolicyKind::Full, seed), None);
    let baseline = run(EngineOptions::new(PolicyKind::Baseline, seed), None);
    let (tail, other) = (full.quantile(0.99), baseline.quantile(0.99));
    println!(
        "seed {seed}: p99 {tail:?} against {other:?}, extra load {:.4}",
        full.extra_load()
    );
    assert!(
        tail <= other,
        "p99 of {tail:?} is at most the baseline's {other:?}"
    );
    assert!(full.extra_load() <= 0.02, "extra load of at most 2%");
}

/// Checks that switching off one protection increases p99.
fn check_tail_without(change: fn(&mut ProtectionSet)) {
    let mut options = EngineOptions::new(PolicyKind::Full, 11);
    let full = run(options.clone(), Some(slow_periods()));
    change(&mut options.protections);
    let other = run(options, Some(slow_periods()));
    let (tail, longer) = (full.quantile(0.99), other.quantile(0.99));
    println!("p99 {tail:?} with all protections, {longer:?} without one");
    assert!(
        tail < longer,
        "p99 of {tail:?} is below {longer:?}, the p99 without one protection"
    );
}

cases! {
    hedging_shortens_the_tail: check_tail_without(|set| set.hedging = false);
    two_choices_shorten_the_tail: check_tail_without(|set| set.two_choices = false);
}

cases! {
    straggler_bounds_seed_11: check_straggler_bounds(11);
    straggler_bounds_seed_12: check_straggler_bounds(12);
    straggler_bounds_seed_13: check_straggler_bounds(13);
    steady_bounds_seed_11: check_steady_bounds(11);
    steady_bounds_seed_12: check_steady_bounds(12);
    steady_bounds_seed_13: check_steady_bounds(13);
}
