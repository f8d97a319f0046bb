//! Shares of the kinds of requests under overload, and goodput with many daemons; the load is that
//! of `goodput.rs`.

use yuccalift_core::relay::AdmissionMode;
use yuccalift_testkit::cases;

use crate::goodput::{
    GOODPUT_LOADS, GoodputRun, MIN_GOODPUT_SHARE, RequestKind, RunResult, SEARCH_MIX, SlowTargets,
    URGENT_MIX,
};

/// Least share of a kind's requests that is served, relative to the share of all requests.
const MIN_RELATIVE_SHARE: f64 = 0.25;
/// Number of daemons that is expected in the near future.
const MANY_DAEMONS: usize = 300;

/// Returns the share of each kind's requests that is served, also if late, relative to that of all
/// requests.
fn relative_shares(result: &RunResult) -> [f64; 2] {
    let served: usize = result
        .kinds
        .iter()
        .map(|kind| kind.in_aim + kind.late)
        .sum();
    let requests: usize = result.kinds.iter().map(|kind| kind.requests).sum();
    let total = served as f64 / requests as f64;
    result
        .kinds
        .map(|kind| (kind.in_aim + kind.late) as f64 / kind.requests as f64 / total)
}

/// Guards against starvation: a kind that is all but refused while others are served, since it has
/// little work, much work or a low priority.
fn check_shares(mix: &'static [RequestKind; 2], load: f64) {
    let result = GoodputRun::run(mix, load, SlowTargets::None, AdmissionMode::Adaptive);
    let shares = relative_shares(&result);
    println!("{shares:.3?}: {}", result.table_row(load));
    for (kind, share) in mix.iter().zip(shares) {
        let (route, row) = (kind.route, result.table_row(load));
        assert!(share >= MIN_RELATIVE_SHARE, "{route}: {share}, {row}");
    }
}

/// Runs the load of [`SEARCH_MIX`] on [`MANY_DAEMONS`].
fn run_many(load: f64, admission: AdmissionMode) -> f64 {
    let (mix, slow) = (&SEARCH_MIX, SlowTargets::None);
    let result = GoodputRun::run_with_daemons(MANY_DAEMONS, mix, load, slow, admission);
    println!("{admission:?} {}", result.table_row(load));
    result.goodput()
}

/// Guards against a collapse with many daemons, each of which sees few answers of each target.
fn check_goodput_of_many(load: f64) {
    let goodput = GOODPUT_LOADS.map(|load| run_many(load, AdmissionMode::Adaptive));
    let best = goodput.into_iter().fold(0.0, f64::max);
    let mut runs = GOODPUT_LOADS.iter().zip(goodput);
    let at_load =
        runs.find_map(|(other, goodput)| other.total_cmp(&load).is_eq().then_some(goodput));
    let share = at_load.expect("the load is one of them") / best;
    assert!(share >= MIN_GOODPUT_SHARE, "{share} of the best goodput");
}

/// Guards against overload control that costs many daemons more answers than it saves.
fn check_gain_of_many(load: f64) {
    let off = run_many(load, AdmissionMode::Off);
    let adaptive = run_many(load, AdmissionMode::Adaptive);
    assert!(adaptive >= off, "{adaptive} with, {off} without");
}

cases! {
    no_kind_starves_at_1_5_times_the_capacity: check_shares(&SEARCH_MIX, 1.5);
    no_kind_starves_at_3_times_the_capacity: check_shares(&SEARCH_MIX, 3.0);
    no_kind_starves_at_5_times_the_capacity: check_shares(&SEARCH_MIX, 5.0);
    no_kind_starves_beside_an_urgent_one_at_1_5_times: check_shares(&URGENT_MIX, 1.5);
    no_kind_starves_beside_an_urgent_one_at_3_times: check_shares(&URGENT_MIX, 3.0);
    no_kind_starves_beside_an_urgent_one_at_5_times: check_shares(&URGENT_MIX, 5.0);
    #[ignore = "three minutes in a debug build: 300 daemons at five loads; run with --release"]
    goodput_of_300_daemons_holds_at_3_times_the_capacity: check_goodput_of_many(3.0);
    #[ignore = "over a minute in a debug build: 300 daemons, twice; run with --release"]
    answers_are_gained_by_300_daemons_at_3_times_the_capacity: check_gain_of_many(3.0);
}
