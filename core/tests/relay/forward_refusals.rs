//! Peers that do not serve the requests that a daemon without targets forwards to them.

use std::time::Duration;

use yuccalift_core::relay::{
    ForwardOutcome, PeerAddress, ProbeOutcome, RelayAnswer, RelayEvent, RelayRefusal, TargetReply,
};
use yuccalift_testkit::cases;

use crate::cut_off::{PEERS, cut_off, end_forward, harness, lose_targets, peer, reply};
use crate::support::{TIMEOUT, ms};

/// Guards against an order that runs at two peers.
fn order_after_a_failed_forward(outcome: ForwardOutcome, expected_forwards: usize) {
    let mut harness = harness();
    cut_off(&mut harness, ProbeOutcome::NoResponse);
    let request = harness.submit("to-orders", TIMEOUT);
    let order = harness.forwards[0];
    end_forward(&mut harness, order, outcome);
    assert_eq!(harness.forwards.len(), expected_forwards);
    if expected_forwards == 1 {
        let end = harness.end_of_request(request);
        assert_eq!(end.result, Err(RelayRefusal::Failed));
    } else {
        assert_ne!(harness.forwards[1].peer, order.peer);
    }
}

cases! {
    order_that_a_peer_did_not_serve_goes_to_another: order_after_a_failed_forward(
        ForwardOutcome::Unserved { may_have_run: false }, 2);
    order_that_did_not_reach_a_peer_goes_to_another: order_after_a_failed_forward(
        ForwardOutcome::NotSent, 2);
    order_that_a_peer_may_have_run_ends: order_after_a_failed_forward(
        ForwardOutcome::Unserved { may_have_run: true }, 1);
    order_whose_peer_is_lost_ends: order_after_a_failed_forward(ForwardOutcome::Lost, 1);
}

/// Guards against a refusal that says "not run" of a request that a peer may have run.
#[test]
fn request_lost_at_all_peers_is_not_said_to_have_not_run() {
    let mut harness = harness();
    cut_off(&mut harness, ProbeOutcome::NoResponse);
    let request = harness.submit("to-parts", TIMEOUT);
    for attempt in 0..usize::from(PEERS) {
        let order = harness.forwards[attempt];
        end_forward(&mut harness, order, ForwardOutcome::Lost);
    }
    assert_eq!(
        harness.end_of_request(request).result,
        Err(RelayRefusal::Failed)
    );
}

/// Guards against peers that are asked again and again although they are cut off as well.
#[test]
fn peer_that_serves_nothing_is_spared() {
    let mut harness = harness();
    cut_off(&mut harness, ProbeOutcome::NoResponse);
    let mut served = None;
    for round in 0..20 {
        let from = harness.forwards.len();
        harness.submit("to-parts", TIMEOUT);
        let first = harness.forwards[from];
        let mut order = first;
        while order.peer != peer(0) {
            let may_have_run = false;
            end_forward(
                &mut harness,
                order,
                ForwardOutcome::Unserved { may_have_run },
            );
            order = *harness.forwards.last().expect("another peer is asked");
        }
        end_forward(&mut harness, order, ForwardOutcome::Answered(reply()));
        served = Some(order.peer);
        assert!(
            round == 0 || first.peer == peer(0),
            "the peer that serves is asked first"
        );
    }
    assert_eq!(served, Some(peer(0)));
}

/// Guards against requests that ask one host after the other in a data centre that is cut off as a
/// whole.
#[test]
fn other_data_centre_is_asked_after_a_refusal() {
    let mut harness = harness();
    let peers = (0..40).map(|number| PeerAddress {
        address: peer(number),
        data_centre: if number < 38 { "here" } else { "there" }.into(),
    });
    harness.feed(RelayEvent::PeersChanged(peers.collect()));
    cut_off(&mut harness, ProbeOutcome::NoResponse);
    let request = harness.submit("to-parts", TIMEOUT);
    while !harness.has_ended(request) {
        let order = *harness.forwards.last().expect("the request is forwarded");
        let is_served = order.peer == peer(38) || order.peer == peer(39);
        let outcome = if is_served {
            ForwardOutcome::Answered(reply())
        } else {
            ForwardOutcome::Unserved {
                may_have_run: false,
            }
        };
        end_forward(&mut harness, order, outcome);
    }
    let result = &harness.end_of_request(request).result;
    assert!(matches!(result, Ok(RelayAnswer::FromPeer(_))), "{result:?}");
    assert!(
        harness.forwards.len() <= 3,
        "{} peers were asked",
        harness.forwards.len()
    );
}

/// Guards against a peer's "not run" that is passed on although a target of this daemon may run the
/// request.
#[test]
fn refusal_of_a_peer_is_not_passed_on_if_a_target_may_have_the_request() {
    let mut harness = harness();
    let request = harness.submit("to-parts", Duration::from_secs(10));
    harness.sends.clear();
    let order = lose_targets(&mut harness, request);
    let refusal = TargetReply {
        status: 503,
        signature: None,
        ..reply()
    };
    end_forward(&mut harness, order, ForwardOutcome::Answered(refusal));
    let result = &harness.end_of_request(request).result;
    assert_eq!(*result, Err(RelayRefusal::Failed));
}

/// Guards against a host that refuses its callers since the only connected peer failed a moment ago.
#[test]
fn held_peer_is_asked_if_there_is_no_other() {
    let mut harness = harness();
    cut_off(&mut harness, ProbeOutcome::NoResponse);
    for _ in 0..3 {
        harness.submit("to-parts", TIMEOUT);
        let mut asked = 0;
        while let Some(order) = harness.forwards.get(asked).copied() {
            end_forward(&mut harness, order, ForwardOutcome::NotSent);
            asked += 1;
        }
        harness.forwards.clear();
        harness.advance(ms(300));
    }
    let request = harness.submit("to-parts", TIMEOUT);
    let order = *harness.forwards.first().expect("a held peer is asked");
    end_forward(&mut harness, order, ForwardOutcome::Answered(reply()));
    let result = &harness.end_of_request(request).result;
    assert!(matches!(result, Ok(RelayAnswer::FromPeer(_))), "{result:?}");
}
