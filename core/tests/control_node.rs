//! A single control node: when it becomes ready, when it reads the platform, and which peers it
//! suspects.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use yuccalift_core::control::{
    ConfigValue, ControlAction, ControlEvent, ControlNode, ControlNotice, ControlSettings,
    ExchangeMessage, FleetBounds, HostConflictPolicy, KnowledgeChange, MemberRecord, MemberState,
    ReadSettings,
};
use yuccalift_core::ids::ConfigVersion;

const SECOND: Duration = Duration::from_secs(1);
/// Port of a host with number 0.
const FIRST_PORT: u16 = 7000;

fn record(number: u16) -> MemberRecord {
    MemberRecord {
        host: format!("entry-{number}").into(),
        data_centre: "hanoi".into(),
        address: SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + number)),
        incarnation: 1,
        refutation: 0,
        state: MemberState::Alive,
    }
}

fn node(now: Instant, number: u16, seeds: &[u16]) -> ControlNode {
    node_with(now, record(number), seeds, HostConflictPolicy::Stop)
}

fn node_with(
    now: Instant,
    own: MemberRecord,
    seeds: &[u16],
    host_conflict: HostConflictPolicy,
) -> ControlNode {
    let settings = ControlSettings {
        seed: u64::from(own.address.port() - FIRST_PORT),
        own,
        seeds: seeds.iter().map(|&seed| record(seed).address).collect(),
        check: |_key, _value| Ok(()),
        rank: |_key, _value| (0, 0),
        read_settings: ReadSettings::default(),
        host_conflict,
    };
    ControlNode::new(now, settings)
}

/// Returns a node of another data centre.
fn remote_node(now: Instant, number: u16, seeds: &[u16]) -> ControlNode {
    let own = MemberRecord {
        data_centre: "hue".into(),
        ..record(number)
    };
    node_with(now, own, seeds, HostConflictPolicy::Stop)
}

fn published(version: ConfigVersion) -> ControlEvent {
    let value = ConfigValue {
        key: "accounts".into(),
        version,
        value: Some(Arc::from(format!("value {version}"))),
    };
    ControlEvent::Published {
        position: version.into(),
        values: vec![value],
        is_listing: false,
    }
}

fn handle(node: &mut ControlNode, now: Instant, event: ControlEvent) -> Vec<ControlAction> {
    let mut actions = Vec::new();
    node.handle(now, event, &mut actions);
    actions
}

/// Returns the exchanges among the actions: number, address and message.
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

/// Delivers an exchange to another node and the reply back to the sender.
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

/// Runs a node's ticks for `length` without answering its exchanges; returns all its actions.
fn run(node: &mut ControlNode, from: Instant, length: Duration) -> Vec<ControlAction> {
    let mut actions = Vec::new();
    while node.next_wake() < from + length {
        let now = node.next_wake();
        node.handle(now, ControlEvent::Tick, &mut actions);
    }
    actions
}

#[test]
fn old_value_of_a_stale_platform_does_not_make_a_daemon_ready() {
    let now = Instant::now();
    let mut peer = node(now, 1, &[]);
    handle(&mut peer, now, published(9));
    let mut fresh = node(now, 2, &[1]);
    let asked = exchanges(&handle(&mut fresh, now, ControlEvent::Tick));
    handle(&mut fresh, now, published(4));
    assert!(
        !fresh.is_ready(),
        "no peer has confirmed that this version is the newest"
    );
    deliver(now, &mut fresh, &mut peer, &asked[0]);
    assert_eq!(fresh.store().version(), 9, "the peer has a newer version");
    assert!(fresh.is_ready(), "a peer has confirmed the version");
}

#[test]
fn silent_peers_delay_readiness_only_for_a_while() {
    let now = Instant::now();
    let mut fresh = node(now, 2, &[1]);
    handle(&mut fresh, now, published(4));
    assert!(!fresh.is_ready(), "its seeds may have a newer version");
    run(&mut fresh, now, 3 * SECOND);
    assert!(
        fresh.is_ready(),
        "without answers it uses the version it has"
    );
}

