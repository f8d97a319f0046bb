//! Targets pause briefly at independent times, while a merged answer needs all of them at once.

use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yuccalift_core::relay::{AttemptKey, RelayAnswer};
use yuccalift_testkit::cases;

use crate::support::{RelayHarness, TIMEOUT, gather_route, ms, success, target};

const SERVICES: usize = 20;
const QUERIES: u64 = 600;
/// Duration of an attempt in milliseconds: the smaller of two draws from this range.
const WORK_MS: std::ops::Range<u64> = 8..40;
/// Duration of an attempt whose target pauses.
const PAUSED: Duration = Duration::from_millis(160);

/// Returns the share of the queries that were answered completely, if the share `paused_share` of
/// the attempts meets a pause.
fn complete_answer_share(paused_share: f64, seed: u64) -> f64 {
    let names: Vec<String> = (0..SERVICES).map(|number| format!("s{number}")).collect();
    let services: Vec<&str> = names.iter().map(String::as_str).collect();
    let targets = services.iter().flat_map(|service| {
        ["a", "b", "c"].map(|name| target(&format!("{service}-{name}"), service))
    });
    let mut harness = RelayHarness::new(vec![gather_route(&services, 0.9)], targets.collect());
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut open: Vec<(Instant, AttemptKey)> = Vec::new();
    let mut collected = 0;
    for _ in 0..QUERIES {
        harness.submit("gather", TIMEOUT);
        for _ in 0..100 {
            let new = harness.sends[collected..].iter();
            open.extend(new.map(|(sent, order)| {
                let took = if rng.random_bool(paused_share) {
                    PAUSED
                } else {
                    ms(rng.random_range(WORK_MS).min(rng.random_range(WORK_MS)))
                };
                (*sent + took, order.attempt)
            }));
            collected = harness.sends.len();
            let now = harness.now;
            let due: Vec<_> = open.extract_if(.., |(end, _)| *end <= now).collect();
            for (_, attempt) in due {
                harness.end(attempt, success(b"0123456789abcdef"));
            }
            harness.advance(ms(2));
        }
    }
    let complete = harness
        .ends
        .iter()
        .filter(|end| matches!(&end.result, Ok(RelayAnswer::Merged { missing: 0, .. })));
    complete.count() as f64 / QUERIES as f64
}

/// In about `SERVICES * share * share` of the queries, both attempts of a leg meet a pause; all
/// others can be complete.
fn check_complete_share(paused_share: f64) {
    let incompletable = SERVICES as f64 * paused_share * paused_share;
    let complete = complete_answer_share(paused_share, 7);
    assert!(
        complete >= 1.0 - incompletable - 0.05,
        "a share of {complete} of the answers is complete, {incompletable} can't be"
    );
}

cases! {
    answers_are_complete_with_one_attempt_in_25_paused: check_complete_share(0.04);
    answers_are_complete_with_one_attempt_in_15_paused: check_complete_share(0.067);
    answers_are_complete_without_pauses: check_complete_share(0.0);
}
