//! Messages of peers with arbitrary contents: none of them may end the process, whatever its numbers
//! are. Release builds check for overflow as well, so each sum that a message can drive counts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use yuccalift_core::control::{
    AnnouncementKind, AnnouncementRecord, ConfigDelta, ConfigDigest, ConfigValue, ControlEvent,
    ControlNode, ControlSettings, DeltaContent, DeltaEntry, DeltaFormat, ExchangeMessage,
    ExchangeWants, HostConflictPolicy, MemberRecord, MemberState, PackedValue, ReadSettings,
    ReaderHeartbeat, ValuePatch,
};
use yuccalift_testkit::cases;

/// Numbers near the ends of their range, and a few others.
fn number() -> impl Strategy<Value = u64> {
    prop_oneof![
        Just(0),
        Just(1),
        Just(2),
        Just(u64::from(u32::MAX)),
        Just(u64::MAX - 1),
        Just(u64::MAX),
        any::<u64>(),
    ]
}

fn small_number() -> impl Strategy<Value = u32> {
    prop_oneof![
        Just(0),
        Just(1),
        Just(u32::MAX - 1),
        Just(u32::MAX),
        any::<u32>()
    ]
}

fn host() -> impl Strategy<Value = Box<str>> {
    prop_oneof![Just("entry-1"), Just("entry-2"), Just("entry-3"), Just("")].prop_map(Box::from)
}

fn member() -> impl Strategy<Value = MemberRecord> {
    let state = prop_oneof![
        Just(MemberState::Alive),
        Just(MemberState::Suspect),
        Just(MemberState::Leaving),
        Just(MemberState::Gone),
    ];
    let data_centre = prop_oneof![Just("hanoi"), Just("hue")].prop_map(Box::from);
    (host(), data_centre, number(), small_number(), state).prop_map(
        |(host, data_centre, incarnation, refutation, state)| MemberRecord {
            host,
            data_centre,
            address: SocketAddr::from(([127, 0, 0, 1], 7000)),
            incarnation,
            refutation,
            state,
        },
    )
}

fn heartbeat() -> impl Strategy<Value = ReaderHeartbeat> {
    (host(), number(), number(), number()).prop_map(
        |(host, incarnation, count, first_after_outage)| ReaderHeartbeat {
            host,
            incarnation,
            count,
            first_after_outage,
        },
    )
}

fn announcement() -> impl Strategy<Value = AnnouncementRecord> {
    let kind = prop_oneof![
        number().prop_map(AnnouncementKind::Quarantine),
        small_number().prop_map(AnnouncementKind::Draining),
        (number(), small_number(), any::<bool>(), small_number()).prop_map(
            |(fingerprint, shard, wide, blame)| AnnouncementKind::Suspect {
                fingerprint,
                shard,
                wide,
                blame,
            }
        ),
    ];
    (kind, number(), number()).prop_map(|(kind, id, remaining_ms)| AnnouncementRecord {
        kind,
        id,
        remaining_ms,
    })
}

fn text() -> impl Strategy<Value = Arc<str>> {
    prop_oneof![Just(""), Just("value"), Just("väłue")].prop_map(Arc::from)
}

fn patch() -> impl Strategy<Value = ValuePatch> {
    (
        number(),
        number(),
        small_number(),
        small_number(),
        text(),
        number(),
    )
        .prop_map(|(base, version, prefix, suffix, middle, hash)| ValuePatch {
            base,
            version,
            prefix: prefix % 8,
            suffix,
            middle: middle.as_ref().into(),
            hash,
        })
}

/// A packed text, of which some are unreadable.
fn damaged_text() -> impl Strategy<Value = PackedValue> {
    let packed = (any::<Vec<u8>>(), any::<u64>()).prop_map(|(deflated, hash)| {
        let wire = (serde_bytes::ByteBuf::from(deflated), hash);
        let wire = rmp_serde::to_vec(&wire).expect("bytes can be written");
        rmp_serde::from_slice(&wire).expect("bytes can be read")
    });
    let whole = PackedValue::pack(&"väłue".repeat(40)).expect("repetitions are shortened");
    prop_oneof![packed, Just(whole)]
}

