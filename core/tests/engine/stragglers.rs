//! Hedging, ejection and the choice of targets, against stragglers.

use std::time::Duration;

use yuccalift_core::{EngineOptions, PolicyKind, ProtectionSet};
use yuccalift_testkit::cases;

use crate::fleet::{FakeFleet, SlowSpells};
use crate::support::{ACCOUNT, map};

/// Shards that a query asks.
const SHARDS: u32 = 30;
/// Targets that hold each shard.
const REPLICAS: u32 = 3;
/// Queries a second.
const RATE: f64 = 100.0;
/// How long queries come.
const LENGTH: Duration = Duration::from_secs(15);

fn run(options: EngineOptions, spells: Option<SlowSpells>) -> FakeFleet {
    let mut fleet = FakeFleet::new(options, map(1, SHARDS, REPLICAS), spells);
    fleet.load(ACCOUNT, RATE, Duration::ZERO, LENGTH);
    fleet.run();
    fleet
}

fn spells() -> SlowSpells {
    SlowSpells {
        leafs: SHARDS * REPLICAS / 20,
        length: Duration::from_secs(1),
    }
}

fn whole_share(fleet: &FakeFleet) -> f64 {
    let whole = fleet.results.iter().filter(|result| result.whole).count();
    whole as f64 / fleet.results.len() as f64
}

/// One target in twenty slowed tenfold: p99 at most a quarter of the baseline's, extra load at
/// most 5%, coverage no lower.
fn straggler_bounds_hold(seed: u64) {
    let full = run(EngineOptions::new(PolicyKind::Full, seed), Some(spells()));
    let baseline = run(
        EngineOptions::new(PolicyKind::Baseline, seed),
        Some(spells()),
    );
    let (tail, other) = (full.quantile(0.99), baseline.quantile(0.99));
    println!(
        "seed {seed}: p99 {tail:?} against {other:?}, extra load {:.4}",
        full.extra_load()
    );
    assert!(tail * 4 <= other, "p99 {tail:?} against {other:?}");
    assert!(full.extra_load() <= 0.05, "extra load");
    assert!(whole_share(&full) >= whole_share(&baseline), "coverage");
}

/// Nothing wrong: p99 no worse than the baseline's, extra load at most 2%.
fn steady_bounds_hold(seed: u64) {
    let full = run(EngineOptions::new(PolicyKind::Full, seed), None);
    let baseline = run(EngineOptions::new(PolicyKind::Baseline, seed), None);
    let (tail, other) = (full.quantile(0.99), baseline.quantile(0.99));
    println!(
        "seed {seed}: p99 {tail:?} against {other:?}, extra load {:.4}",
        full.extra_load()
    );
    assert!(tail <= other, "p99 {tail:?} against {other:?}");
    assert!(full.extra_load() <= 0.02, "extra load");
}

/// With one protection off the tail is longer than with all on.
fn tail_is_longer_without(change: fn(&mut ProtectionSet)) {
    let mut options = EngineOptions::new(PolicyKind::Full, 11);
    let full = run(options.clone(), Some(spells()));
    change(&mut options.protections);
    let other = run(options, Some(spells()));
    let (tail, longer) = (full.quantile(0.99), other.quantile(0.99));
    println!("p99 {tail:?} with all protections, {longer:?} without one");
    assert!(tail < longer, "p99 {tail:?} against {longer:?}");
}

cases! {
    hedging_shortens_the_tail: tail_is_longer_without(|set| set.hedging = false);
    two_choices_shorten_the_tail: tail_is_longer_without(|set| set.two_choices = false);
}

cases! {
    straggler_bounds_seed_11: straggler_bounds_hold(11);
    straggler_bounds_seed_12: straggler_bounds_hold(12);
    straggler_bounds_seed_13: straggler_bounds_hold(13);
    steady_bounds_seed_11: steady_bounds_hold(11);
    steady_bounds_seed_12: steady_bounds_hold(12);
    steady_bounds_seed_13: steady_bounds_hold(13);
}
