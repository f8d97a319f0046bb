//! Hedges and retries stay within the share that a daemon may use.

use std::time::Duration;

use yuccalift_core::relay::{RepeatKind, TargetOutcome};
use yuccalift_testkit::cases;

use crate::support::{RelayHarness, TIMEOUT, forward_route, ms, target};

/// Every request fails at its first target, for longer than the window: the number of repeats in
/// any window stays within the share and the repeats that are always allowed.
fn repeats_stay_within_budget(requests: u32, pause: Duration) {
    const WINDOW: Duration = Duration::from_secs(10);
    const FREE_REPEATS: f64 = 2.0;
    let route = forward_route("orders", RepeatKind::Idempotent, 4);
    let targets = ["a", "b", "c"].map(|name| target(name, "orders"));
    let mut harness = RelayHarness::new(vec![route], targets.into());
    let mut first_sends = Vec::new();
    let mut repeats = Vec::new();
    for _ in 0..requests {
        let from = harness.sends.len();
        harness.submit("to-orders", TIMEOUT);
        let mut next = from;
        while let Some((at, order)) = harness.sends.get(next).cloned() {
            let list = if next == from {
                &mut first_sends
            } else {
                &mut repeats
            };
            list.push(at);
            harness.end(order.attempt, TargetOutcome::Rejected);
            next += 1;
        }
        harness.advance(pause);
    }
    for end in &repeats {
        let inside = |at: &&std::time::Instant| **at <= *end && **at + WINDOW > *end;
        let sent = repeats.iter().filter(inside).count() as f64;
        // A window may contain one part more than the budget counts.
        let counted = |at: &&std::time::Instant| **at <= *end && **at + WINDOW * 2 > *end;
        let asked = first_sends.iter().filter(counted).count() as f64;
        assert!(
            sent <= asked * 0.2 + FREE_REPEATS * 2.0,
            "{sent} repeats for {asked} requests"
        );
    }
    assert!(!repeats.is_empty(), "some requests are repeated");
}

/// An attempt that reached no target does not count as a repeat.
fn unsent_attempts_use_no_budget() {
    let route = forward_route("orders", RepeatKind::Idempotent, 4);
    let names: Vec<String> = (0..20).map(|number| format!("t{number}")).collect();
    let targets = names.iter().map(|name| target(name, "orders"));
    let mut harness = RelayHarness::new(vec![route], targets.collect());
    harness.submit("to-orders", TIMEOUT);
    for _ in 0..10 {
        let attempt = harness.last_send().attempt;
        harness.end(attempt, TargetOutcome::NotSent);
    }
    assert_eq!(
        harness.sends.len(),
        11,
        "each failure is followed by a retry"
    );
}

cases! {
    repeats_to_a_busy_service_stay_within_budget: repeats_stay_within_budget(2_000, ms(10));
    repeats_to_a_rarely_used_service_stay_within_budget: repeats_stay_within_budget(200, ms(500));
    attempts_that_reach_no_target_use_no_budget: unsent_attempts_use_no_budget();
}
