//! A daemon that reaches no target forwards requests to its peers.

use std::net::SocketAddr;
use std::time::Duration;

use yuccalift_core::relay::{
    ForwardOrder, ForwardOutcome, PeerAddress, ProbeOutcome, RelayAnswer, RelayDecision,
    RelayEvent, RelayRefusal, RepeatKind, RequestKey, RequestOrigin, RouteEntry, TargetOutcome,
    TargetRecord, TargetReply,
};
use yuccalift_testkit::cases;

use crate::support::{RelayHarness, TIMEOUT, forward_route, gather_route, ms, success, target};

const SERVICES: [&str; 3] = ["orders", "parts", "stock"];
pub(crate) const PEERS: u16 = 3;
/// Time within which a daemon under requests must find out that it is cut off.
const NOTICE_TIME: Duration = Duration::from_secs(2);
/// Time-out of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

pub(crate) fn peer(number: u16) -> SocketAddr {
    ([10, 0, 1, 1], 7000 + number).into()
}

/// Returns a relay with three targets in each of three services and some peers.
pub(crate) fn harness() -> RelayHarness {
    let mut targets: Vec<TargetRecord> = Vec::new();
    for service in SERVICES {
        for number in 0..3 {
            targets.push(target(&format!("{service}-{number}"), service));
        }
    }
    let routes = vec![
        forward_route("orders", RepeatKind::NonIdempotent, 2),
        forward_route("parts", RepeatKind::Idempotent, 2),
        gather_route(&SERVICES, 1.0),
        RouteEntry {
            name: "pair".into(),
            prefix: "/pair/".into(),
            ..gather_route(&SERVICES[..2], 1.0)
        },
    ];
    let mut harness = RelayHarness::new(routes, targets);
    let peers = (0..PEERS).map(|number| PeerAddress {
        address: peer(number),
        data_centre: if number > 0 { "here" } else { "there" }.into(),
    });
    harness.feed(RelayEvent::PeersChanged(peers.collect()));
    harness
}

/// Ends all attempts and probes in flight as those of a daemon that reaches no target.
fn fail_everything(harness: &mut RelayHarness, outcome: ProbeOutcome) {
    for (_, order) in std::mem::take(&mut harness.sends) {
        harness.end(order.attempt, TargetOutcome::NotSent);
    }
    for probe in std::mem::take(&mut harness.probes) {
        let target = probe.target;
        harness.feed(RelayEvent::Probed { target, outcome });
    }
}

fn is_cut_off(harness: &RelayHarness) -> bool {
    let changes = harness.decisions.iter().rev();
    let mut changes = changes.filter_map(|decision| match decision {
        RelayDecision::TargetsLost { .. } => Some(true),
        RelayDecision::TargetsRegained { .. } => Some(false),
        _ => None,
    });
    changes.next().unwrap_or(false)
}

/// Sends requests of which all attempts fail until the relay knows that it is cut off.
pub(crate) fn cut_off(harness: &mut RelayHarness, outcome: ProbeOutcome) {
    let until = harness.now + NOTICE_TIME;
    while !is_cut_off(harness) {
        assert!(harness.now < until, "the daemon finds out in time");
        harness.submit("gather", TIMEOUT);
        harness.advance(CONNECT_TIMEOUT);
        fail_everything(harness, outcome);
    }
    for order in std::mem::take(&mut harness.forwards) {
        end_forward(harness, order, ForwardOutcome::Answered(reply()));
    }
    harness.sends.clear();
    harness.cancelled_forwards.clear();
}

/// Sends requests of which all attempts fail until the relay knows that it is cut off, and returns
/// how it then forwards an earlier request.
pub(crate) fn lose_targets(harness: &mut RelayHarness, request: RequestKey) -> ForwardOrder {
    let until = harness.now + NOTICE_TIME;
    while !is_cut_off(harness) {
        assert!(harness.now < until, "the daemon finds out in time");
        harness.submit("gather", TIMEOUT);
        harness.advance(CONNECT_TIMEOUT);
        fail_everything(harness, ProbeOutcome::NoResponse);
    }
    let mut forwards = harness.forwards.iter();
    let order = forwards.find(|order| order.request == request);
    *order.expect("the request is forwarded")
}

pub(crate) fn reply() -> TargetReply {
    TargetReply {
        status: 200,
        signature: Some("signed".into()),
        headers: Vec::new(),
        body: b"from a peer".as_slice().into(),
    }
}

