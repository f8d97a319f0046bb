//! One control plane by itself: when it is ready, when it reads the platform, whom it suspects.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use yuccalift_core::control::{
    ConfigValue, ControlAction, ControlEvent, ControlNode, ControlNotice, ControlSettings,
    ExchangeMessage, FleetBounds, HostConflictPolicy, MemberRecord, MemberState, ReadSettings,
};
use yuccalift_core::ids::ConfigVersion;

const SECOND: Duration = Duration::from_secs(1);

fn record(number: u16) -> MemberRecord {
    MemberRecord {
        host: format!("entry-{number}").into(),
        data_centre: "hanoi".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 7000 + number)),
        incarnation: 1,
        refutation: 0,
        state: MemberState::Alive,
    }
}

fn node(now: Instant, number: u16, seeds: &[u16]) -> ControlNode {
    node_with(now, number, seeds, HostConflictPolicy::Stop)
}

fn node_with(
    now: Instant,
    number: u16,
    seeds: &[u16],
    host_conflict: HostConflictPolicy,
) -> ControlNode {
    let settings = ControlSettings {
        own: record(number),
        seeds: seeds.iter().map(|&seed| record(seed).address).collect(),
        seed: u64::from(number),
        check: |_key, _value| Ok(()),
        read_settings: ReadSettings::default(),
        host_conflict,
    };
    ControlNode::new(now, settings)
}

fn published(version: ConfigVersion) -> ControlEvent {
    let value = ConfigValue {
        key: "accounts".into(),
        version,
        value: Some(Arc::from(format!("value {version}"))),
    };
    ControlEvent::Published {
        version,
        values: vec![value],
    }
}

fn handle(node: &mut ControlNode, now: Instant, event: ControlEvent) -> Vec<ControlAction> {
    let mut actions = Vec::new();
    node.handle(now, event, &mut actions);
    actions
}

/// The exchanges among the actions.
fn exchanges(actions: &[ControlAction]) -> Vec<(u64, SocketAddr, ExchangeMessage)> {
    let exchange = |action: &ControlAction| match action {
        ControlAction::Exchange {
            exchange,
            address,
            message,
        } => Some((*exchange, *address, message.as_ref().clone())),
        _ => None,
    };
    actions.iter().filter_map(exchange).collect()
}

/// Lets one node's exchange reach another, and its answer come back.
fn deliver(
    now: Instant,
    from: &mut ControlNode,
    to: &mut ControlNode,
    exchange: &(u64, SocketAddr, ExchangeMessage),
) -> Vec<ControlAction> {
    let message = Box::new(to.answer(now, &exchange.2, &mut Vec::new()));
    let exchange = exchange.0;
    handle(from, now, ControlEvent::Replied { exchange, message })
}

fn reads_values(actions: &[ControlAction]) -> bool {
    let reads = |action: &ControlAction| matches!(action, ControlAction::ReadValues { .. });
    actions.iter().any(reads)
}

/// Runs a node's ticks for a while, answering none of its exchanges; returns all its actions.
fn run(node: &mut ControlNode, from: Instant, length: Duration) -> Vec<ControlAction> {
    let mut actions = Vec::new();
    while node.next_wake() < from + length {
        let now = node.next_wake();
        node.handle(now, ControlEvent::Tick, &mut actions);
    }
    actions
}

#[test]
fn old_value_of_a_stale_platform_makes_nobody_ready() {
    let now = Instant::now();
    let mut peer = node(now, 1, &[]);
    handle(&mut peer, now, published(9));
    let mut fresh = node(now, 2, &[1]);
    let asked = exchanges(&handle(&mut fresh, now, ControlEvent::Tick));
    handle(&mut fresh, now, published(4));
    assert!(
        !fresh.is_ready(),
        "no peer has confirmed that this is the newest"
    );
    deliver(now, &mut fresh, &mut peer, &asked[0]);
    assert_eq!(fresh.store().version(), 9, "the peer knows a newer one");
    assert!(fresh.is_ready(), "and has confirmed it");
}

#[test]
fn silent_peers_hold_up_readiness_only_for_a_while() {
    let now = Instant::now();
    let mut fresh = node(now, 2, &[1]);
    handle(&mut fresh, now, published(4));
    assert!(!fresh.is_ready(), "its seeds may know a newer one");
    run(&mut fresh, now, 3 * SECOND);
    assert!(
        fresh.is_ready(),
        "nobody answers, and it goes on with what it has"
    );
}