#[test]
fn paused_daemon_confirms_its_version_before_it_is_ready() {
    let now = Instant::now();
    let (mut peer, mut paused) = (node(now, 1, &[]), node(now, 2, &[1]));
    handle(&mut peer, now, published(9));
    let asked = exchanges(&handle(&mut paused, now, ControlEvent::Tick));
    deliver(now, &mut paused, &mut peer, &asked[0]);
    assert!(paused.is_ready());
    let woken = now + 60 * SECOND;
    let actions = handle(&mut paused, woken, ControlEvent::Tick);
    assert!(
        !paused.is_ready(),
        "its version may be outdated after the pause"
    );
    let asked = exchanges(&actions);
    handle(&mut peer, woken, published(12));
    deliver(woken, &mut paused, &mut peer, &asked[0]);
    assert!(paused.is_ready());
    assert_eq!(paused.store().version(), 12);
}

#[test]
fn late_timeout_after_a_pause_suspects_no_peer() {
    let now = Instant::now();
    let (mut peer, mut paused) = (node(now, 1, &[]), node(now, 2, &[1]));
    let asked = exchanges(&handle(&mut paused, now, ControlEvent::Tick));
    deliver(now, &mut paused, &mut peer, &asked[0]);
    let actions = run(&mut paused, now, 2 * SECOND);
    let probe = exchanges(&actions)[0].0;
    // The process is paused; the first event after the pause is the time-out of its exchange.
    let woken = now + 60 * SECOND;
    let event = ControlEvent::Unanswered { exchange: probe };
    let actions = handle(&mut paused, woken, event);
    let is_suspicion = |action: &ControlAction| {
        matches!(
            action,
            ControlAction::Notice(ControlNotice::PeerSuspected(_) | ControlNotice::PeerGone(_))
        )
    };
    assert!(
        !actions.iter().any(is_suspicion),
        "the pause of this daemon says nothing about the peer"
    );
    assert_eq!(paused.members().alive().count(), 1);
}

/// A daemon that is not a reader does not read the platform while it receives heartbeats of a
/// reader, and reads by itself once they stop.
#[test]
fn daemon_reads_by_itself_only_without_reader_heartbeats() {
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
    assert!(
        !other.is_reader(),
        "a view of two daemons in a fleet of a thousand has no reader"
    );
    assert!(
        !reads_values(&actions),
        "the reader's heartbeats make reads unnecessary"
    );
    let alone = run(&mut other, time, 30 * SECOND);
    assert!(
        reads_values(&alone),
        "without heartbeats it reads by itself"
    );
}

/// A peer remembers an earlier process of this host whose incarnation came from a clock that was
/// ahead. With `Supersede` the daemon takes a greater incarnation, which the peer accepts; with
/// `Stop` it stops.
fn check_greater_incarnation(host_conflict: HostConflictPolicy, stops: bool) {
    let now = Instant::now();
    let mut daemon = node_with(now, record(1), &[2], host_conflict);
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
    let known = peer
        .members()
        .find("entry-1")
        .map(|record| record.incarnation);
    assert_eq!(known, Some(if stops { 900 } else { 901 }));
}

fn earlier_message(earlier: &mut ControlNode, now: Instant) -> ExchangeMessage {
    let request = node(now, 3, &[]).answer(now, &blank_message(now), &mut Vec::new());
    earlier.answer(now, &request, &mut Vec::new())
}

fn blank_message(now: Instant) -> ExchangeMessage {
    let first = handle(&mut node(now, 4, &[3]), now, ControlEvent::Tick);
    exchanges(&first).remove(0).2
}

