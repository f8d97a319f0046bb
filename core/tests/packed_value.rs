//! Values travel compressed between daemons that can read them, and arrive unchanged.

use std::sync::Arc;

use proptest::prelude::*;
use yuccalift_core::control::config_delta::MAX_VALUE_BYTES;
use yuccalift_core::control::config_store::UpdateOutcome;
use yuccalift_core::control::{
    ConfigStore, ConfigValue, DeltaContent, DeltaFormat, ExchangeWants, PackedValue,
};
use yuccalift_testkit::cases;

fn store_with(text: &str) -> ConfigStore {
    let mut store = ConfigStore::new(|_key, _value| Ok(()));
    let value = ConfigValue {
        key: "config".into(),
        version: 1,
        value: Some(Arc::from(text)),
    };
    store.apply_published(1, &[value], false, &mut Vec::new());
    store
}

proptest! {
    #[test]
    fn packed_value_is_unpacked_unchanged(part in ".{1,80}", times in 20_usize..200) {
        let text = part.repeat(times);
        if let Some(packed) = PackedValue::pack(&text) {
            let bytes = rmp_serde::to_vec_named(&packed).expect("a packed value can be written");
            prop_assert!(bytes.len() < packed.bytes() + 40, "bytes are written as they are");
            let read: PackedValue = rmp_serde::from_slice(&bytes).expect("it can be read");
            let unpacked = read.unpack();
            prop_assert_eq!(unpacked.as_deref(), Some(text.as_str()));
        }
    }
}

#[test]
fn packed_value_that_grows_beyond_all_bounds_is_refused() {
    let text = "x".repeat(MAX_VALUE_BYTES + 1);
    let packed = PackedValue::pack(&text).expect("repetitions are shortened");
    assert!(packed.bytes() < 10_000);
    assert_eq!(packed.unpack(), None);
}

/// Checks how much of a long configuration is sent to a peer that reads the given form.
fn whole_value_is_sent(format: DeltaFormat, is_packed: bool) {
    let route = r#"{"name":"r-1","hostname":"shop.example","prefix":"/a/","backend":"service-a"}"#;
    let text = route.repeat(4_000);
    let store = store_with(&text);
    let delta = store.delta_since(0, &[], format, usize::MAX);
    let content = &delta.entries[0].content;
    assert_eq!(matches!(content, DeltaContent::Packed(_)), is_packed);
    assert_eq!(delta.bytes() < text.len() / 8, is_packed);
    let mut peer = ConfigStore::new(|_key, _value| Ok(()));
    let outcome = peer.apply_delta(&delta, &mut Vec::new());
    assert_eq!(outcome, UpdateOutcome::Advanced);
    assert_eq!(peer.hash(), store.hash());
}

cases! {
    long_value_is_packed_for_a_peer_that_reads_it: whole_value_is_sent(DeltaFormat::Packed, true);
    long_value_is_sent_as_it_is_to_an_older_peer: whole_value_is_sent(DeltaFormat::Plain, false);
}

#[test]
fn message_of_an_older_daemon_asks_for_plain_values() {
    let bytes = rmp_serde::to_vec_named(&OlderWants::default()).expect("it can be written");
    let wants: ExchangeWants = rmp_serde::from_slice(&bytes).expect("it can be read");
    assert_eq!(wants.format, DeltaFormat::Plain);
}

/// The requests of a daemon that knows no packed values.
#[derive(Default, serde::Serialize)]
struct OlderWants {
    m: bool,
    d: bool,
    k: Vec<Box<str>>,
}
