//! Services that run near their capacity: work on answers that are no longer needed takes capacity
//! away from requests that still wait.

use std::time::Duration;

use yuccalift_core::relay::RepeatKind;
use yuccalift_testkit::cases;

use crate::load::LoadSimulation;
use crate::support::{LATENCY_AIM, RelayHarness, TIMEOUT, forward_route, gather_route, ms, target};

const DAEMONS: usize = 9;
const SLOTS: usize = 3;

/// Simulates ten services with three targets each; in the first `slow` services, two of the three
/// targets are far slower than normal.
fn simulation_with_slow_services(slow: usize) -> LoadSimulation {
    let names: Vec<String> = (0..10).map(|number| format!("s{number}")).collect();
    let services: Vec<&str> = names.iter().map(String::as_str).collect();
    let targets = services.iter().flat_map(|service| {
        ["a", "b", "c"].map(|name| target(&format!("{service}-{name}"), service))
    });
    let targets: Vec<_> = targets.collect();
    let route = gather_route(&services, 0.89);
    let mut load = LoadSimulation::new(DAEMONS, &[route], &targets, SLOTS);
    for service in &services[..slow] {
        for name in ["a", "b"] {
            load.target(&format!("{service}-{name}")).slowdown = 9.0;
        }
    }
    load
}

/// Returns the share of requests answered within the latency aim, with one request per `interval`.
fn share_in_time(slow: usize, interval: Duration) -> f64 {
    let mut load = simulation_with_slow_services(slow);
    load.submit_evenly("gather", interval, ms(1_000));
    let requests = load.submit_evenly("gather", interval, ms(4_000));
    load.advance(TIMEOUT);
    load.answered_within(&requests, LATENCY_AIM)
}

/// A slow service has the capacity of 1.2 targets, of which the load uses the share `load`. Nearly
/// all requests can be answered in time, since each answer may lack one service.
fn check_share_in_time(slow: usize, load: f64) {
    let typical_ms = 15.0;
    let capacity = SLOTS as f64 * (1.0 + 2.0 / 9.0);
    let interval = Duration::from_secs_f64(typical_ms / 1_000.0 / capacity / load);
    let share = share_in_time(slow, interval);
    assert!(
        share >= 0.9,
        "a share of {share} of the requests was answered in time"
    );
}

/// A surplus attempt is kept while it is likely to end soon, which saves its target a new
/// connection, and is cancelled once it has exceeded the typical latency.
fn check_surplus_attempt(after: Duration, is_kept: bool) {
    let route = forward_route("orders", RepeatKind::Idempotent, 2);
    let mut harness = RelayHarness::new(vec![route], vec![target("a", "orders")]);
    harness.warm_up("to-orders", 100, ms(20));
    let request = harness.submit("to-orders", TIMEOUT);
    let attempt = harness.last_send().attempt;
    harness.advance(after);
    harness.feed(yuccalift_core::relay::RelayEvent::CallerDisconnected { request });
    assert_eq!(harness.cancels.is_empty(), is_kept);
    harness.advance(ms(30));
    assert_eq!(harness.cancels, [attempt], "it is cancelled soon");
}

cases! {
    one_slow_service_is_missing: check_share_in_time(1, 1.3);
    two_slow_services_near_capacity_answer_in_time: check_share_in_time(2, 0.9);
    three_slow_services_near_capacity_answer_in_time: check_share_in_time(3, 0.9);
    five_slow_services_with_spare_capacity_answer_in_time: check_share_in_time(5, 0.8);
    a_recent_surplus_attempt_is_kept: check_surplus_attempt(ms(5), true);
    an_old_surplus_attempt_is_cancelled_at_once: check_surplus_attempt(ms(40), false);
}
