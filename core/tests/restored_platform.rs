//! The configuration after the platform was restored from an older copy, which assigns versions
//! again.

use std::sync::Arc;

use yuccalift_core::control::config_store::UpdateOutcome;
use yuccalift_core::control::{
    ConfigDelta, ConfigStore, ConfigValue, DeltaFormat, StoreChange, StorePosition,
};
use yuccalift_core::ids::{ConfigVersion, StoreEra};
use yuccalift_testkit::cases;

const NO_LIMIT: usize = usize::MAX;

fn value(key: &str, version: ConfigVersion, text: &str) -> ConfigValue {
    ConfigValue {
        key: key.into(),
        version,
        value: Some(Arc::from(text)),
    }
}

fn at(era: StoreEra, version: ConfigVersion) -> StorePosition {
    StorePosition { era, version }
}

/// Returns a store that has listed the platform's values.
fn store_at(position: StorePosition, values: &[ConfigValue]) -> ConfigStore {
    let mut store = ConfigStore::new(|_key, _value| Ok(()));
    list(&mut store, position, values);
    store
}

fn list(
    store: &mut ConfigStore,
    position: StorePosition,
    values: &[ConfigValue],
) -> Vec<StoreChange> {
    let mut changes = Vec::new();
    let outcome = store.apply_published(position, values, true, &mut changes);
    assert_eq!(outcome, UpdateOutcome::Advanced);
    changes
}

fn delta(from: &ConfigStore, to: &ConfigStore, limit: usize) -> ConfigDelta {
    from.delta_since(
        to.position(),
        to.keys_to_request(),
        DeltaFormat::Packed,
        limit,
    )
}

fn text(store: &ConfigStore, key: &str) -> Option<String> {
    let value = store.in_effect(key)?.value.as_deref()?;
    Some(value.to_owned())
}

/// Guards against a change that is taken for a known one since its version was assigned before.
fn version_assigned_again_is_a_change(version: ConfigVersion) {
    let mut store = store_at(at(1, 9), &[value("a", 9, "lost")]);
    list(&mut store, at(2, 4), &[value("a", 4, "copied")]);
    let change = value("a", version, "new");
    store.apply_published(at(2, version), &[change], false, &mut Vec::new());
    assert_eq!(text(&store, "a").as_deref(), Some("new"));
}

cases! {
    version_below_the_lost_one_is_a_change: version_assigned_again_is_a_change(8);
    version_of_the_lost_one_is_a_change: version_assigned_again_is_a_change(9);
    version_above_the_lost_one_is_a_change: version_assigned_again_is_a_change(10);
}

/// Guards against a change of the restored platform that a peer undoes by what it knew before.
#[test]
fn peer_of_an_earlier_era_changes_nothing() {
    let mut store = store_at(at(2, 4), &[value("a", 4, "new")]);
    let peer = store_at(at(1, 9), &[value("a", 9, "lost")]);
    let outcome = store.apply_delta(&delta(&peer, &store, NO_LIMIT), &mut Vec::new());
    assert_eq!(outcome, UpdateOutcome::Stale);
    assert_eq!(text(&store, "a").as_deref(), Some("new"));
}

/// Guards against changes after a position of another era that are taken for all changes.
#[test]
fn changes_without_a_listing_begin_no_era() {
    let mut store = store_at(at(1, 9), &[value("a", 9, "known")]);
    let changes = [value("b", 10, "new")];
    let outcome = store.apply_published(at(2, 10), &changes, false, &mut Vec::new());
    assert_eq!(outcome, UpdateOutcome::Gap);
    assert_eq!(store.position(), at(1, 9));
}

/// Guards against a peer that stays in the earlier era, or keeps keys that the later one lacks.
fn peer_reaches_the_later_era(limit: usize) {
    let store = store_at(
        at(2, 5),
        &[value("a", 4, "copied"), value("b", 5, "rewritten")],
    );
    let known = [value("a", 8, "lost"), value("c", 9, "gone")];
    let mut peer = store_at(at(1, 9), &known);
    let mut changes = Vec::new();
    for _ in 0..4 {
        peer.apply_delta(&delta(&store, &peer, limit), &mut changes);
    }
    assert_eq!(peer.position(), store.position());
    assert_eq!(peer.hash(), store.hash());
    assert_eq!(text(&peer, "a").as_deref(), Some("copied"));
    assert_eq!(text(&peer, "b").as_deref(), Some("rewritten"));
    assert_eq!(text(&peer, "c"), None);
}

