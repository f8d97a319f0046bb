//! Shards that have barely room for their load: what is spent on answers that nobody waits for any
//! more is missing for those that somebody does.

use std::time::Duration;

use yuccalift_core::relay::RepeatKind;
use yuccalift_testkit::cases;

use crate::load::PlayedLoad;
use crate::support::{LATENCY_AIM, RelayStage, TIMEOUT, forward_route, gather_route, ms, target};

const DAEMONS: usize = 9;
const SLOTS: usize = 3;

/// Ten services with three targets each; of the first few services two targets in three are far
/// slower than usual.
fn load_with_slow_services(slow: usize) -> PlayedLoad {
    let names: Vec<String> = (0..10).map(|number| format!("s{number}")).collect();
    let services: Vec<&str> = names.iter().map(String::as_str).collect();
    let targets = services.iter().flat_map(|service| {
        ["a", "b", "c"].map(|name| target(&format!("{service}-{name}"), service))
    });
    let targets: Vec<_> = targets.collect();
    let route = gather_route(&services, 0.89);
    let mut load = PlayedLoad::new(DAEMONS, &[route], &targets, SLOTS);
    for service in &services[..slow] {
        for name in ["a", "b"] {
            load.target(&format!("{service}-{name}")).slowness = 9.0;
        }
    }
    load
}

/// The share of requests answered in time, one each `gap`.
fn share_in_time(slow: usize, gap: Duration) -> f64 {
    let mut load = load_with_slow_services(slow);
    load.submit_evenly("gather", gap, ms(1_000));
    let requests = load.submit_evenly("gather", gap, ms(4_000));
    load.pass(TIMEOUT);
    load.answered_within(&requests, LATENCY_AIM)
}

/// A slow service has 1.2 targets' worth of room, of which the load needs the share `load`: nearly
/// all requests can be answered in time, and a service may be missing in each.
fn nearly_all_in_time(slow: usize, load: f64) {
    let usual = 15.0;
    let room = SLOTS as f64 * (1.0 + 2.0 / 9.0);
    let gap = Duration::from_secs_f64(usual / 1_000.0 / room / load);
    let share = share_in_time(slow, gap);
    assert!(
        share >= 0.9,
        "{share} of the requests were answered in time"
    );
}

/// Of an attempt that nobody waits for any more: it goes on while it is likely to end soon, which
/// saves its target a new connection, and ends once it has taken longer than is usual.
fn leftover_lingers(after: Duration, lingers: bool) {
    let route = forward_route("orders", RepeatKind::Idempotent, 2);
    let mut stage = RelayStage::new(vec![route], vec![target("a", "orders")]);
    stage.warm_up("to-orders", 100, ms(20));
    let request = stage.submit("to-orders", TIMEOUT);
    let attempt = stage.last_send().attempt;
    stage.pass(after);
    stage.feed(yuccalift_core::relay::RelayEvent::CallerGone { request });
    assert_eq!(stage.cancels.is_empty(), lingers);
    stage.pass(ms(30));
    assert_eq!(stage.cancels, [attempt], "it is not left for long");
}

cases! {
    one_slow_service_is_left_out: nearly_all_in_time(1, 1.3);
    two_slow_services_with_little_room_are_in_time: nearly_all_in_time(2, 0.9);
    three_slow_services_with_little_room_are_in_time: nearly_all_in_time(3, 0.9);
    half_of_the_services_with_some_room_are_in_time: nearly_all_in_time(5, 0.8);
    a_young_leftover_lingers: leftover_lingers(ms(5), true);
    an_old_leftover_ends_at_once: leftover_lingers(ms(40), false);
}