pub(crate) fn end_forward(
    harness: &mut RelayHarness,
    order: ForwardOrder,
    outcome: ForwardOutcome,
) {
    let request = order.request;
    harness.feed(RelayEvent::ForwardEnded { request, outcome });
}

/// Guards against refusals by a daemon that has lost its links to all targets.
fn request_is_forwarded(outcome: ProbeOutcome, route: &str) {
    let mut harness = harness();
    cut_off(&mut harness, outcome);
    let request = harness.submit(route, TIMEOUT);
    let order = harness.forwards[0];
    assert_eq!(order.request, request);
    end_forward(&mut harness, order, ForwardOutcome::Answered(reply()));
    let end = harness.end_of_request(request);
    assert_eq!(end.result, Ok(RelayAnswer::FromPeer(reply())));
    assert_eq!(harness.sends.len(), 0, "no target gets the request");
}

cases! {
    merged_request_is_forwarded_if_targets_are_silent:
        request_is_forwarded(ProbeOutcome::NoResponse, "gather");
    merged_request_is_forwarded_if_targets_refuse:
        request_is_forwarded(ProbeOutcome::Refused, "gather");
    order_is_forwarded: request_is_forwarded(ProbeOutcome::NoResponse, "to-orders");
}

/// Guards against requests that wait for their deadline since they were sent before the cut was
/// noticed.
#[test]
fn waiting_request_is_forwarded_once_the_cut_is_noticed() {
    let mut harness = harness();
    let request = harness.submit("to-parts", Duration::from_secs(10));
    harness.sends.clear();
    let order = lose_targets(&mut harness, request);
    assert_eq!(order.attempts_used, 1);
}

/// Guards against an order that a silent target may run and a peer runs once more.
#[test]
fn order_that_a_target_may_have_is_not_forwarded() {
    let mut harness = harness();
    let order = harness.submit("to-orders", Duration::from_secs(10));
    harness.sends.clear();
    cut_off(&mut harness, ProbeOutcome::NoResponse);
    let forwards = harness.forwards.iter();
    assert!(forwards.clone().all(|forward| forward.request != order));
    assert!(!harness.has_ended(order), "its answer may still arrive");
}

/// Guards against a request that travels in a circle.
#[test]
fn forwarded_request_is_not_forwarded_again() {
    let mut harness = harness();
    cut_off(&mut harness, ProbeOutcome::NoResponse);
    harness.origin = RequestOrigin::Peer { attempts_used: 0 };
    let request = harness.submit("gather", TIMEOUT);
    assert_eq!(harness.forwards.len(), 0);
    let refusal = RelayRefusal::CutOff {
        may_have_run: false,
    };
    assert_eq!(harness.end_of_request(request).result, Err(refusal));
}

/// Guards against a daemon that knows too few targets to doubt its links.
fn host_with_few_targets_is_cut_off(count: usize) {
    let targets = (0..count).map(|number| target(&format!("parts-{number}"), "parts"));
    let routes = vec![forward_route("parts", RepeatKind::Idempotent, 2)];
    let mut harness = RelayHarness::new(routes, targets.collect());
    harness.feed(RelayEvent::PeersChanged(vec![PeerAddress {
        address: peer(0),
        data_centre: "here".into(),
    }]));
    let until = harness.now + NOTICE_TIME;
    while !is_cut_off(&harness) {
        assert!(harness.now < until, "the daemon finds out in time");
        harness.submit("to-parts", TIMEOUT);
        harness.advance(CONNECT_TIMEOUT);
        fail_everything(&mut harness, ProbeOutcome::NoResponse);
    }
    let request = harness.submit("to-parts", TIMEOUT);
    assert!(
        harness
            .forwards
            .iter()
            .any(|order| order.request == request)
    );
}

cases! {
    host_with_one_target_is_cut_off: host_with_few_targets_is_cut_off(1);
    host_with_two_targets_is_cut_off: host_with_few_targets_is_cut_off(2);
    host_with_three_targets_is_cut_off: host_with_few_targets_is_cut_off(3);
}

/// Sends requests for a while. Targets of other services answer over connections that were open
/// before, those of `orders` can't be connected to, and probes of targets end as `probe` says.
fn run_without_orders(harness: &mut RelayHarness, probe: impl Fn(&str) -> ProbeOutcome) {
    let until = harness.now + NOTICE_TIME;
    while harness.now < until && !is_cut_off(harness) {
        harness.submit("to-orders", TIMEOUT);
        harness.submit("to-parts", TIMEOUT);
        harness.advance(ms(50));
        for (_, order) in std::mem::take(&mut harness.sends) {
            let outcome = if order.name.starts_with("orders") {
                TargetOutcome::NotSent
            } else {
                success(b"")
            };
            harness.end(order.attempt, outcome);
        }
        for order in std::mem::take(&mut harness.probes) {
            let service = SERVICES[(order.target as usize - 1) / 3];
            harness.feed(RelayEvent::Probed {
                target: order.target,
                outcome: probe(service),
            });
        }
    }
}

