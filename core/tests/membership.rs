//! Membership and announcements: newer records win in any order of arrival, pauses and replaced
//! processes cause no wrong suspicion, and announcements expire.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use yuccalift_core::control::announcements::{EXPIRED_RETENTION, MAX_ITEMS_PER_KIND};
use yuccalift_core::control::contact_table::CONTACTS_PER_DATA_CENTRE;
use yuccalift_core::control::member_table::{MergeOutcome, SUSPICION_TIMEOUT};
use yuccalift_core::control::{
    AnnouncementKind, AnnouncementRecord, AnnouncementTable, ContactTable, MemberRecord,
    MemberState, MemberTable,
};
use yuccalift_core::ids::Incarnation;

const SECOND: Duration = Duration::from_secs(1);

fn record(
    host: &str,
    incarnation: Incarnation,
    refutation: u32,
    state: MemberState,
) -> MemberRecord {
    MemberRecord {
        host: host.into(),
        data_centre: "hanoi".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 7000)),
        incarnation,
        refutation,
        state,
    }
}

fn table(now: Instant) -> MemberTable {
    MemberTable::new(now, record("own", 10, 0, MemberState::Alive))
}

fn state() -> impl Strategy<Value = MemberState> {
    prop_oneof![
        Just(MemberState::Alive),
        Just(MemberState::Suspect),
        Just(MemberState::Leaving),
    ]
}

proptest! {
    /// Merging the same records in any order gives the same table, so that gossip converges.
    #[test]
    fn order_of_records_does_not_matter(
        generated in prop::collection::vec((0..3_u8, 0..3_u64, 0..3_u32, state()), 1..20),
        seed in any::<u64>(),
    ) {
        let now = Instant::now();
        let records: Vec<MemberRecord> = generated
            .into_iter()
            .map(|(host, incarnation, refutation, state)| {
                record(&format!("host{host}"), incarnation, refutation, state)
            })
            .collect();
        let mut shuffled = records.clone();
        let length = shuffled.len();
        for position in 0..length {
            let other = (seed.rotate_left(position as u32) as usize) % length;
            shuffled.swap(position, other);
        }
        let (mut left, mut right) = (table(now), table(now));
        for record in &records {
            left.merge(now, record);
        }
        for record in &shuffled {
            right.merge(now, record);
        }
        prop_assert!(left.records().eq(right.records()));
        prop_assert_eq!(left.digest(), right.digest());
    }

    /// However often two daemons send an announcement to each other, and with whatever delays, it
    /// stays active for at most its lifetime plus one message delay.
    #[test]
    fn announcement_expires_however_often_it_is_passed_on(
        delays in prop::collection::vec(1..400_u64, 10..200),
        lifetime_ms in 600..5_000_u64,
    ) {
        let start = Instant::now();
        let kind = AnnouncementKind::Quarantine(7);
        let record = AnnouncementRecord { kind, id: 1, remaining_ms: lifetime_ms };
        let mut tables = [AnnouncementTable::default(), AnnouncementTable::default()];
        tables[0].merge(start, &record);
        let mut now = start;
        let mut before = start;
        for (turn, delay) in delays.iter().enumerate() {
            let sent = tables[turn % 2].active_records(now);
            now += Duration::from_millis(*delay);
            for record in &sent {
                tables[(turn + 1) % 2].merge(now, record);
            }
            for table in &mut tables {
                table.expire(before, now);
            }
            before = now;
            let end = start + Duration::from_millis(lifetime_ms + 400);
            for table in &tables {
                prop_assert!(!table.is_active(now, kind) || now <= end, "it outlives its lifetime");
            }
        }
    }
}

#[test]
fn suspicion_that_is_not_refuted_ends_in_gone() {
    let now = Instant::now();
    let mut table = table(now);
    table.merge(now, &record("a", 1, 0, MemberState::Alive));
    assert!(table.suspect(now, "a"));
    assert!(table.expire(now + SUSPICION_TIMEOUT / 2).is_empty());
    assert_eq!(table.expire(now + SUSPICION_TIMEOUT), vec![Box::from("a")]);
    assert_eq!(table.present().count(), 0);
}

#[test]
fn suspicion_is_refuted_by_the_member_itself() {
    let now = Instant::now();
    let mut table = table(now);
    let outcome = table.merge(now, &record("own", 10, 0, MemberState::Gone));
    assert_eq!(outcome, MergeOutcome::Refuted);
    let mut other = MemberTable::new(now, record("other", 1, 0, MemberState::Alive));
    other.merge(now, &record("own", 10, 0, MemberState::Alive));
    other.suspect(now, "own");
    other.merge(now, table.own());
    assert_eq!(
        other.alive().count(),
        1,
        "the refutation wins over the suspicion"
    );
}

#[test]
fn replacement_is_distinguished_from_its_predecessor() {
    let now = Instant::now();
    let mut table = table(now);
    table.merge(now, &record("a", 1, 9, MemberState::Gone));
    table.merge(now, &record("a", 2, 0, MemberState::Alive));
    let delayed = record("a", 1, 12, MemberState::Alive);
    assert_eq!(table.merge(now, &delayed), MergeOutcome::Known);
    assert_eq!(table.find("a").map(|record| record.incarnation), Some(2));
    let successor = record("own", 11, 0, MemberState::Alive);
    assert_eq!(table.merge(now, &successor), MergeOutcome::Replaced);
}

#[test]
fn pause_restarts_suspicion_timeouts() {
    let now = Instant::now();
    let mut table = table(now);
    table.merge(now, &record("a", 1, 0, MemberState::Alive));
    table.suspect(now, "a");
    let woken = now + 100 * SECOND;
    table.reset_timers(woken);
    assert!(
        table.expire(woken).is_empty(),
        "the suspicion time-out restarts after the pause"
    );
    assert!(
        table.rumors(woken, 10).is_empty(),
        "old records are not passed on"
    );
}

#[test]
fn contacts_are_bounded_and_the_last_one_is_kept() {
    let mut rng = <rand_chacha::ChaCha8Rng as rand::SeedableRng>::seed_from_u64(1);
    let mut contacts = ContactTable::default();
    for number in 0..200 {
        let mut contact = record(&format!("far{number:03}"), 1, 0, MemberState::Alive);
        contact.data_centre = "quito".into();
        contacts.merge(&contact, &mut rng);
    }
    assert_eq!(contacts.records().count(), CONTACTS_PER_DATA_CENTRE);
    for _ in 0..10 {
        let hosts: Vec<Box<str>> = contacts
            .records()
            .map(|contact| contact.host.clone())
            .collect();
        for host in hosts {
            contacts.record_failure(&host);
        }
    }
    assert_eq!(
        contacts.records().count(),
        1,
        "one contact is kept for reconnecting after a partition"
    );
}

#[test]
fn number_of_announcements_is_bounded() {
    let now = Instant::now();
    let mut table = AnnouncementTable::default();
    for number in 0..2 * MAX_ITEMS_PER_KIND as u64 {
        let item = AnnouncementRecord {
            kind: AnnouncementKind::Quarantine(number),
            id: number,
            remaining_ms: 1_000 + number,
        };
        table.merge(now, &item);
    }
    assert_eq!(table.active(now).len(), MAX_ITEMS_PER_KIND);
    let ends = now + Duration::from_secs(2);
    table.expire(now, ends);
    assert!(table.active(ends).is_empty());
    table.expire(ends, ends + EXPIRED_RETENTION);
    assert!(table.active_records(ends).is_empty());
}
