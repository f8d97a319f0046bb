//! Reads the document of templates and client accounts that the platform publishes.
//!
//! An account names its template and may override any of the template's fields. What is in force is
//! resolved here, once, with the origin of each value. See `docs/OPERATIONS.md`, "Accounts".

use std::fmt;
use std::time::Duration;

use yuccalift_core::ids::{AccountName, ConfigVersion};
use yuccalift_core::{AccountPolicy, AccountTable, RepeatPolicy, Urgency};

use crate::account_rules::check_contradictions;
use crate::document::{MappingEntry, NodeValue, join_path, load_mapping, quote};
use crate::error::{ErrorList, SettingsErrors};
use crate::field::{FieldDefault, FieldKind, FieldSpec, FieldValue};
use crate::reader::{GivenField, GivenFields, default_value};
use crate::value::{is_name, name_rule};

const TEMPLATES: &str = "templates";
const ACCOUNTS: &str = "accounts";
const TEMPLATE: &str = "template";
pub(crate) const COLLECTIONS: &str = "collections";
pub(crate) const URGENCY: &str = "urgency";
pub(crate) const PATIENCE: &str = "patience";
pub(crate) const DEADLINE: &str = "deadline";
pub(crate) const REPEAT: &str = "repeat";
pub(crate) const HEDGE_SHARE: &str = "hedge_share";
pub(crate) const RETRY_SHARE: &str = "retry_share";
const WEIGHT: &str = "weight";
const QUEUE_LIMIT: &str = "queue_limit";

const URGENCIES: &[&str] = &["urgent", "normal", "patient"];
const REPEATS: &[&str] = &["never", "retry", "hedge"];

/// The longest deadline and patience; work may wait until the next morning.
const MAX_WAIT: Duration = Duration::from_secs(24 * 3600);
/// The hedge share of accounts that hedge and do not say how much.
const DEFAULT_HEDGE_SHARE: f64 = 0.05;
/// The retry share of accounts that retry and do not say how much.
const DEFAULT_RETRY_SHARE: f64 = 0.1;

/// The fields of a template; an account may override each of them.
pub const POLICY_FIELDS: &[FieldSpec] = &[
    FieldSpec {
        name: COLLECTIONS,
        kind: FieldKind::NameList,
        default: FieldDefault::Required,
        help: "the collections that the account may ask",
    },
    FieldSpec {
        name: URGENCY,
        kind: FieldKind::Choice(URGENCIES),
        default: FieldDefault::Value("normal"),
        help: "which class the account is served in",
    },
    FieldSpec {
        name: PATIENCE,
        kind: FieldKind::Duration {
            min: Duration::ZERO,
            max: MAX_WAIT,
        },
        default: FieldDefault::Derived("the deadline"),
        help: "how long a request may wait before its first send",
    },
    FieldSpec {
        name: DEADLINE,
        kind: FieldKind::Duration {
            min: Duration::from_millis(1),
            max: MAX_WAIT,
        },
        default: FieldDefault::Value("10s"),
        help: "the longest time that a request may take",
    },
    FieldSpec {
        name: REPEAT,
        kind: FieldKind::Choice(REPEATS),
        default: FieldDefault::Value("never"),
        help: "never: non-idempotent, at most once; retry: idempotent; hedge: retry, and hedge too",
    },
    FieldSpec {
        name: HEDGE_SHARE,
        kind: FieldKind::Share { max: 0.25 },
        default: FieldDefault::Derived("0.05 with `repeat: hedge`, otherwise 0"),
        help: "the share of shard requests that may be hedged",
    },
    FieldSpec {
        name: RETRY_SHARE,
        kind: FieldKind::Share { max: 0.5 },
        default: FieldDefault::Derived("0 with `repeat: never`, otherwise 0.1"),
        help: "the share of shard requests that may be retried",
    },
    FieldSpec {
        name: WEIGHT,
        kind: FieldKind::Integer { min: 1, max: 1000 },
        default: FieldDefault::Value("1"),
        help: "the account's share of the capacity against others of its class",
    },
    FieldSpec {
        name: QUEUE_LIMIT,
        kind: FieldKind::Integer {
            min: 1,
            max: 100_000,
        },
        default: FieldDefault::Value("1000"),
        help: "how many requests may wait at one daemon",
    },
];

const TEMPLATE_FIELD: FieldSpec = FieldSpec {
    name: TEMPLATE,
    kind: FieldKind::Name,
    default: FieldDefault::Required,
    help: "the template that the account is made from",
};