#[test]
fn paused_daemon_asks_again_before_it_is_ready() {
    let now = Instant::now();
    let (mut peer, mut paused) = (node(now, 1, &[]), node(now, 2, &[1]));
    handle(&mut peer, now, published(9));
    let asked = exchanges(&handle(&mut paused, now, ControlEvent::Tick));
    deliver(now, &mut paused, &mut peer, &asked[0]);
    assert!(paused.is_ready());
    let woken = now + 60 * SECOND;
    let actions = handle(&mut paused, woken, ControlEvent::Tick);
    assert!(!paused.is_ready(), "it slept too long to know");
    let asked = exchanges(&actions);
    handle(&mut peer, woken, published(12));
    deliver(woken, &mut paused, &mut peer, &asked[0]);
    assert!(paused.is_ready());
    assert_eq!(paused.store().version(), 12);
}

#[test]
fn late_answer_after_a_pause_condemns_nobody() {
    let now = Instant::now();
    let (mut peer, mut paused) = (node(now, 1, &[]), node(now, 2, &[1]));
    let asked = exchanges(&handle(&mut paused, now, ControlEvent::Tick));
    deliver(now, &mut paused, &mut peer, &asked[0]);
    let actions = run(&mut paused, now, 2 * SECOND);
    let probe = exchanges(&actions)[0].0;
    // The process sleeps; what wakes it first is the time-out of what it had asked.
    let woken = now + 60 * SECOND;
    let event = ControlEvent::Unanswered { exchange: probe };
    let actions = handle(&mut paused, woken, event);
    let suspects = |action: &ControlAction| {
        matches!(
            action,
            ControlAction::Noticed(ControlNotice::PeerSuspected(_) | ControlNotice::PeerGone(_))
        )
    };
    assert!(
        !actions.iter().any(suspects),
        "its own sleep is no sign of the other's end"
    );
    assert_eq!(paused.members().alive().count(), 1);
}

/// While a reader's beats come, a daemon that is no reader leaves the platform alone; when they
/// cease, it reads by itself.
#[test]
fn daemon_reads_by_itself_only_when_nobody_relays() {
    let now = Instant::now();
    let bounds = FleetBounds {
        daemons: 1_000,
        daemons_per_data_centre: 1_000,
    };
    let (mut reader, mut other) = (node(now, 1, &[]), node(now, 2, &[1]));
    handle(&mut other, now, ControlEvent::BoundsChanged(bounds));
    let mut actions = Vec::new();
    let mut time = now;
    while time < now + 20 * SECOND {
        time += SECOND / 2;
        handle(&mut reader, time, published(9));
        let next = handle(&mut other, time, ControlEvent::Tick);
        for exchange in exchanges(&next) {
            actions.extend(deliver(time, &mut other, &mut reader, &exchange));
        }
        actions.extend(next);
    }
    assert!(!other.is_reader(), "two daemons of a thousand do not watch");
    assert!(
        !reads_values(&actions),
        "the beats of the reader are enough"
    );
    let alone = run(&mut other, time, 30 * SECOND);
    assert!(reads_values(&alone), "when they cease it reads by itself");
}

/// A peer remembers a process of this host that started by a clock which was ahead. A daemon that
/// knows itself alone on its host claims to be the later one, and the peer believes it; another
/// one stops.
fn hears_of_a_later_process(host_conflict: HostConflictPolicy, stops: bool) {
    let now = Instant::now();
    let mut daemon = node_with(now, 1, &[2], host_conflict);
    let mut peer = node(now, 2, &[]);
    let mut earlier = node(now, 1, &[]);
    let mut ahead = earlier_message(&mut earlier, now);
    ahead.from.incarnation = 900;
    peer.answer(now, &ahead, &mut Vec::new());
    let mut actions = Vec::new();
    for second in 1..6 {
        let time = now + second * SECOND;
        let next = handle(&mut daemon, time, ControlEvent::Tick);
        for exchange in exchanges(&next) {
            actions.extend(deliver(time, &mut daemon, &mut peer, &exchange));
        }
    }
    let stopped = actions
        .iter()
        .any(|action| matches!(action, ControlAction::Replaced));
    assert_eq!(stopped, stops);
    let believed = peer
        .members()
        .find("entry-1")
        .map(|known| known.incarnation);
    assert_eq!(believed, Some(if stops { 900 } else { 901 }));
}

fn earlier_message(earlier: &mut ControlNode, now: Instant) -> ExchangeMessage {
    let asks = node(now, 3, &[]).answer(now, &blank_message(now), &mut Vec::new());
    earlier.answer(now, &asks, &mut Vec::new())
}

fn blank_message(now: Instant) -> ExchangeMessage {
    let first = handle(&mut node(now, 4, &[3]), now, ControlEvent::Tick);
    exchanges(&first).remove(0).2
}

