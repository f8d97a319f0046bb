//! Second sends keep to the share that a daemon may use.

use std::time::Duration;

use yuccalift_core::relay::{RepeatKind, TargetOutcome};
use yuccalift_testkit::cases;

use crate::support::{RelayStage, TIMEOUT, forward_route, ms, target};

/// Each request fails at its first target, for longer than the window: the sum of second sends in
/// any window stays within the share and the few that are always free.
fn failing_targets_are_not_flooded(requests: u32, pause: Duration) {
    const WINDOW: Duration = Duration::from_secs(10);
    const FREE_SENDS: f64 = 2.0;
    let route = forward_route("orders", RepeatKind::Idempotent, 4);
    let targets = ["a", "b", "c"].map(|name| target(name, "orders"));
    let mut stage = RelayStage::new(vec![route], targets.into());
    let mut firsts = Vec::new();
    let mut repeats = Vec::new();
    for _ in 0..requests {
        let from = stage.sends.len();
        stage.submit("to-orders", TIMEOUT);
        let mut next = from;
        while let Some((at, order)) = stage.sends.get(next).cloned() {
            let list = if next == from {
                &mut firsts
            } else {
                &mut repeats
            };
            list.push(at);
            stage.end(order.attempt, TargetOutcome::Rejected);
            next += 1;
        }
        stage.pass(pause);
    }
    for end in &repeats {
        let inside = |at: &&std::time::Instant| **at <= *end && **at + WINDOW > *end;
        let sent = repeats.iter().filter(inside).count() as f64;
        // A window may hold one part more than the budget counts.
        let counted = |at: &&std::time::Instant| **at <= *end && **at + WINDOW * 2 > *end;
        let asked = firsts.iter().filter(counted).count() as f64;
        assert!(
            sent <= asked * 0.2 + FREE_SENDS * 2.0,
            "{sent} second sends for {asked} requests"
        );
    }
    assert!(!repeats.is_empty(), "some are sent again");
}

/// An attempt that reached no target is no second send.
fn unsent_attempts_are_free() {
    let route = forward_route("orders", RepeatKind::Idempotent, 4);
    let names: Vec<String> = (0..20).map(|number| format!("t{number}")).collect();
    let targets = names.iter().map(|name| target(name, "orders"));
    let mut stage = RelayStage::new(vec![route], targets.collect());
    stage.submit("to-orders", TIMEOUT);
    for _ in 0..10 {
        let attempt = stage.last_send().attempt;
        stage.end(attempt, TargetOutcome::NotSent);
    }
    assert_eq!(stage.sends.len(), 11, "each failure is followed by a try");
}

cases! {
    a_busy_service_is_not_flooded: failing_targets_are_not_flooded(2_000, ms(10));
    a_rare_kind_is_not_flooded: failing_targets_are_not_flooded(200, ms(500));
    what_reached_nobody_is_free: unsent_attempts_are_free();
}
