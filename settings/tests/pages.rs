//! The tables of `docs/SETTINGS.md` match the field tables in the code.

use std::fs;

use yuccalift_settings::{DAEMON_FIELDS, FieldDefault, FieldSpec, POLICY_FIELDS, RELAY_FIELDS};

fn row(spec: &FieldSpec) -> String {
    let default = match spec.default {
        FieldDefault::Required => "must be given".to_owned(),
        FieldDefault::Absent => "none".to_owned(),
        FieldDefault::Value(text) => format!("`{text}`"),
        FieldDefault::Derived(rule) => rule.to_owned(),
    };
    let (name, allowed, help) = (spec.name, spec.kind.allowed(), spec.help);
    format!("| `{name}` | {allowed} | {default} | {help} |")
}

#[test]
fn settings_page_lists_every_field() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../docs/SETTINGS.md");
    let text = fs::read_to_string(path).expect("the page can be read");
    let rows: Vec<&str> = text
        .lines()
        .filter(|line| line.starts_with("| `"))
        .collect();
    let specs = DAEMON_FIELDS
        .iter()
        .chain(RELAY_FIELDS)
        .chain(POLICY_FIELDS);
    let expected: Vec<String> = specs.map(row).collect();
    assert_eq!(
        rows.join("\n"),
        expected.join("\n"),
        "docs/SETTINGS.md lists all fields as described in the code"
    );
}
