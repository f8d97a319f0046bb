//! Which legs of a merged request are hedged: the stragglers, and not all legs when a cause that is
//! common to them delays most.

use yuccalift_core::relay::{RelayDecision, RelayEvent};
use yuccalift_testkit::cases;

use crate::support::{LATENCY_AIM, RelayHarness, TIMEOUT, gather_route, ms, success, target};

const SERVICES: [&str; 8] = ["s0", "s1", "s2", "s3", "s4", "s5", "s6", "s7"];

/// Creates a relay that has learned a typical latency of 10 ms.
fn harness() -> RelayHarness {
    let targets = SERVICES
        .iter()
        .flat_map(|service| ["a", "b"].map(|name| target(&format!("{service}-{name}"), service)));
    let mut harness = RelayHarness::new(vec![gather_route(&SERVICES, 0.75)], targets.collect());
    harness.warm_up("gather", 40, ms(10));
    harness.sends.clear();
    harness.decisions.clear();
    harness
}

/// Submits a request of which the first `answered` legs are answered after 10 ms, and returns the
/// number of further attempts sent within the latency aim.
fn hedges_within_aim(harness: &mut RelayHarness, answered: usize) -> usize {
    harness.submit("gather", TIMEOUT);
    harness.advance(ms(10));
    for index in 0..answered {
        let attempt = harness.sends[index].1.attempt;
        harness.end(attempt, success(b"0123456789abcdef"));
    }
    harness.advance(LATENCY_AIM.saturating_sub(ms(30)));
    harness.sends.len() - SERVICES.len()
}

fn stragglers_are_hedged(answered: usize) {
    let hedges = hedges_within_aim(&mut harness(), answered);
    assert_eq!(
        hedges,
        SERVICES.len() - answered,
        "each straggler is hedged"
    );
}

/// A busy processor or new connections delay all legs alike. Their answers are about to come, and
/// hedging them all would double the load.
fn a_common_delay_hedges_nothing_at_first() {
    let mut harness = harness();
    harness.submit("gather", TIMEOUT);
    harness.advance(ms(18));
    assert_eq!(harness.sends.len(), SERVICES.len(), "no leg is hedged");
    for index in 0..SERVICES.len() {
        let attempt = harness.sends[index].1.attempt;
        harness.end(attempt, success(b"0123456789abcdef"));
    }
    harness.advance(LATENCY_AIM);
    assert_eq!(harness.sends.len(), SERVICES.len(), "nor later");
}

/// If most targets are silent, their legs are hedged after all, in time for an answer.
fn silent_targets_are_hedged_in_time() {
    let hedges = hedges_within_aim(&mut harness(), 2);
    assert_eq!(hedges, SERVICES.len() - 2);
}

/// Once most legs are answered, the others are hedged within a fraction of the hedge delay.
fn stragglers_are_hedged_soon_after_a_common_delay() {
    let mut harness = harness();
    harness.submit("gather", TIMEOUT);
    harness.advance(ms(16));
    for index in 0..6 {
        let attempt = harness.sends[index].1.attempt;
        harness.end(attempt, success(b"0123456789abcdef"));
    }
    harness.advance(ms(5));
    assert_eq!(harness.sends.len(), SERVICES.len() + 2);
}

/// All hedges of one check are one decision, and one line of the log.
fn hedges_of_one_check_are_one_decision() {
    let mut harness = harness();
    assert_eq!(hedges_within_aim(&mut harness, 4), 4);
    let hedged: Vec<usize> = harness
        .decisions
        .iter()
        .filter_map(|decision| match decision {
            RelayDecision::Hedged { targets, .. } => Some(targets.len()),
            _ => None,
        })
        .collect();
    assert_eq!(hedged, [4]);
}

/// After a pause of this process, the time that the pause took does not make a leg slow.
fn a_pause_hedges_nothing() {
    let mut harness = harness();
    harness.submit("gather", TIMEOUT);
    harness.now += ms(60);
    harness.feed(RelayEvent::Paused);
    harness.advance(ms(8));
    assert_eq!(harness.sends.len(), SERVICES.len());
}

cases! {
    one_straggler: stragglers_are_hedged(7);
    half_are_stragglers: stragglers_are_hedged(4);
    common_delay: a_common_delay_hedges_nothing_at_first();
    most_targets_are_silent: silent_targets_are_hedged_in_time();
    stragglers_after_a_common_delay: stragglers_are_hedged_soon_after_a_common_delay();
    one_decision: hedges_of_one_check_are_one_decision();
    pause: a_pause_hedges_nothing();
}
