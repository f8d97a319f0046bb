//! Field tables of templates and accounts.

use std::time::Duration;

use crate::field::{FieldDefault, FieldKind, FieldSpec};

pub(super) const TEMPLATES: &str = "templates";
pub(super) const ACCOUNTS: &str = "accounts";
pub(super) const TEMPLATE: &str = "template";
pub(super) const COLLECTIONS: &str = "collections";
pub(super) const URGENCY: &str = "urgency";
pub(super) const PATIENCE: &str = "patience";
pub(super) const DEADLINE: &str = "deadline";
pub(super) const REPEAT: &str = "repeat";
pub(super) const HEDGE_SHARE: &str = "hedge_share";
pub(super) const RETRY_SHARE: &str = "retry_share";
pub(super) const WEIGHT: &str = "weight";
pub(super) const QUEUE_LIMIT: &str = "queue_limit";

const URGENCIES: &[&str] = &["urgent", "normal", "patient"];
const REPEATS: &[&str] = &["never", "retry", "hedge"];

/// Maximum deadline and patience; work may wait until the next morning.
const MAX_WAIT: Duration = Duration::from_secs(24 * 3600);

/// The fields of a template; an account may override each of them.
pub const POLICY_FIELDS: &[FieldSpec] = &[
    FieldSpec {
        name: COLLECTIONS,
        kind: FieldKind::NameList,
        default: FieldDefault::Required,
        help: "collections that the account may query",
    },
    FieldSpec {
        name: URGENCY,
        kind: FieldKind::Choice(URGENCIES),
        default: FieldDefault::Value("normal"),
        help: "priority class of the account's requests",
    },
    FieldSpec {
        name: PATIENCE,
        kind: FieldKind::Duration {
            min: Duration::ZERO,
            max: MAX_WAIT,
        },
        default: FieldDefault::Derived("the deadline"),
        help: "maximum time that a request may wait before it is first sent",
    },
    FieldSpec {
        name: DEADLINE,
        kind: FieldKind::Duration {
            min: Duration::from_millis(1),
            max: MAX_WAIT,
        },
        default: FieldDefault::Value("10s"),
        help: "maximum time that a request may take",
    },
    FieldSpec {
        name: REPEAT,
        kind: FieldKind::Choice(REPEATS),
        default: FieldDefault::Value("never"),
        help: "never: non-idempotent, runs at most once; retry: idempotent, may be retried; hedge: may also be hedged",
    },
    FieldSpec {
        name: HEDGE_SHARE,
        kind: FieldKind::Number {
            min: 0.0,
            max: 0.25,
        },
        default: FieldDefault::Derived("0.05 with `repeat: hedge`, otherwise 0"),
        help: "fraction of shard requests that may be hedged",
    },
    FieldSpec {
        name: RETRY_SHARE,
        kind: FieldKind::Number { min: 0.0, max: 0.5 },
        default: FieldDefault::Derived("0 with `repeat: never`, otherwise 0.1"),
        help: "fraction of shard requests that may be retried",
    },
    FieldSpec {
        name: WEIGHT,
        kind: FieldKind::Integer { min: 1, max: 1000 },
        default: FieldDefault::Value("1"),
        help: "weight of the account when capacity is divided within its class",
    },
    FieldSpec {
        name: QUEUE_LIMIT,
        kind: FieldKind::Integer {
            min: 1,
            max: 100_000,
        },
        default: FieldDefault::Value("1000"),
        help: "maximum number of requests that may wait at one daemon",
    },
];

/// The field with which an account names its template.
pub(super) const TEMPLATE_FIELD: FieldSpec = FieldSpec {
    name: TEMPLATE,
    kind: FieldKind::Name,
    default: FieldDefault::Required,
    help: "template that the account is based on",
};
