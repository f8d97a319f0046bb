//! Broken documents, each beside the faults that must be shown for it, all of them.

use std::fs;
use std::path::PathBuf;

use yuccalift_settings::check_document;

fn shows(file_name: &str) {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/broken");
    let text = fs::read_to_string(folder.join(file_name)).expect("the broken file is there");
    let errors = check_document(file_name, &text).expect_err("a broken file is refused");
    let expected_path = folder.join(file_name).with_extension("expected");
    let expected = fs::read_to_string(expected_path).expect("the expected faults are there");
    assert_eq!(
        errors.to_string(),
        expected.trim_end(),
        "each fault, and no other"
    );
}

yuccalift_testkit::cases! {
    unknown_fields: shows("01-unknown-fields.yaml");
    out_of_range: shows("02-out-of-range.yaml");
    bad_addresses: shows("03-bad-addresses.yaml");
    two_listeners_one_address: shows("04-two-listeners-one-address.yaml");
    missing_and_empty: shows("05-missing-and-empty.yaml");
    duplicate_names: shows("06-duplicate-names.yaml");
    contradictions: shows("07-contradictions.yaml");
    bad_accounts: shows("08-bad-accounts.yaml");
    not_yaml: shows("09-not-yaml.yaml");
    anchors_and_tags: shows("10-anchors-and-tags.yaml");
    shard_map: shows("11-shard-map.json");
    fleet: shows("12-fleet.json");
}
