//! Reads the fields of a mapping as described by a table of [`FieldSpec`]s.

use std::net::SocketAddr;
use std::time::Duration;

use crate::document::{MappingEntry, NodeValue, join_path, load_mapping, quote};
use crate::error::{ErrorList, SettingsErrors};
use crate::field::{FieldDefault, FieldSpec, FieldValue};

/// A field that is set in a document.
#[derive(Clone, Debug)]
pub(crate) struct ExplicitField {
    /// Name of the field in the table.
    pub(crate) name: &'static str,
    /// Line of the field in the document.
    pub(crate) line: usize,
    /// Parsed value; none if it is invalid.
    pub(crate) value: Option<FieldValue>,
}

/// The fields that are set in a mapping, sorted by name.
#[derive(Clone, Debug, Default)]
pub(crate) struct ExplicitFields {
    fields: Vec<ExplicitField>,
}

impl ExplicitFields {
    /// Reads a mapping. Errors are added to `errors`, with `path` as a prefix of the field name.
    pub(crate) fn read(
        entries: &[MappingEntry],
        specs: &[FieldSpec],
        path: &str,
        errors: &mut ErrorList,
    ) -> Self {
        let mut explicit = Self::default();
        explicit.read_section(entries, "", specs, path, errors);
        explicit
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
            Err(error) => {
                errors.add(error.line, path, error.found, spec.kind.allowed());
                None
            }
        };
        // A duplicate field is reported by `load_mapping`; its first value is kept.
        if let Err(position) = self.position(spec.name) {
            let field = ExplicitField {
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

    /// Returns the field `name` if the mapping sets it.
    pub(crate) fn find(&self, name: &str) -> Option<&ExplicitField> {
        self.fields.get(self.position(name).ok()?)
    }

    /// Adds an error for each required field that the mapping does not set.
    pub(crate) fn check_required(&self, specs: &[FieldSpec], line: usize, errors: &mut ErrorList) {
        for spec in specs {
            if spec.default == FieldDefault::Required && self.find(spec.name).is_none() {
                errors.add(line, spec.name, "nothing", spec.kind.allowed());
            }
        }
    }
}

/// The values in effect for a document without templates: its explicit fields and the defaults.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FieldReader<'a> {
    /// Field table of the document.
    pub(crate) specs: &'a [FieldSpec],
    /// Fields that the document sets.
    pub(crate) explicit: &'a ExplicitFields,
}

impl FieldReader<'_> {
    /// Returns the value of a field; none if the field is invalid, or absent without a default.
    pub(crate) fn value(&self, name: &str) -> Option<FieldValue> {
        if let Some(field) = self.explicit.find(name) {
            return field.value.clone();
        }
        let spec = self.specs.iter().find(|spec| spec.name == name)?;
        default_value(spec)
    }

    /// Returns the value of a text, name or choice field.
    pub(crate) fn text(&self, name: &str) -> Option<Box<str>> {
        match self.value(name)? {
            FieldValue::Text(text) => Some(text),
            _ => None,
        }
    }

    /// Returns the value of a duration field.
    pub(crate) fn duration(&self, name: &str) -> Option<Duration> {
        match self.value(name)? {
            FieldValue::Duration(duration) => Some(duration),
            _ => None,
        }
    }

    /// Returns the value of an integer field.
    pub(crate) fn integer(&self, name: &str) -> Option<u64> {
        match self.value(name)? {
            FieldValue::Integer(number) => Some(number),
            _ => None,
        }
    }

    /// Returns the value of a number field.
    pub(crate) fn number(&self, name: &str) -> Option<f64> {
        match self.value(name)? {
            FieldValue::Number(number) => Some(number),
            _ => None,
        }
    }

    /// Returns the value of an address field.
    pub(crate) fn address(&self, name: &str) -> Option<SocketAddr> {
        match self.value(name)? {
            FieldValue::Address(address) => Some(address),
            _ => None,
        }
    }

    /// Returns the value of an address list field; empty if it is absent or invalid.
    pub(crate) fn addresses(&self, name: &str) -> Vec<SocketAddr> {
        match self.value(name) {
            Some(FieldValue::Addresses(addresses)) => addresses,
            _ => Vec::new(),
        }
    }
}

/// Parses a document without templates by its table, and builds its settings with `build_settings`.
///
/// # Errors
///
/// All errors in the document, each with its line.
pub(crate) fn parse_document<T>(
    file_name: &str,
    text: &str,
    specs: &'static [FieldSpec],
    build_settings: impl FnOnce(FieldReader<'_>, &mut ErrorList) -> Option<T>,
) -> Result<T, SettingsErrors> {
    let mut errors = ErrorList::new(file_name);
    let Some(entries) = load_mapping(text, &mut errors) else {
        return errors.finish(None);
    };
    let explicit = ExplicitFields::read(&entries, specs, "", &mut errors);
    explicit.check_required(specs, 1, &mut errors);
    let reader = FieldReader {
        specs,
        explicit: &explicit,
    };
    let settings = build_settings(reader, &mut errors);
    errors.finish(settings)
}

/// Returns the fixed default of a field; none if it has none or the default is derived.
pub(crate) fn default_value(spec: &FieldSpec) -> Option<FieldValue> {
    match spec.default {
        FieldDefault::Value(text) => spec.kind.parse_scalar(text),
        FieldDefault::Required | FieldDefault::Absent | FieldDefault::Derived(_) => None,
    }
}

fn is_section(name: &str, specs: &[FieldSpec]) -> bool {
    specs
        .iter()
        .filter_map(|spec| spec.name.strip_prefix(name))
        .any(|rest| rest.starts_with('.'))
}

/// Lists the names allowed in a section, in table order.
fn field_names(section: &str, specs: &[FieldSpec]) -> String {
    let mut names: Vec<&str> = Vec::new();
    for spec in specs {
        let relative_name = match section {
            "" => Some(spec.name),
            _ => spec
                .name
                .strip_prefix(section)
                .and_then(|rest| rest.strip_prefix('.')),
        };
        let Some(name) = relative_name.and_then(|name| name.split('.').next()) else {
            continue;
        };
        if !names.contains(&name) {
            names.push(name);
        }
    }
    names.join(", ")
}