/// Where a value in force came from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FieldOrigin {
    /// The account gives it on this line.
    Account {
        /// The line.
        line: usize,
    },
    /// The account's template gives it on this line.
    Template {
        /// The template.
        template: Box<str>,
        /// The line.
        line: usize,
    },
    /// Neither gives it.
    Default,
    /// Neither gives it, and it follows from other fields as these words say.
    Derived(&'static str),
}

impl fmt::Display for FieldOrigin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Account { line } => write!(f, "account, line {line}"),
            Self::Template { template, line } => write!(f, "template {template}, line {line}"),
            Self::Default => f.write_str("default"),
            Self::Derived(rule) => write!(f, "default: {rule}"),
        }
    }
}

/// A value in force and where it came from.
#[derive(Clone, Debug, PartialEq)]
pub struct ResolvedField {
    /// The field.
    pub name: &'static str,
    /// What is in force.
    pub value: FieldValue,
    /// Where it came from.
    pub origin: FieldOrigin,
}

/// What is in force for one account, field by field in the order of [`POLICY_FIELDS`].
#[derive(Clone, Debug, PartialEq)]
pub struct AccountExplanation {
    /// The account.
    pub account: AccountName,
    /// Its template.
    pub template: Box<str>,
    /// Its fields.
    pub fields: Vec<ResolvedField>,
}

/// The accounts in force, with the origin of each value.
#[derive(Clone, Debug, PartialEq)]
pub struct ResolvedAccounts {
    /// What the engine goes by.
    pub table: AccountTable,
    /// The origins, sorted by account.
    pub explanations: Vec<AccountExplanation>,
}

impl ResolvedAccounts {
    /// The explanation of an account, if the document has it.
    pub fn explanation(&self, account: &str) -> Option<&AccountExplanation> {
        let position = self
            .explanations
            .binary_search_by(|known| known.account.as_ref().cmp(account))
            .ok()?;
        self.explanations.get(position)
    }
}

/// Reads and checks the document of templates and accounts.
///
/// # Errors
///
/// Every fault of the document, each with its line.
pub fn parse_accounts(
    file_name: &str,
    text: &str,
    version: ConfigVersion,
) -> Result<AccountTable, SettingsErrors> {
    resolve_accounts(file_name, text, version).map(|resolved| resolved.table)
}

/// Reads and checks the document of templates and accounts, and keeps where each value came from.
///
/// # Errors
///
/// Every fault of the document, each with its line.
pub fn resolve_accounts(
    file_name: &str,
    text: &str,
    version: ConfigVersion,
) -> Result<ResolvedAccounts, SettingsErrors> {
    let mut errors = ErrorList::new(file_name);
    let Some(entries) = load_mapping(text, &mut errors) else {
        return errors.finish(None);
    };
    check_sections(&entries, &mut errors);
    let templates = read_templates(section(&entries, TEMPLATES), &mut errors);
    let accounts = section(&entries, ACCOUNTS);
    let mut policies = Vec::with_capacity(accounts.len());
    let mut explanations = Vec::with_capacity(accounts.len());
    for entry in accounts {
        if let Some((policy, explanation)) = read_account(entry, &templates, &mut errors) {
            policies.push(policy);
            explanations.push(explanation);
        }
    }
    explanations.sort_by(|left, right| left.account.cmp(&right.account));
    errors.finish(Some(ResolvedAccounts {
        table: AccountTable::new(version, policies),
        explanations,
    }))
}

/// A template as the document gives it.
struct NamedTemplate {
    name: Box<str>,
    given: GivenFields,
}

/// A field that an account or its template gives, and which of them does.
pub(crate) struct LayeredField<'a> {
    pub(crate) path: Box<str>,
    pub(crate) field: &'a GivenField,
    origin: FieldOrigin,
}

/// The fields of an account over those of its template, or of a template alone.
pub(crate) struct FieldLayers<'a> {
    account: Option<(&'a str, &'a GivenFields)>,
    template: Option<(&'a str, &'a GivenFields)>,
}

