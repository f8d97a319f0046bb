//! Membership and news: newer beliefs win in any order, pauses and replacements confuse nobody,
//! and news ends.

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
    /// The same beliefs in any order leave the same table, so that gossip converges.
    #[test]
    fn order_of_beliefs_does_not_matter(
        beliefs in prop::collection::vec((0..3_u8, 0..3_u64, 0..3_u32, state()), 1..20),
        seed in any::<u64>(),
    ) {
        let now = Instant::now();
        let records: Vec<MemberRecord> = beliefs
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

    /// However long two daemons pass items to and fro, with whatever delays, no item is said
    /// longer than its life and one delay on its way.
    #[test]
    fn news_ends_however_often_it_is_passed(
        delays in prop::collection::vec(1..400_u64, 10..200),
        life_ms in 600..5_000_u64,
    ) {
        let start = Instant::now();
        let kind = AnnouncementKind::Quarantine(7);
        let item = AnnouncementRecord { kind, id: 1, remaining_ms: life_ms };
        let mut boards = [AnnouncementTable::default(), AnnouncementTable::default()];
        boards[0].merge(start, &item);
        let mut now = start;
        let mut before = start;
        for (turn, delay) in delays.iter().enumerate() {
            let sent = boards[turn % 2].all(now);
            now += Duration::from_millis(*delay);
            for item in &sent {
                boards[(turn + 1) % 2].merge(now, item);
            }
            for board in &mut boards {
                board.expire(before, now);
            }
            before = now;
            let end = start + Duration::from_millis(life_ms + 400);
            for board in &boards {
                prop_assert!(!board.is_active(now, kind) || now <= end, "news outlives its life");
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
fn replacement_is_told_apart_from_the_process_before_it() {
    let now = Instant::now();
    let mut table = table(now);
    table.merge(now, &record("a", 1, 9, MemberState::Gone));
    table.merge(now, &record("a", 2, 0, MemberState::Alive));
    let late = record("a", 1, 12, MemberState::Alive);
    assert_eq!(table.merge(now, &late), MergeOutcome::Known);
    assert_eq!(table.find("a").map(|record| record.incarnation), Some(2));
    let successor = record("own", 11, 0, MemberState::Alive);
    assert_eq!(table.merge(now, &successor), MergeOutcome::Replaced);
}

#[test]
fn paused_daemon_condemns_nobody_by_old_ages() {
    let now = Instant::now();
    let mut table = table(now);
    table.merge(now, &record("a", 1, 0, MemberState::Alive));
    table.suspect(now, "a");
    let woken = now + 100 * SECOND;
    table.reset_timers(woken);
    assert!(table.expire(woken).is_empty(), "the suspicion begins anew");
    assert!(
        table.rumors(woken, 10).is_empty(),
        "old beliefs are not passed on"
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
        let hosts: Vec<Box<str>> = contacts.records().map(|one| one.host.clone()).collect();
        for host in hosts {
            contacts.record_failure(&host);
        }
    }
    assert_eq!(
        contacts.records().count(),
        1,
        "the way back after a cut is kept"
    );
}

#[test]
fn news_is_bounded_in_number() {
    let now = Instant::now();
    let mut board = AnnouncementTable::default();
    for number in 0..2 * MAX_ITEMS_PER_KIND as u64 {
        let item = AnnouncementRecord {
            kind: AnnouncementKind::Quarantine(number),
            id: number,
            remaining_ms: 1_000 + number,
        };
        board.merge(now, &item);
    }
    assert_eq!(board.active(now).len(), MAX_ITEMS_PER_KIND);
    let ends = now + Duration::from_secs(2);
    board.expire(now, ends);
    assert!(board.active(ends).is_empty());
    board.expire(ends, ends + EXPIRED_RETENTION);
    assert!(board.all(ends).is_empty());
}