fn delta() -> impl Strategy<Value = ConfigDelta> {
    let content = prop_oneof![
        Just(DeltaContent::Removed),
        Just(DeltaContent::Oversize),
        text().prop_map(DeltaContent::Whole),
        prop::collection::vec(patch(), 0..3).prop_map(DeltaContent::Patches),
        damaged_text().prop_map(DeltaContent::Packed),
    ];
    let good = (number(), text()).prop_map(|(version, value)| ConfigValue {
        key: "accounts".into(),
        version,
        value: Some(value),
    });
    let key = prop_oneof![Just("accounts"), Just("fleet"), Just("")].prop_map(Box::from);
    let entry = (key, number(), content, prop::option::of(good)).prop_map(
        |(key, version, content, last_good)| DeltaEntry {
            key,
            version,
            content,
            last_good,
        },
    );
    let keys = prop::collection::vec(prop_oneof!["accounts", "[a-z]{0,3}"], 0..3);
    let keys = keys.prop_map(|keys| keys.into_iter().map(Box::from).collect());
    (
        (number(), number(), number(), number()),
        prop::collection::vec(entry, 0..3),
        prop::option::of(keys),
    )
        .prop_map(
            |((era, base, through, removals_since), entries, live_keys)| ConfigDelta {
                era,
                base,
                through,
                entries,
                removals_since,
                live_keys,
            },
        )
}

fn format() -> impl Strategy<Value = DeltaFormat> {
    prop_oneof![Just(DeltaFormat::Plain), Just(DeltaFormat::Packed)]
}

fn message() -> impl Strategy<Value = ExchangeMessage> {
    (
        member(),
        (number(), number(), number(), number()),
        prop::collection::vec(heartbeat(), 0..3),
        prop::collection::vec(member(), 0..4),
        prop::collection::vec(announcement(), 0..3),
        prop::option::of(delta()),
        (any::<bool>(), any::<bool>(), format()),
    )
        .prop_map(
            |(
                from,
                (era, version, hash, digest),
                heartbeats,
                rumors,
                announcements,
                delta,
                wants,
            )| {
                ExchangeMessage {
                    from,
                    config: ConfigDigest { era, version, hash },
                    digest,
                    heartbeats,
                    rumors,
                    announcements,
                    delta,
                    wants: ExchangeWants {
                        members: wants.0,
                        delta: wants.1,
                        whole: vec!["accounts".into()],
                        format: wants.2,
                    },
                }
            },
        )
}

fn node(now: Instant, host_conflict: HostConflictPolicy) -> ControlNode {
    let settings = ControlSettings {
        own: MemberRecord {
            host: "entry-1".into(),
            data_centre: "hanoi".into(),
            address: SocketAddr::from(([127, 0, 0, 1], 7001)),
            incarnation: 1,
            refutation: 0,
            state: MemberState::Alive,
        },
        seeds: vec![SocketAddr::from(([127, 0, 0, 1], 7002))],
        seed: 1,
        check: |_key, _value| Ok(()),
        rank: |_key, _value| (0, 0),
        read_settings: ReadSettings::default(),
        host_conflict,
    };
    ControlNode::new(now, settings)
}

/// Handles the messages in turn, with some time between them; only a panic fails.
fn handle_all(messages: &[ExchangeMessage], host_conflict: HostConflictPolicy) {
    let mut now = Instant::now();
    let mut node = node(now, host_conflict);
    for message in messages {
        let mut actions = Vec::new();
        node.answer(now, message, &mut actions);
        now += Duration::from_millis(700);
        node.handle(now, ControlEvent::Tick, &mut actions);
    }
}

proptest! {
    #[test]
    fn arbitrary_messages_end_no_daemon(messages in prop::collection::vec(message(), 1..6)) {
        handle_all(&messages, HostConflictPolicy::Supersede);
        handle_all(&messages, HostConflictPolicy::Stop);
    }
}

/// One record about this daemon's own host with the greatest numbers; the daemon goes on, and is
/// still able to say that it is alive.
fn check_own_record(incarnation: u64, refutation: u32) {
    let now = Instant::now();
    let mut node = node(now, HostConflictPolicy::Supersede);
    let own = node.members().own().clone();
    let mut message = node.answer(now, &first_message(now), &mut Vec::new());
    message.from = MemberRecord {
        host: "entry-2".into(),
        ..own.clone()
    };
    message.rumors = vec![MemberRecord {
        incarnation,
        refutation,
        state: MemberState::Suspect,
        ..own
    }];
    node.answer(now, &message, &mut Vec::new());
    let own = node.members().own();
    assert!(
        own.supersedes(&message.rumors[0]),
        "it refutes the suspicion: {own:?}"
    );
}

fn first_message(now: Instant) -> ExchangeMessage {
    let mut actions = Vec::new();
    let mut node = node(now, HostConflictPolicy::Stop);
    node.handle(now, ControlEvent::Tick, &mut actions);
    let message = actions.into_iter().find_map(|action| match action {
        yuccalift_core::control::ControlAction::Exchange { message, .. } => Some(*message),
        _ => None,
    });
    message.expect("a daemon contacts its seeds")
}

cases! {
    greatest_refutation_of_this_incarnation: check_own_record(1, u32::MAX);
    nearly_greatest_incarnation: check_own_record(u64::MAX - 1, 7);
}