cases! {
    peer_reaches_the_later_era_at_once: peer_reaches_the_later_era(NO_LIMIT);
    peer_reaches_the_later_era_in_parts: peer_reaches_the_later_era(1);
}

/// Guards against a gap in which nothing is in effect while a later era arrives in parts.
#[test]
fn values_stay_in_effect_until_the_later_era_has_arrived() {
    let store = store_at(at(2, 5), &[value("a", 4, "one"), value("b", 5, "two")]);
    let mut peer = store_at(at(1, 9), &[value("a", 8, "one"), value("b", 9, "two")]);
    let mut changes = Vec::new();
    peer.apply_delta(&delta(&store, &peer, 1), &mut changes);
    assert_eq!(peer.position(), at(2, 4));
    assert_eq!(text(&peer, "b").as_deref(), Some("two"));
    assert_eq!(
        changes,
        Vec::new(),
        "equal values need not be applied again"
    );
    let part = peer.delta_since(at(0, 0), &[], DeltaFormat::Packed, NO_LIMIT);
    assert!(
        part.entries.is_empty(),
        "an incomplete era is not passed on"
    );
}

/// Returns a store whose writers number their values, and that has listed two eras.
fn ranked_store(former: &str, copied: &str) -> (ConfigStore, Vec<StoreChange>) {
    let store = ConfigStore::new(|_key, value| match value {
        "invalid" => Err("invalid".into()),
        _ => Ok(()),
    });
    let mut store = store.ranked_by(|_key, value| (value.parse().unwrap_or_default(), 0));
    list(&mut store, at(1, 9), &[value("a", 9, former)]);
    let changes = list(&mut store, at(2, 4), &[value("a", 4, copied)]);
    (store, changes)
}

/// Guards against a value that the platform has lost and that is replaced by an older one.
fn value_after_a_restoration(former: &str, copied: &str, expected: &str) {
    let (store, _changes) = ranked_store(former, copied);
    assert_eq!(text(&store, "a").as_deref(), Some(expected));
}

cases! {
    older_value_of_a_copy_does_not_take_effect: value_after_a_restoration("12", "11", "12");
    newer_value_of_a_copy_takes_effect: value_after_a_restoration("12", "13", "13");
    invalid_value_of_a_copy_does_not_take_effect: value_after_a_restoration("12", "invalid", "12");
}

/// Guards against a value that stays in effect although its writer has written since.
fn value_written_again(later: &str) {
    let (mut store, _changes) = ranked_store("12", "11");
    store.apply_published(at(2, 5), &[value("a", 5, later)], false, &mut Vec::new());
    assert_eq!(text(&store, "a").as_deref(), Some(later));
    store.apply_published(at(2, 6), &[value("a", 6, "2")], false, &mut Vec::new());
    assert_eq!(
        text(&store, "a").as_deref(),
        Some("2"),
        "versions order the values of one era"
    );
}

cases! {
    value_written_again_is_in_effect: value_written_again("12");
    value_written_later_is_in_effect: value_written_again("13");
}

/// Guards against a new daemon that takes an older value of the copy although its peers know a
/// newer one.
#[test]
fn new_daemon_gets_the_value_that_the_platform_has_lost() {
    let (store, _changes) = ranked_store("12", "11");
    let mut fresh = ConfigStore::new(|_key, _value| Ok(()))
        .ranked_by(|_key, value| (value.parse().unwrap_or_default(), 0));
    fresh.apply_delta(&delta(&store, &fresh, NO_LIMIT), &mut Vec::new());
    assert_eq!(text(&fresh, "a").as_deref(), Some("12"));
    assert_eq!(fresh.hash(), store.hash());
    fresh.apply_published(at(2, 5), &[value("a", 5, "13")], false, &mut Vec::new());
    assert_eq!(text(&fresh, "a").as_deref(), Some("13"));
}

/// Guards against a patch of an earlier era that is applied to a value of a later one.
#[test]
fn patches_do_not_cross_eras() {
    let large = "x".repeat(1_000);
    let mut store = store_at(at(1, 1), &[value("a", 1, &large)]);
    let changed = format!("{large}y");
    store.apply_published(at(1, 2), &[value("a", 2, &changed)], false, &mut Vec::new());
    let copied = format!("{large}z");
    let mut peer = store_at(at(2, 1), &[value("a", 1, &copied)]);
    list(&mut store, at(2, 2), &[value("a", 2, &changed)]);
    peer.apply_delta(&delta(&store, &peer, NO_LIMIT), &mut Vec::new());
    assert_eq!(text(&peer, "a"), Some(changed));
    assert_eq!(peer.hash(), store.hash());
}
