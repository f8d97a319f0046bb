//! Parses the document of templates and accounts, and resolves each account once.

use yuccalift_core::ids::ConfigVersion;
use yuccalift_core::{AccountPolicy, AccountTable};

use super::fields::{ACCOUNTS, COLLECTIONS, POLICY_FIELDS, TEMPLATE, TEMPLATE_FIELD, TEMPLATES};
use super::layers::FieldLayers;
use super::origin::{AccountExplanation, ResolvedAccounts};
use super::rules::check_contradictions;
use crate::document::{MappingEntry, NodeValue, join_path, load_mapping, quote};
use crate::error::{ErrorList, SettingsErrors};
use crate::field::{FieldKind, FieldSpec, FieldValue};
use crate::reader::ExplicitFields;
use crate::value::{is_name, name_rule};

/// Parses and validates the document of templates and accounts.
///
/// # Errors
///
/// All errors in the document, each with its line.
pub fn parse_accounts(
    file_name: &str,
    text: &str,
    version: ConfigVersion,
) -> Result<AccountTable, SettingsErrors> {
    resolve_accounts(file_name, text, version).map(|resolved| resolved.table)
}

/// Parses and validates the document of templates and accounts, recording where each value came
/// from.
///
/// # Errors
///
/// All errors in the document, each with its line.
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
    let templates = parse_templates(section(&entries, TEMPLATES), &mut errors);
    let accounts = section(&entries, ACCOUNTS);
    let mut policies = Vec::with_capacity(accounts.len());
    let mut explanations = Vec::with_capacity(accounts.len());
    for entry in accounts {
        if let Some((policy, explanation)) = parse_account(entry, &templates, &mut errors) {
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

/// A template with the fields that the document sets.
struct NamedTemplate {
    name: Box<str>,
    explicit: ExplicitFields,
}

fn check_sections(entries: &[MappingEntry], errors: &mut ErrorList) {
    for entry in entries {
        let is_known = matches!(entry.key.as_ref(), TEMPLATES | ACCOUNTS);
        if !is_known {
            let found = format!("the unknown field {}", quote(&entry.key));
            errors.add(
                entry.line,
                &entry.key,
                found,
                format!("{TEMPLATES}, {ACCOUNTS}"),
            );
        } else if !matches!(entry.node.value, NodeValue::Mapping(_)) {
            let found = entry.node.value.describe();
            errors.add(
                entry.line,
                &entry.key,
                found,
                "a mapping with names as keys",
            );
        }
    }
    for name in [TEMPLATES, ACCOUNTS] {
        if !entries.iter().any(|entry| entry.key.as_ref() == name) {
            errors.add(1, name, "nothing", "a mapping with names as keys");
        }
    }
}

/// Returns the entries of a section; empty if it is absent or not a mapping, which
/// `check_sections` reports.
fn section<'a>(entries: &'a [MappingEntry], name: &str) -> &'a [MappingEntry] {
    let entry = entries.iter().find(|entry| entry.key.as_ref() == name);
    match entry.map(|entry| &entry.node.value) {
        Some(NodeValue::Mapping(children)) => children,
        _ => &[],
    }
}

/// Returns the mapping of a named entry. Errors in the name or the mapping are added to `errors`.
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

fn parse_templates(entries: &[MappingEntry], errors: &mut ErrorList) -> Vec<NamedTemplate> {
    let mut templates: Vec<NamedTemplate> = Vec::with_capacity(entries.len());
    for entry in entries {
        let path = join_path(TEMPLATES, &entry.key);
        let children = named_mapping(entry, &path, errors).unwrap_or_default();
        let explicit = ExplicitFields::read(children, POLICY_FIELDS, &path, errors);
        let layers = FieldLayers {
            account: None,
            template: Some((&entry.key, &explicit)),
        };
        check_contradictions(&layers, errors);
        let name = entry.key.clone();
        let position = templates.binary_search_by(|template| template.name.cmp(&name));
        if let Err(position) = position {
            templates.insert(position, NamedTemplate { name, explicit });
        }
    }
    templates
}

fn parse_account(
    entry: &MappingEntry,
    templates: &[NamedTemplate],
    errors: &mut ErrorList,
) -> Option<(AccountPolicy, AccountExplanation)> {
    let path = join_path(ACCOUNTS, &entry.key);
    let children = named_mapping(entry, &path, errors)?;
    let specs = account_fields();
    let explicit = ExplicitFields::read(children, &specs, &path, errors);
    let template = find_template(entry, &explicit, &path, templates, errors)?;
    let layers = FieldLayers {
        account: Some((&entry.key, &explicit)),
        template: Some((&template.name, &template.explicit)),
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
    explicit: &ExplicitFields,
    path: &str,
    templates: &'a [NamedTemplate],
    errors: &mut ErrorList,
) -> Option<&'a NamedTemplate> {
    let path = join_path(path, TEMPLATE);
    let Some(field) = explicit.find(TEMPLATE) else {
        errors.add(entry.line, &path, "nothing", "the name of a template");
        return None;
    };
    let Some(FieldValue::Text(name)) = &field.value else {
        return None;
    };
    let position = templates.binary_search_by(|template| template.name.cmp(name));
    if position.is_err() {
        let found = format!("the unknown template {}", quote(name));
        errors.add(field.line, &path, found, template_names(templates));
    }
    templates.get(position.ok()?)
}

fn template_names(templates: &[NamedTemplate]) -> String {
    let names: Vec<&str> = templates
        .iter()
        .map(|template| template.name.as_ref())
        .collect();
    format!("one of {}", names.join(", "))
}
