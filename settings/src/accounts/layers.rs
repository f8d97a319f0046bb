//! Resolution of an account's fields: account, then template, then defaults.

use std::time::Duration;

use yuccalift_core::{AccountPolicy, RepeatPolicy, Urgency};

use super::fields::{
    ACCOUNTS, COLLECTIONS, DEADLINE, HEDGE_SHARE, PATIENCE, POLICY_FIELDS, QUEUE_LIMIT, REPEAT,
    RETRY_SHARE, TEMPLATES, URGENCY, WEIGHT,
};
use super::origin::{FieldOrigin, ResolvedField};
use crate::field::{FieldDefault, FieldSpec, FieldValue};
use crate::reader::{ExplicitField, ExplicitFields, default_value};

/// Hedge share of accounts that hedge and do not set a share.
const DEFAULT_HEDGE_SHARE: f64 = 0.05;
/// Retry share of accounts that retry and do not set a share.
const DEFAULT_RETRY_SHARE: f64 = 0.1;

/// A field set by an account or its template, with its origin.
pub(super) struct LayeredField<'a> {
    pub(super) path: Box<str>,
    pub(super) field: &'a ExplicitField,
    origin: FieldOrigin,
}

/// The fields of an account and its template, or of a template alone.
pub(super) struct FieldLayers<'a> {
    pub(super) account: Option<(&'a str, &'a ExplicitFields)>,
    pub(super) template: Option<(&'a str, &'a ExplicitFields)>,
}

impl<'a> FieldLayers<'a> {
    /// Returns the field of the account, or else that of the template.
    pub(super) fn find(&self, name: &str) -> Option<LayeredField<'a>> {
        if let Some((account, explicit)) = self.account
            && let Some(field) = explicit.find(name)
        {
            return Some(LayeredField {
                path: format!("{ACCOUNTS}.{account}.{name}").into(),
                field,
                origin: FieldOrigin::Account { line: field.line },
            });
        }
        let (template, explicit) = self.template?;
        let field = explicit.find(name)?;
        Some(LayeredField {
            path: format!("{TEMPLATES}.{template}.{name}").into(),
            field,
            origin: FieldOrigin::Template {
                template: template.into(),
                line: field.line,
            },
        })
    }

    /// Returns whether an account is resolved, to which defaults apply, rather than a template.
    pub(super) fn is_account(&self) -> bool {
        self.account.is_some()
    }

    /// Returns the value in effect; none if it is absent or invalid.
    pub(super) fn value(&self, name: &str) -> Option<FieldValue> {
        self.resolve(POLICY_FIELDS.iter().find(|spec| spec.name == name)?)
            .map(|field| field.value)
    }

    /// Returns the value in effect with its origin; none if it is absent or invalid.
    pub(super) fn resolve(&self, spec: &FieldSpec) -> Option<ResolvedField> {
        let name = spec.name;
        if let Some(layered) = self.find(name) {
            return Some(ResolvedField {
                name,
                value: layered.field.value.clone()?,
                origin: layered.origin,
            });
        }
        let (value, origin) = match spec.default {
            FieldDefault::Derived(rule) => {
                (self.derived_default(name)?, FieldOrigin::Derived(rule))
            }
            _ => (default_value(spec)?, FieldOrigin::Default),
        };
        Some(ResolvedField {
            name,
            value,
            origin,
        })
    }

    /// Computes a default that depends on other fields.
    fn derived_default(&self, name: &str) -> Option<FieldValue> {
        match name {
            PATIENCE => self.value(DEADLINE),
            HEDGE_SHARE => Some(FieldValue::Number(match self.repeat()? {
                RepeatPolicy::Hedge => DEFAULT_HEDGE_SHARE,
                RepeatPolicy::Never | RepeatPolicy::Retry => 0.0,
            })),
            RETRY_SHARE => Some(FieldValue::Number(match self.repeat()? {
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

    /// Returns the value in effect of a duration field.
    pub(super) fn duration(&self, name: &str) -> Option<Duration> {
        match self.value(name)? {
            FieldValue::Duration(duration) => Some(duration),
            _ => None,
        }
    }

    /// Returns the value in effect of a share field.
    pub(super) fn share(&self, name: &str) -> Option<f64> {
        match self.value(name)? {
            FieldValue::Number(share) => Some(share),
            _ => None,
        }
    }

    fn integer(&self, name: &str) -> Option<u32> {
        match self.value(name)? {
            FieldValue::Integer(number) => u32::try_from(number).ok(),
            _ => None,
        }
    }

    pub(super) fn urgency(&self) -> Option<Urgency> {
        match self.text(URGENCY)?.as_ref() {
            "urgent" => Some(Urgency::Urgent),
            "normal" => Some(Urgency::Normal),
            "patient" => Some(Urgency::Patient),
            _ => None,
        }
    }

    pub(super) fn repeat(&self) -> Option<RepeatPolicy> {
        match self.text(REPEAT)?.as_ref() {
            "never" => Some(RepeatPolicy::Never),
            "retry" => Some(RepeatPolicy::Retry),
            "hedge" => Some(RepeatPolicy::Hedge),
            _ => None,
        }
    }

    /// Returns the account's policy for the engine; none if a field is invalid.
    pub(super) fn policy(&self, account: &str, template: &str) -> Option<AccountPolicy> {
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