/// After an outage of the platform for all readers, the first answer reports the recovery, since
/// entries missing from the answer may only have expired during the outage.
fn platform_recovery_is_reported(silence: Duration, is_expected: bool) {
    let now = Instant::now();
    let (mut reader, mut other) = (node(now, 1, &[]), node(now, 2, &[1]));
    let is_reported = |actions: &[ControlAction]| {
        let is_recovery =
            |action: &ControlAction| matches!(action, ControlAction::PlatformRecovered);
        actions.iter().any(is_recovery)
    };
    let bounds = FleetBounds {
        daemons: 30,
        daemons_per_data_centre: 30,
    };
    handle(&mut reader, now, ControlEvent::BoundsChanged(bounds));
    assert!(reader.is_reader(), "it ranks first in its view");
    handle(&mut reader, now, published(1));
    let asked = handle(&mut other, now, ControlEvent::Tick);
    let received = deliver(now, &mut other, &mut reader, &exchanges(&asked)[0]);
    assert!(
        !is_reported(&received),
        "the very first heartbeat is no recovery"
    );
    let later = now + silence;
    run(&mut reader, now, silence);
    run(&mut other, now, silence);
    let read = handle(&mut reader, later, published(2));
    assert_eq!(
        is_reported(&read),
        is_expected,
        "after an answer to this reader"
    );
    let asked = run(&mut other, later, 3 * SECOND);
    let received = deliver(later, &mut other, &mut reader, &exchanges(&asked)[0]);
    assert_eq!(
        is_reported(&received),
        is_expected,
        "after a heartbeat of another reader"
    );
}

/// If one of two readers loses the platform for a while and the other does not, nothing can have
/// expired, so no recovery is reported.
fn outage_of_one_reader_is_ignored() {
    let now = Instant::now();
    let bounds = FleetBounds {
        daemons: 30,
        daemons_per_data_centre: 30,
    };
    let (mut disconnected, mut connected) = (node(now, 1, &[]), node(now, 2, &[1]));
    for reader in [&mut disconnected, &mut connected] {
        handle(reader, now, ControlEvent::BoundsChanged(bounds.clone()));
        handle(reader, now, published(1));
    }
    let mut version = 1;
    let mut time = now;
    while time < now + 20 * SECOND {
        run(&mut disconnected, time, SECOND);
        let asked = run(&mut connected, time, SECOND);
        time += SECOND;
        version += 1;
        handle(&mut connected, time, published(version));
        for exchange in exchanges(&asked) {
            deliver(time, &mut connected, &mut disconnected, &exchange);
        }
        let asked = handle(&mut disconnected, time, ControlEvent::Tick);
        for exchange in exchanges(&asked) {
            deliver(time, &mut disconnected, &mut connected, &exchange);
        }
    }
    let read = handle(&mut disconnected, time, published(version));
    let is_recovery = |action: &ControlAction| matches!(action, ControlAction::PlatformRecovered);
    assert!(
        !read.iter().any(is_recovery),
        "the other reader was answered meanwhile"
    );
}