impl<'a> FieldLayers<'a> {
    /// The field that is in force, if either gives it.
    pub(crate) fn find(&self, name: &str) -> Option<LayeredField<'a>> {
        if let Some((account, given)) = self.account
            && let Some(field) = given.find(name)
        {
            return Some(LayeredField {
                path: format!("{ACCOUNTS}.{account}.{name}").into(),
                field,
                origin: FieldOrigin::Account { line: field.line },
            });
        }
        let (template, given) = self.template?;
        let field = given.find(name)?;
        Some(LayeredField {
            path: format!("{TEMPLATES}.{template}.{name}").into(),
            field,
            origin: FieldOrigin::Template {
                template: template.into(),
                line: field.line,
            },
        })
    }

    /// Whether this is an account, for which defaults count as well.
    pub(crate) fn is_account(&self) -> bool {
        self.account.is_some()
    }

    /// The value in force; none if it is absent or at fault.
    pub(crate) fn value(&self, name: &str) -> Option<FieldValue> {
        self.resolve(POLICY_FIELDS.iter().find(|spec| spec.name == name)?)
            .map(|field| field.value)
    }

    fn resolve(&self, spec: &FieldSpec) -> Option<ResolvedField> {
        let name = spec.name;
        if let Some(layered) = self.find(name) {
            return Some(ResolvedField {
                name,
                value: layered.field.value.clone()?,
                origin: layered.origin,
            });
        }
        let (value, origin) = match spec.default {
            FieldDefault::Derived(rule) => (self.derive(name)?, FieldOrigin::Derived(rule)),
            _ => (default_value(spec)?, FieldOrigin::Default),
        };
        Some(ResolvedField {
            name,
            value,
            origin,
        })
    }

    /// The defaults that follow from other fields.
    fn derive(&self, name: &str) -> Option<FieldValue> {
        match name {
            PATIENCE => self.value(DEADLINE),
            HEDGE_SHARE => Some(FieldValue::Share(match self.repeat()? {
                RepeatPolicy::Hedge => DEFAULT_HEDGE_SHARE,
                RepeatPolicy::Never | RepeatPolicy::Retry => 0.0,
            })),
            RETRY_SHARE => Some(FieldValue::Share(match self.repeat()? {
                RepeatPolicy::Never => 0.0,
                RepeatPolicy::Retry | RepeatPolicy::Hedge => DEFAULT_RETRY_SHARE,
            })),
            _ => None,
        }
    }

    fn text(&self, name: &str) -> Option<Box<str>> {
        match self.value(name)? {
            FieldValue::Text(text) => Some(text),
            _ => None,
        }
    }

    /// The duration in force.
    pub(crate) fn duration(&self, name: &str) -> Option<Duration> {
        match self.value(name)? {
            FieldValue::Duration(duration) => Some(duration),
            _ => None,
        }
    }

    /// The share in force.
    pub(crate) fn share(&self, name: &str) -> Option<f64> {
        match self.value(name)? {
            FieldValue::Share(share) => Some(share),
            _ => None,
        }
    }

    fn integer(&self, name: &str) -> Option<u32> {
        match self.value(name)? {
            FieldValue::Integer(number) => u32::try_from(number).ok(),
            _ => None,
        }
    }

    /// The urgency in force.
    pub(crate) fn urgency(&self) -> Option<Urgency> {
        match self.text(URGENCY)?.as_ref() {
            "urgent" => Some(Urgency::Urgent),
            "normal" => Some(Urgency::Normal),
            "patient" => Some(Urgency::Patient),
            _ => None,
        }
    }

    /// The repeat policy in force.
    pub(crate) fn repeat(&self) -> Option<RepeatPolicy> {
        match self.text(REPEAT)?.as_ref() {
            "never" => Some(RepeatPolicy::Never),
            "retry" => Some(RepeatPolicy::Retry),
            "hedge" => Some(RepeatPolicy::Hedge),
            _ => None,
        }
    }

    fn policy(&self, account: &str, template: &str) -> Option<AccountPolicy> {
        let Some(FieldValue::Names(collections)) = self.value(COLLECTIONS) else {
            return None;
        };
        Some(AccountPolicy {
            account: account.into(),
            template: template.into(),
            collections,
            urgency: self.urgency()?,
            patience: self.duration(PATIENCE)?,
            deadline: self.duration(DEADLINE)?,
            repeat: self.repeat()?,
            hedge_share: self.share(HEDGE_SHARE)?,
            retry_share: self.share(RETRY_SHARE)?,
            weight: self.integer(WEIGHT)?,
            queue_limit: self.integer(QUEUE_LIMIT)?,
        })
    }
}

fn check_sections(entries: &[MappingEntry], errors: &mut ErrorList) {
    for entry in entries {
        let known = matches!(entry.key.as_ref(), TEMPLATES | ACCOUNTS);
        if !known {
            let found = format!("the unknown field {}", quote(&entry.key));
            errors.add(
                entry.line,
                &entry.key,
                found,
                format!("{TEMPLATES}, {ACCOUNTS}"),
            );
        } else if !matches!(entry.node.value, NodeValue::Mapping(_)) {
            let found = entry.node.value.describe();
            errors.add(entry.line, &entry.key, found, "a mapping from names");
        }
    }
    for name in [TEMPLATES, ACCOUNTS] {
        if !entries.iter().any(|entry| entry.key.as_ref() == name) {
            errors.add(1, name, "nothing", "a mapping from names");
        }
    }
}

