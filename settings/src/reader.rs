//! Reads the fields of a mapping by a table of [`FieldSpec`]s.

use std::net::SocketAddr;
use std::time::Duration;

use crate::document::{MappingEntry, NodeValue, join_path, load_mapping, quote};
use crate::error::{ErrorList, SettingsErrors};
use crate::field::{FieldDefault, FieldSpec, FieldValue};

/// One field that a document gives.
#[derive(Clone, Debug)]
pub(crate) struct GivenField {
    /// The field's name in the table.
    pub(crate) name: &'static str,
    /// Its line.
    pub(crate) line: usize,
    /// Its value; none if a fault was found in it.
    pub(crate) value: Option<FieldValue>,
}

/// The fields that a mapping gives, sorted by name.
#[derive(Clone, Debug, Default)]
pub(crate) struct GivenFields {
    fields: Vec<GivenField>,
}

impl GivenFields {
    /// Reads a mapping; every fault goes to `errors`, with `path` before the field's name.
    pub(crate) fn read(
        entries: &[MappingEntry],
        specs: &[FieldSpec],
        path: &str,
        errors: &mut ErrorList,
    ) -> Self {
        let mut given = Self::default();
        given.read_section(entries, "", specs, path, errors);
        given
    }

    fn read_section(
        &mut self,
        entries: &[MappingEntry],
        section: &str,
        specs: &[FieldSpec],
        path: &str,
        errors: &mut ErrorList,
    ) {
        for entry in entries {
            let name = join_path(section, &entry.key);
            let full_path = join_path(path, &name);
            if let Some(spec) = specs.iter().find(|spec| spec.name == name.as_ref()) {
                self.read_field(entry, spec, &full_path, errors);
            } else if is_section(&name, specs) {
                match &entry.node.value {
                    NodeValue::Mapping(children) => {
                        self.read_section(children, &name, specs, path, errors);
                    }
                    other => errors.add(entry.line, &full_path, other.describe(), "a mapping"),
                }
            } else {
                let found = format!("the unknown field {}", quote(&entry.key));
                errors.add(entry.line, &full_path, found, field_names(section, specs));
            }
        }
    }

    fn read_field(
        &mut self,
        entry: &MappingEntry,
        spec: &FieldSpec,
        path: &str,
        errors: &mut ErrorList,
    ) {
        let value = match spec.kind.read(&entry.node) {
            Ok(value) => Some(value),
            Err(fault) => {
                errors.add(fault.line, path, fault.found, spec.kind.allowed());
                None
            }
        };
        // A name that stands twice is a fault of its own; its first value stands.
        if let Err(position) = self.position(spec.name) {
            let field = GivenField {
                name: spec.name,
                line: entry.line,
                value,
            };
            self.fields.insert(position, field);
        }
    }

    fn position(&self, name: &str) -> Result<usize, usize> {
        self.fields.binary_search_by(|field| field.name.cmp(name))
    }

    /// The field of that name, if the mapping gives it.
    pub(crate) fn find(&self, name: &str) -> Option<&GivenField> {
        self.fields.get(self.position(name).ok()?)
    }

    /// Adds a fault for each required field that is absent.
    pub(crate) fn check_required(&self, specs: &[FieldSpec], line: usize, errors: &mut ErrorList) {
        for spec in specs {
            if spec.default == FieldDefault::Required && self.find(spec.name).is_none() {
                errors.add(line, spec.name, "nothing", spec.kind.allowed());
            }
        }
    }
}

/// The values in force of one document without templates: those given, and the defaults.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FieldReader<'a> {
    /// The table of the document.
    pub(crate) specs: &'a [FieldSpec],
    /// What the document gives.
    pub(crate) given: &'a GivenFields,
}

impl FieldReader<'_> {
    /// The value of a field; none if it is absent, has no default, or is at fault.
    pub(crate) fn value(&self, name: &str) -> Option<FieldValue> {
        if let Some(field) = self.given.find(name) {
            return field.value.clone();
        }
        let spec = self.specs.iter().find(|spec| spec.name == name)?;
        default_value(spec)
    }

    /// The value of a text, name or choice.
    pub(crate) fn text(&self, name: &str) -> Option<Box<str>> {
        match self.value(name)? {
            FieldValue::Text(text) => Some(text),
            _ => None,
        }
    }

    /// The value of a duration.
    pub(crate) fn duration(&self, name: &str) -> Option<Duration> {
        match self.value(name)? {
            FieldValue::Duration(duration) => Some(duration),
            _ => None,
        }
    }

    /// The value of a whole number.
    pub(crate) fn integer(&self, name: &str) -> Option<u64> {
        match self.value(name)? {
            FieldValue::Integer(number) => Some(number),
            _ => None,
        }
    }

    /// The value of a share.
    pub(crate) fn share(&self, name: &str) -> Option<f64> {
        match self.value(name)? {
            FieldValue::Share(share) => Some(share),
            _ => None,
        }
    }

    /// The value of an address.
    pub(crate) fn address(&self, name: &str) -> Option<SocketAddr> {
        match self.value(name)? {
            FieldValue::Address(address) => Some(address),
            _ => None,
        }
    }

    /// The value of a list of addresses; empty if it is absent.
    pub(crate) fn addresses(&self, name: &str) -> Vec<SocketAddr> {
        match self.value(name) {
            Some(FieldValue::Addresses(addresses)) => addresses,
            _ => Vec::new(),
        }
    }
}

/// Reads a document without templates by its table, and makes what it sets of it.
///
/// # Errors
///
/// Every fault of the document, each with its line.
pub(crate) fn read_document<T>(
    file_name: &str,
    text: &str,
    specs: &'static [FieldSpec],
    assemble: impl FnOnce(FieldReader<'_>, &mut ErrorList) -> Option<T>,
) -> Result<T, SettingsErrors> {
    let mut errors = ErrorList::new(file_name);
    let Some(entries) = load_mapping(text, &mut errors) else {
        return errors.finish(None);
    };
    let given = GivenFields::read(&entries, specs, "", &mut errors);
    given.check_required(specs, 1, &mut errors);
    let reader = FieldReader {
        specs,
        given: &given,
    };
    let made = assemble(reader, &mut errors);
    errors.finish(made)
}

/// The default of a field that does not follow from others.
pub(crate) fn default_value(spec: &FieldSpec) -> Option<FieldValue> {
    match spec.default {
        FieldDefault::Value(text) => spec.kind.read_scalar(text),
        FieldDefault::Required | FieldDefault::Absent | FieldDefault::Derived(_) => None,
    }
}

fn is_section(name: &str, specs: &[FieldSpec]) -> bool {
    specs
        .iter()
        .filter_map(|spec| spec.name.strip_prefix(name))
        .any(|rest| rest.starts_with('.'))
}

/// The names that may stand in a section, in the table's order.
fn field_names(section: &str, specs: &[FieldSpec]) -> String {
    let mut names: Vec<&str> = Vec::new();
    for spec in specs {
        let below = match section {
            "" => Some(spec.name),
            _ => spec
                .name
                .strip_prefix(section)
                .and_then(|rest| rest.strip_prefix('.')),
        };
        let Some(name) = below.and_then(|name| name.split('.').next()) else {
            continue;
        };
        if !names.contains(&name) {
            names.push(name);
        }
    }
    names.join(", ")
}
