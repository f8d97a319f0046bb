//! What an absence from the list means.

use std::time::Instant;

use yuccalift_core::relay::{RelayEvent, TargetListing};
use yuccalift_testkit::cases;

use crate::support::{ms, target};

fn listing() -> TargetListing {
    let mut listing = TargetListing::default();
    listing.put(target("a", "orders"), 5);
    listing
}

fn doubt_of(event: Option<RelayEvent>) -> Option<bool> {
    match event {
        Some(RelayEvent::TargetUnlisted { doubtful, .. }) => Some(doubtful),
        _ => None,
    }
}

fn removal_is_believed() {
    let doubt = doubt_of(listing().remove(Instant::now(), "a", 6));
    assert_eq!(doubt, Some(false));
}

/// Within 2.5 s of the return of the list an absent target may only have lapsed.
fn removal_after_an_outage(since_ms: u64, doubtful: bool) {
    let mut listing = listing();
    let now = Instant::now();
    listing.note_failure();
    listing.note_success(now);
    let gone = listing.keep_only(now + ms(since_ms), &[], 9);
    assert_eq!(doubt_of(gone.into_iter().next()), Some(doubtful));
}

fn old_news_is_passed_over() {
    let mut listing = listing();
    assert!(listing.put(target("a", "orders"), 4).is_none());
    assert!(listing.remove(Instant::now(), "a", 4).is_none());
    assert_eq!(listing.len(), 1);
}

/// An entry that was written while the list was read page by page is not taken for absent.
fn newer_entries_outlive_a_reading() {
    let mut listing = listing();
    listing.put(target("b", "orders"), 12);
    let gone = listing.keep_only(Instant::now(), &["a".into()], 9);
    assert!(gone.is_empty());
}

cases! {
    a_removal_is_believed: removal_is_believed();
    a_removal_just_after_an_outage_is_doubted: removal_after_an_outage(2_000, true);
    a_removal_long_after_an_outage_is_believed: removal_after_an_outage(2_600, false);
    older_news_changes_nothing: old_news_is_passed_over();
    what_came_during_a_reading_stays: newer_entries_outlive_a_reading();
}
