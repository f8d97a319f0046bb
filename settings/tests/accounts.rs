//! Values in effect for accounts, and the origin of each value.

use std::time::Duration;

use yuccalift_core::{RepeatPolicy, Urgency};
use yuccalift_settings::{FieldOrigin, parse_accounts, resolve_accounts};

const DOCUMENT: &str = "\
templates:
  race:
    collections: [tags, flocks]
    urgency: urgent
    deadline: 50ms
    patience: 20ms
    repeat: hedge
accounts:
  vets:
    template: race
    deadline: 80ms
  farms:
    template: race
    repeat: never
";

#[test]
fn account_overrides_template_fields() {
    let table = parse_accounts("accounts.yaml", DOCUMENT, 7).expect("the document is valid");
    assert_eq!(table.version, 7, "the table has the version passed in");
    let vets = table.find("vets").expect("the account is in the document");
    assert_eq!(
        vets.deadline,
        Duration::from_millis(80),
        "the account overrides the deadline"
    );
    assert_eq!(
        vets.patience,
        Duration::from_millis(20),
        "the patience comes from the template"
    );
    assert_eq!(
        vets.urgency,
        Urgency::Urgent,
        "the urgency comes from the template"
    );
    assert_eq!(
        vets.collections.join(" "),
        "flocks tags",
        "collections are sorted"
    );
    assert!(
        (vets.hedge_share - 0.05).abs() < 1e-9,
        "accounts that hedge have a default hedge share"
    );
    let farms = table.find("farms").expect("the account is in the document");
    assert_eq!(
        farms.repeat,
        RepeatPolicy::Never,
        "the account overrides the repeat policy"
    );
    assert!(
        farms.hedge_share + farms.retry_share < 1e-9,
        "accounts that never repeat have no hedge or retry share"
    );
}

#[test]
fn explanation_reports_origin_of_each_field() {
    let resolved = resolve_accounts("accounts.yaml", DOCUMENT, 1).expect("the document is valid");
    let vets = resolved
        .explanation("vets")
        .expect("the account is in the document");
    let origin = |name: &str| {
        let field = vets.fields.iter().find(|field| field.name == name);
        field.expect("every field is explained").origin.clone()
    };
    assert_eq!(origin("deadline"), FieldOrigin::Account { line: 11 });
    let template = "race".into();
    assert_eq!(
        origin("patience"),
        FieldOrigin::Template { template, line: 6 }
    );
    assert_eq!(origin("weight"), FieldOrigin::Default);
    assert!(matches!(origin("hedge_share"), FieldOrigin::Derived(_)));
}