/// The entries of a section; empty where it is absent or no mapping, which is a fault of its own.
fn section<'a>(entries: &'a [MappingEntry], name: &str) -> &'a [MappingEntry] {
    let entry = entries.iter().find(|entry| entry.key.as_ref() == name);
    match entry.map(|entry| &entry.node.value) {
        Some(NodeValue::Mapping(children)) => children,
        _ => &[],
    }
}

/// The mapping of a named entry; faults of the name and of the mapping go to `errors`.
fn named_mapping<'a>(
    entry: &'a MappingEntry,
    path: &str,
    errors: &mut ErrorList,
) -> Option<&'a [MappingEntry]> {
    if !is_name(&entry.key) {
        errors.add(
            entry.line,
            path,
            format!("the name {}", quote(&entry.key)),
            name_rule(),
        );
    }
    match &entry.node.value {
        NodeValue::Mapping(children) => Some(children),
        other => {
            errors.add(entry.line, path, other.describe(), "a mapping of fields");
            None
        }
    }
}

fn read_templates(entries: &[MappingEntry], errors: &mut ErrorList) -> Vec<NamedTemplate> {
    let mut templates: Vec<NamedTemplate> = Vec::with_capacity(entries.len());
    for entry in entries {
        let path = join_path(TEMPLATES, &entry.key);
        let children = named_mapping(entry, &path, errors).unwrap_or_default();
        let given = GivenFields::read(children, POLICY_FIELDS, &path, errors);
        let layers = FieldLayers {
            account: None,
            template: Some((&entry.key, &given)),
        };
        check_contradictions(&layers, errors);
        let name = entry.key.clone();
        let position = templates.binary_search_by(|known| known.name.cmp(&name));
        if let Err(position) = position {
            templates.insert(position, NamedTemplate { name, given });
        }
    }
    templates
}

fn read_account(
    entry: &MappingEntry,
    templates: &[NamedTemplate],
    errors: &mut ErrorList,
) -> Option<(AccountPolicy, AccountExplanation)> {
    let path = join_path(ACCOUNTS, &entry.key);
    let children = named_mapping(entry, &path, errors)?;
    let specs = account_fields();
    let given = GivenFields::read(children, &specs, &path, errors);
    let template = find_template(entry, &given, &path, templates, errors)?;
    let layers = FieldLayers {
        account: Some((&entry.key, &given)),
        template: Some((&template.name, &template.given)),
    };
    if layers.find(COLLECTIONS).is_none() {
        let allowed = FieldKind::NameList.allowed();
        errors.add(
            entry.line,
            &join_path(&path, COLLECTIONS),
            "nothing",
            allowed,
        );
    }
    check_contradictions(&layers, errors);
    let policy = layers.policy(&entry.key, &template.name)?;
    let explanation = AccountExplanation {
        account: entry.key.clone(),
        template: template.name.clone(),
        fields: POLICY_FIELDS
            .iter()
            .filter_map(|spec| layers.resolve(spec))
            .collect(),
    };
    Some((policy, explanation))
}

fn account_fields() -> Vec<FieldSpec> {
    std::iter::once(TEMPLATE_FIELD)
        .chain(POLICY_FIELDS.iter().copied())
        .collect()
}

fn find_template<'a>(
    entry: &MappingEntry,
    given: &GivenFields,
    path: &str,
    templates: &'a [NamedTemplate],
    errors: &mut ErrorList,
) -> Option<&'a NamedTemplate> {
    let path = join_path(path, TEMPLATE);
    let Some(field) = given.find(TEMPLATE) else {
        errors.add(entry.line, &path, "nothing", "the name of a template");
        return None;
    };
    let Some(FieldValue::Text(name)) = &field.value else {
        return None;
    };
    let position = templates.binary_search_by(|known| known.name.cmp(name));
    if position.is_err() {
        let found = format!("the unknown template {}", quote(name));
        errors.add(field.line, &path, found, template_names(templates));
    }
    templates.get(position.ok()?)
}

fn template_names(templates: &[NamedTemplate]) -> String {
    let names: Vec<&str> = templates.iter().map(|known| known.name.as_ref()).collect();
    format!("one of {}", names.join(", "))
}