/// Guards against a daemon that takes a service for down, since its open connections to the others
/// have outlived the path on which they were opened.
#[test]
fn host_with_open_connections_is_cut_off() {
    let mut harness = harness();
    run_without_orders(&mut harness, |_| ProbeOutcome::NoResponse);
    assert!(is_cut_off(&harness));
    let request = harness.submit("to-orders", TIMEOUT);
    let mut forwards = harness.forwards.iter();
    assert!(forwards.any(|order| order.request == request));
}

/// Guards against requests that are forwarded, and targets that are probed for each of them, since a
/// service is down for all.
#[test]
fn service_that_is_down_is_no_cut() {
    let checks = std::cell::Cell::new(0);
    let mut harness = harness();
    run_without_orders(&mut harness, |service| {
        if service == "orders" {
            return ProbeOutcome::NoResponse;
        }
        checks.set(checks.get() + 1);
        ProbeOutcome::Reached
    });
    assert!(!is_cut_off(&harness));
    assert_eq!(harness.forwards.len(), 0);
    assert!(checks.get() <= 6, "{} probes in two seconds", checks.get());
}

/// Guards against a daemon that goes on forwarding after the cut has ended.
#[test]
fn requests_go_to_targets_again_after_the_cut() {
    let mut harness = harness();
    cut_off(&mut harness, ProbeOutcome::NoResponse);
    harness.probes.clear();
    harness.advance(ms(500));
    let probe = *harness.probes.last().expect("a target is probed");
    harness.feed(RelayEvent::Probed {
        target: probe.target,
        outcome: ProbeOutcome::Reached,
    });
    assert!(!is_cut_off(&harness));
    // The other unreachable targets are probed at once.
    for probe in std::mem::take(&mut harness.probes) {
        let (target, outcome) = (probe.target, ProbeOutcome::Reached);
        harness.feed(RelayEvent::Probed { target, outcome });
    }
    let request = harness.submit("to-parts", TIMEOUT);
    assert_eq!(harness.forwards.len(), 0);
    let attempt = harness.last_send().attempt;
    harness.end(attempt, success(b""));
    let result = &harness.end_of_request(request).result;
    assert!(
        matches!(result, Ok(RelayAnswer::Forwarded(_))),
        "{result:?}"
    );
}

/// Guards against a daemon that takes the failure of some targets for that of its own links.
#[test]
fn failure_of_many_targets_is_no_cut() {
    let mut harness = harness();
    for _ in 0..12 {
        harness.submit("gather", TIMEOUT);
        harness.advance(CONNECT_TIMEOUT);
        for (_, order) in std::mem::take(&mut harness.sends) {
            let lives = order.name.ends_with('2');
            let outcome = if lives {
                success(b"")
            } else {
                TargetOutcome::NotSent
            };
            harness.end(order.attempt, outcome);
        }
        for probe in std::mem::take(&mut harness.probes) {
            // Each service has the keys of three targets in a row.
            let lives = probe.target % 3 == 0;
            let outcome = if lives {
                ProbeOutcome::Reached
            } else {
                ProbeOutcome::NoResponse
            };
            harness.feed(RelayEvent::Probed {
                target: probe.target,
                outcome,
            });
        }
    }
    assert!(!is_cut_off(&harness));
    assert_eq!(harness.forwards.len(), 0);
}

/// Guards against requests that are blamed, here and at all peers, for a failure of the links.
#[test]
fn no_request_is_blamed_for_a_cut() {
    let mut harness = harness();
    harness.fingerprint = Some(7);
    for _ in 0..3 {
        harness.submit("gather", TIMEOUT);
    }
    for (_, order) in std::mem::take(&mut harness.sends) {
        harness.end(order.attempt, TargetOutcome::Lost);
    }
    let until = harness.now + NOTICE_TIME;
    while !is_cut_off(&harness) {
        assert!(harness.now < until, "the daemon finds out in time");
        fail_everything(&mut harness, ProbeOutcome::Refused);
        harness.advance(ms(50));
    }
    assert_eq!(harness.notices, Vec::new());
}

