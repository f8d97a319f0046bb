//! Targets pause for moments, each at its own time: a merged answer needs all of them at once.

use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yuccalift_core::relay::{AttemptKey, RelayAnswer};
use yuccalift_testkit::cases;

use crate::support::{RelayStage, TIMEOUT, gather_route, ms, success, target};

const SERVICES: usize = 20;
const QUERIES: u64 = 600;
/// What an attempt takes, most often and at the most.
const USUAL_MS: std::ops::Range<u64> = 8..40;
/// What it takes while its target pauses.
const PAUSED: Duration = Duration::from_millis(160);

/// How many of the queries were answered whole within the latency aim, when this share of the
/// attempts meets a pause.
fn whole_answers(paused_share: f64, seed: u64) -> f64 {
    let names: Vec<String> = (0..SERVICES).map(|number| format!("s{number}")).collect();
    let services: Vec<&str> = names.iter().map(String::as_str).collect();
    let targets = services.iter().flat_map(|service| {
        ["a", "b", "c"].map(|name| target(&format!("{service}-{name}"), service))
    });
    let mut stage = RelayStage::new(vec![gather_route(&services, 0.9)], targets.collect());
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut open: Vec<(Instant, AttemptKey)> = Vec::new();
    let mut followed = 0;
    for _ in 0..QUERIES {
        stage.submit("gather", TIMEOUT);
        for _ in 0..100 {
            let new = stage.sends[followed..].iter();
            open.extend(new.map(|(sent, order)| {
                let took = if rng.random_bool(paused_share) {
                    PAUSED
                } else {
                    ms(rng.random_range(USUAL_MS).min(rng.random_range(USUAL_MS)))
                };
                (*sent + took, order.attempt)
            }));
            followed = stage.sends.len();
            let now = stage.now;
            let due: Vec<_> = open.extract_if(.., |(end, _)| *end <= now).collect();
            for (_, attempt) in due {
                stage.end(attempt, success(b"0123456789abcdef"));
            }
            stage.pass(ms(2));
        }
    }
    let whole = stage
        .ends
        .iter()
        .filter(|end| matches!(&end.result, Ok(RelayAnswer::Merged { missing: 0, .. })));
    whole.count() as f64 / QUERIES as f64
}

/// Both attempts of one of the legs meet a pause in about `SERVICES * share * share` of the queries;
/// the rest can be whole.
fn most_answers_are_whole(paused_share: f64) {
    let hopeless = SERVICES as f64 * paused_share * paused_share;
    let whole = whole_answers(paused_share, 7);
    assert!(
        whole >= 1.0 - hopeless - 0.05,
        "{whole} of the answers are whole, {hopeless} can't be"
    );
}

cases! {
    with_one_in_25_paused_most_answers_are_whole: most_answers_are_whole(0.04);
    with_one_in_15_paused_most_answers_are_whole: most_answers_are_whole(0.067);
    without_pauses_all_answers_are_whole: most_answers_are_whole(0.0);
}
