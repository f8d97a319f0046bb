//! Each broken document produces exactly the errors listed in its `.expected` file.

use std::fs;
use std::path::PathBuf;

use yuccalift_settings::check_document;

fn assert_errors(file_name: &str) {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/broken");
    let text = fs::read_to_string(folder.join(file_name)).expect("the broken document can be read");
    let errors = check_document(file_name, &text).expect_err("a broken document is rejected");
    let expected_path = folder.join(file_name).with_extension("expected");
    let expected = fs::read_to_string(expected_path).expect("the expected errors can be read");
    assert_eq!(
        errors.to_string(),
        expected.trim_end(),
        "the errors match the expected file"
    );
}

yuccalift_testkit::cases! {
    unknown_fields: assert_errors("01-unknown-fields.yaml");
    out_of_range: assert_errors("02-out-of-range.yaml");
    bad_addresses: assert_errors("03-bad-addresses.yaml");
    two_listeners_one_address: assert_errors("04-two-listeners-one-address.yaml");
    missing_and_empty: assert_errors("05-missing-and-empty.yaml");
    duplicate_names: assert_errors("06-duplicate-names.yaml");
    contradictions: assert_errors("07-contradictions.yaml");
    bad_accounts: assert_errors("08-bad-accounts.yaml");
    not_yaml: assert_errors("09-not-yaml.yaml");
    anchors_and_tags: assert_errors("10-anchors-and-tags.yaml");
    shard_map: assert_errors("11-shard-map.json");
    fleet: assert_errors("12-fleet.json");
}