/// Guards against a caller that waits for ever for a peer, or for a peer that serves a caller who has
/// left.
fn forwarded_request_ends(ends: impl Fn(&mut RelayHarness, u64), is_refused: bool) {
    let mut harness = harness();
    cut_off(&mut harness, ProbeOutcome::NoResponse);
    let request = harness.submit("to-parts", TIMEOUT);
    ends(&mut harness, request);
    assert_eq!(harness.cancelled_forwards, vec![request]);
    assert_eq!(harness.has_ended(request), is_refused);
}

cases! {
    forwarded_request_ends_at_its_deadline:
        forwarded_request_ends(|harness, _| harness.advance(TIMEOUT + ms(200)), true);
    forwarded_request_ends_with_the_process:
        forwarded_request_ends(|harness, _| harness.feed(RelayEvent::Ending), true);
    forwarded_request_ends_with_its_caller: forwarded_request_ends(
        |harness, request| harness.feed(RelayEvent::CallerDisconnected { request }), false);
}

/// Guards against a request that gets lost since there is no peer to forward it to.
#[test]
fn request_without_peers_is_refused_as_before() {
    let mut harness = harness();
    harness.feed(RelayEvent::PeersChanged(Vec::new()));
    cut_off(&mut harness, ProbeOutcome::NoResponse);
    let request = harness.submit("to-parts", TIMEOUT);
    let result = &harness.end_of_request(request).result;
    assert!(
        matches!(result, Err(RelayRefusal::NotRun { .. })),
        "{result:?}"
    );
}

/// Guards against a refusal of the very request by which a daemon finds out that it is cut off: hosts
/// with few requests would refuse a large share of them.
#[test]
fn first_request_after_the_cut_is_forwarded() {
    let mut harness = harness();
    let request = harness.submit("gather", TIMEOUT);
    for _ in 0..10 {
        fail_everything(&mut harness, ProbeOutcome::Refused);
    }
    assert!(!harness.has_ended(request));
    let order = *harness.forwards.first().expect("the request is forwarded");
    assert_eq!(order.request, request);
}

/// Guards against a request that waits for ever for the result of a check.
#[test]
fn request_is_refused_if_a_check_takes_too_long() {
    let mut harness = harness();
    let request = harness.submit("pair", TIMEOUT);
    for _ in 0..10 {
        for (_, order) in std::mem::take(&mut harness.sends) {
            harness.end(order.attempt, TargetOutcome::NotSent);
        }
    }
    assert!(!harness.has_ended(request), "it waits for the check");
    harness.advance(ms(700));
    let result = &harness.end_of_request(request).result;
    assert!(
        matches!(result, Err(RelayRefusal::NotRun { .. })),
        "{result:?}"
    );
}

/// Guards against a daemon that accepts forwarded requests until its own callers have shown that it
/// is cut off as well.
#[test]
fn peer_checks_its_own_links_when_it_is_asked() {
    let mut harness = harness();
    harness.origin = RequestOrigin::Peer { attempts_used: 0 };
    let request = harness.submit("to-parts", TIMEOUT);
    let until = harness.now + NOTICE_TIME;
    while !is_cut_off(&harness) {
        assert!(harness.now < until, "the daemon finds out in time");
        fail_everything(&mut harness, ProbeOutcome::Refused);
        harness.advance(ms(10));
    }
    let result = &harness.end_of_request(request).result;
    assert!(
        matches!(result, Err(RelayRefusal::CutOff { .. })),
        "{result:?}"
    );
    assert_eq!(harness.forwards.len(), 0, "it is not forwarded again");
}

/// Guards against refusals right after a cut, while most targets are still taken for unreachable.
#[test]
fn request_is_forwarded_until_its_targets_are_reached_again() {
    let mut harness = harness();
    cut_off(&mut harness, ProbeOutcome::NoResponse);
    harness.advance(ms(500));
    let probe = harness.probes.pop().expect("a target is probed");
    fail_everything(&mut harness, ProbeOutcome::NoResponse);
    harness.probes.clear();
    let (target, outcome) = (probe.target, ProbeOutcome::Reached);
    harness.feed(RelayEvent::Probed { target, outcome });
    assert!(!is_cut_off(&harness));
    assert!(
        harness.probes.len() >= 5,
        "the other targets are probed at once"
    );
    let mut probes = harness.probes.iter();
    assert!(
        probes.all(|probe| probe.target != target),
        "the one that was reached is not probed again"
    );
    harness.forwards.clear();
    let request = harness.submit("gather", TIMEOUT);
    let order = *harness.forwards.first().expect("the request is forwarded");
    assert_eq!(order.request, request);
}
