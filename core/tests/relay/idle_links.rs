//! Use of idle connections: a daemon of a large fleet sends each target a request so rarely that
//! taking turns between targets would let nearly every connection expire.

use std::time::{Duration, Instant};

use yuccalift_core::relay::{RelayEvent, RepeatKind, TargetKey, TargetRecord};
use yuccalift_testkit::cases;

use crate::support::{RelayHarness, TIMEOUT, forward_route, ms, success, target};

/// Time for which a connection is kept after its last use.
const KEPT: Duration = Duration::from_secs(4);
/// Time that a new connection costs: the handshake and its acceptance by the target.
const CONNECT: Duration = Duration::from_millis(8);
/// Time that a target works on a request.
const WORK: Duration = Duration::from_millis(10);
/// Number of targets of the service.
const TARGETS: usize = 3;

fn targets() -> Vec<TargetRecord> {
    ["one", "two", "three"]
        .iter()
        .map(|name| target(name, "shop"))
        .collect()
}

/// A daemon and the connections that it keeps.
struct LinkedDaemon {
    harness: RelayHarness,
    links: Vec<(TargetKey, Instant)>,
}

impl LinkedDaemon {
    fn new(host: &str) -> Self {
        let route = forward_route("shop", RepeatKind::Idempotent, 2);
        Self {
            harness: RelayHarness::on_host(host, vec![route], targets()),
            links: Vec::new(),
        }
    }

    /// Sends a request that its target answers after `work`. Returns the target, and the time that
    /// the caller waited.
    fn request(&mut self, work: Duration) -> (TargetKey, Duration) {
        let request = self.harness.submit("to-shop", TIMEOUT);
        let order = self.harness.last_send().clone();
        let now = self.harness.now;
        self.links.retain(|(_, expires)| *expires > now);
        let link = self.links.iter().position(|link| link.0 == order.target);
        let connect = link.map_or(CONNECT, |index| {
            self.links.remove(index);
            Duration::ZERO
        });
        self.harness.advance(connect + work);
        let expires = self.harness.now + KEPT;
        self.links.push((order.target, expires));
        let target = order.target;
        self.harness.feed(RelayEvent::LinkIdle { target, expires });
        self.harness
            .end(order.attempt, success(b"0123456789abcdef"));
        let waited = self.harness.end_of_request(request).at - now;
        (target, waited)
    }
}

/// The second of two requests goes to the same target if its connection is still open and the
/// target was not slow.
fn check_second_request(pause: Duration, work: Duration, same: bool) {
    let mut daemon = LinkedDaemon::new("entry-1");
    daemon.harness.warm_up("to-shop", 70, WORK);
    // The measurements and connections of the warm-up expire.
    daemon.harness.advance(Duration::from_secs(20));
    let (first, _) = daemon.request(work);
    daemon.harness.advance(pause);
    let (second, _) = daemon.request(WORK);
    assert_eq!(first == second, same);
}

/// Daemons that have sent nothing yet do not all begin with the same target.
#[test]
fn daemons_begin_with_different_targets() {
    let mut counts = [0; TARGETS];
    for number in 0..90 {
        let mut daemon = LinkedDaemon::new(&format!("entry-{number}"));
        let (target, _) = daemon.request(WORK);
        counts[target as usize - 1] += 1;
    }
    assert!(
        counts.iter().all(|count| (20..=40).contains(count)),
        "90 daemons begin with {counts:?}"
    );
}

/// A fleet of 60 daemons, each with one request in 3 s to a service of three targets: nearly all
/// requests find an open connection, callers wait no longer than the work takes, and no target gets
/// much more than its share.
#[test]
fn large_fleet_reuses_connections() {
    let mut counts = [0_u32; TARGETS];
    let mut waits = Vec::new();
    for number in 0..60 {
        let mut daemon = LinkedDaemon::new(&format!("entry-{number}"));
        for _ in 0..20 {
            let (target, waited) = daemon.request(WORK);
            counts[target as usize - 1] += 1;
            waits.push(waited);
            daemon.harness.advance(Duration::from_secs(3));
        }
    }
    let reused = waits.iter().filter(|waited| **waited == WORK).count();
    let share = reused as f64 / waits.len() as f64;
    assert!(share > 0.9, "{share} of the requests found a connection");
    let mean = f64::from(counts.iter().sum::<u32>()) / TARGETS as f64;
    let busiest = counts.iter().max().copied().map_or(0.0, f64::from);
    assert!(busiest < 1.35 * mean, "the targets get {counts:?}");
}

cases! {
    open_connection_is_used_again: check_second_request(Duration::from_secs(2), WORK, true);
    expired_connection_does_not_hold_a_daemon:
        check_second_request(Duration::from_secs(5), WORK, false);
    slow_target_is_left_in_spite_of_its_connection: check_second_request(ms(100), 4 * WORK, false);
}