/// Nobody could read the platform for a while: the first answer after it says so, since what the
/// platform says to be gone may only have lapsed meanwhile.
fn says_that_the_platform_is_back(silence: Duration, told: bool) {
    let now = Instant::now();
    let (mut reader, mut other) = (node(now, 1, &[]), node(now, 2, &[1]));
    let is_told = |actions: &[ControlAction]| {
        let told = |action: &ControlAction| matches!(action, ControlAction::PlatformRecovered);
        actions.iter().any(told)
    };
    let bounds = FleetBounds {
        daemons: 30,
        daemons_per_data_centre: 30,
    };
    handle(&mut reader, now, ControlEvent::BoundsChanged(bounds));
    assert!(reader.is_reader(), "it is the first of those it knows");
    handle(&mut reader, now, published(1));
    let asked = handle(&mut other, now, ControlEvent::Tick);
    let heard = deliver(now, &mut other, &mut reader, &exchanges(&asked)[0]);
    assert!(!is_told(&heard), "the first sign of all says nothing");
    let later = now + silence;
    run(&mut reader, now, silence);
    run(&mut other, now, silence);
    let read = handle(&mut reader, later, published(2));
    assert_eq!(is_told(&read), told, "by the reader's own answer");
    let asked = run(&mut other, later, 3 * SECOND);
    let heard = deliver(later, &mut other, &mut reader, &exchanges(&asked)[0]);
    assert_eq!(is_told(&heard), told, "by what a peer says");
}

/// One reader of two could not reach the platform for a while; the other could: nothing has lapsed.
fn outage_of_one_reader_is_passed_over() {
    let now = Instant::now();
    let bounds = FleetBounds {
        daemons: 30,
        daemons_per_data_centre: 30,
    };
    let (mut cut, mut well) = (node(now, 1, &[]), node(now, 2, &[1]));
    for reader in [&mut cut, &mut well] {
        handle(reader, now, ControlEvent::BoundsChanged(bounds.clone()));
        handle(reader, now, published(1));
    }
    let mut version = 1;
    let mut time = now;
    while time < now + 20 * SECOND {
        run(&mut cut, time, SECOND);
        let asked = run(&mut well, time, SECOND);
        time += SECOND;
        version += 1;
        handle(&mut well, time, published(version));
        for exchange in exchanges(&asked) {
            deliver(time, &mut well, &mut cut, &exchange);
        }
        let asked = handle(&mut cut, time, ControlEvent::Tick);
        for exchange in exchanges(&asked) {
            deliver(time, &mut cut, &mut well, &exchange);
        }
    }
    let read = handle(&mut cut, time, published(version));
    let told = |action: &ControlAction| matches!(action, ControlAction::PlatformRecovered);
    assert!(!read.iter().any(told), "the other was answered meanwhile");
}

/// A reader whose call failed asks with calls that end at once until one is answered.
fn reader_waits_only_where_it_is_answered() {
    let now = Instant::now();
    let mut reader = node(now, 1, &[]);
    let bounds = FleetBounds {
        daemons: 30,
        daemons_per_data_centre: 30,
    };
    handle(&mut reader, now, ControlEvent::BoundsChanged(bounds));
    handle(&mut reader, now, published(1));
    let waits = |actions: &[ControlAction]| -> Vec<Duration> {
        let wait = |action: &ControlAction| match action {
            ControlAction::ReadValues { wait, .. } => Some(*wait),
            _ => None,
        };
        actions.iter().filter_map(wait).collect()
    };
    let watch = ReadSettings::default().watch_wait;
    assert_eq!(waits(&run(&mut reader, now, SECOND)), [watch]);
    let time = now + SECOND;
    handle(&mut reader, time, ControlEvent::ReadFailed);
    assert_eq!(waits(&run(&mut reader, time, 3 * SECOND)), [Duration::ZERO]);
    let time = time + 3 * SECOND;
    handle(&mut reader, time, published(2));
    assert_eq!(waits(&run(&mut reader, time, SECOND)), [watch]);
}

yuccalift_testkit::cases! {
    a_reader_waits_only_where_it_is_answered: reader_waits_only_where_it_is_answered();
    an_outage_of_one_reader_is_not_told: outage_of_one_reader_is_passed_over();
    a_platform_that_is_back_is_told: says_that_the_platform_is_back(20 * SECOND, true);
    a_platform_that_was_there_is_not_told: says_that_the_platform_is_back(2 * SECOND, false);
    a_daemon_alone_on_its_host_claims_succession:
        hears_of_a_later_process(HostConflictPolicy::Supersede, false);
    another_daemon_yields_to_a_later_process:
        hears_of_a_later_process(HostConflictPolicy::Stop, true);
}