/// After a failed call a reader uses calls that return at once until one is answered.
fn reader_watches_only_while_the_platform_answers() {
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

/// A fleet of 60 daemons starts at once on a platform that could answer them all. They are spread
/// over the start window, so that most of them can learn the configuration from a peer instead.
#[test]
fn starting_fleet_does_not_read_at_once() {
    let now = Instant::now();
    let bounds = FleetBounds {
        daemons: 60,
        daemons_per_data_centre: 60,
    };
    let window = ReadSettings::default().start_window;
    let first_reads: Vec<Duration> = (1..=60)
        .map(|number| {
            let mut fresh = node(now, number, &[100]);
            let event = ControlEvent::BoundsChanged(bounds.clone());
            let mut actions = handle(&mut fresh, now, event);
            let mut time = now;
            while !reads_values(&actions) && time < now + 2 * window {
                time = fresh.next_wake();
                actions = handle(&mut fresh, time, ControlEvent::Tick);
            }
            time.saturating_duration_since(now)
        })
        .collect();
    let early = first_reads.iter().filter(|first| **first < window / 10);
    assert!(early.count() <= 15, "of 60: {first_reads:?}");
    assert!(first_reads.iter().all(|first| *first <= window + SECOND));
}

/// Returns the changes of a node's age of knowledge among the actions.
fn knowledge_changes(actions: &[ControlAction]) -> Vec<KnowledgeChange> {
    let change = |action: &ControlAction| match action {
        ControlAction::Notice(ControlNotice::KnowledgeChanged(change)) => Some(*change),
        _ => None,
    };
    actions.iter().filter_map(change).collect()
}

/// A reader whose watch stays open without an answer reports that it knows nothing new, although
/// no call has failed, and reports once that it does again.
#[test]
fn blind_reader_reports_old_knowledge_once() {
    let now = Instant::now();
    let mut reader = node(now, 1, &[]);
    handle(&mut reader, now, published(1));
    let actions = run(&mut reader, now, 30 * SECOND);
    let bound = 6 * SECOND;
    assert_eq!(
        knowledge_changes(&actions),
        [KnowledgeChange::Stale(bound)],
        "reported once, when the bound has passed"
    );
    let time = now + 30 * SECOND;
    assert_eq!(reader.knowledge_age(time), 30 * SECOND);
    let actions = handle(&mut reader, time, published(2));
    assert_eq!(
        knowledge_changes(&actions),
        [KnowledgeChange::Fresh(30 * SECOND)]
    );
    assert_eq!(reader.knowledge_age(time), Duration::ZERO);
}

/// A daemon that does not read the platform keeps the age of what its reader knows.
#[test]
fn heartbeats_of_a_reader_keep_knowledge_fresh() {
    let now = Instant::now();
    let (mut reader, mut other) = (node(now, 1, &[]), node(now, 2, &[1]));
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
    assert_eq!(knowledge_changes(&actions), []);
    assert!(other.knowledge_age(time) < 2 * SECOND);
}

/// A change is pushed with its values within a data centre. Another one, whose readers have most
/// likely read it already, is told the version only, and asks for the values if it lacks them.
#[test]
fn push_to_another_data_centre_carries_no_values() {
    let now = Instant::now();
    let mut first = node(now, 1, &[]);
    let mut near = node(now, 2, &[1]);
    let mut remote = remote_node(now, 3, &[1]);
    for peer in [&mut near, &mut remote] {
        let joins = exchanges(&handle(peer, now, ControlEvent::Tick));
        for join in joins.iter().filter(|join| join.1 == record(1).address) {
            deliver(now, peer, &mut first, join);
        }
    }
    let pushes = exchanges(&handle(&mut first, now, published(5)));
    let push_to = |number| pushes.iter().find(|push| push.1 == record(number).address);
    let near_push = push_to(2).expect("a change is pushed within the data centre");
    assert!(near_push.2.delta.is_some(), "with its values");
    let remote_push = push_to(3).expect("a change is pushed to another data centre");
    assert_eq!(remote_push.2.delta, None, "without its values");
    let actions = deliver(now, &mut first, &mut remote, remote_push);
    for change in exchanges(&actions) {
        deliver(now, &mut first, &mut remote, &change);
    }
    assert_eq!(remote.store().version(), 5, "it gets what it lacks at once");
}

yuccalift_testkit::cases! {
    watch_only_while_the_platform_answers: reader_watches_only_while_the_platform_answers();
    outage_of_one_reader_is_not_reported: outage_of_one_reader_is_ignored();
    recovery_after_an_outage_is_reported: platform_recovery_is_reported(20 * SECOND, true);
    short_silence_is_not_reported_as_outage: platform_recovery_is_reported(2 * SECOND, false);
    daemon_alone_on_its_host_supersedes_the_reported_process:
        check_greater_incarnation(HostConflictPolicy::Supersede, false);
    daemon_stops_for_a_later_process:
        check_greater_incarnation(HostConflictPolicy::Stop, true);
}
