//! The values in effect for an account, with the origin of each.

use std::fmt;

use yuccalift_core::AccountTable;
use yuccalift_core::ids::AccountName;

use crate::field::FieldValue;

/// Origin of a value in effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FieldOrigin {
    /// The account sets the value.
    Account {
        /// Line in the document, counted from 1.
        line: usize,
    },
    /// The account's template sets the value.
    Template {
        /// Name of the template.
        template: Box<str>,
        /// Line in the document, counted from 1.
        line: usize,
    },
    /// Neither sets the value, and the field has a fixed default.
    Default,
    /// Neither sets the value, and it is computed from other fields by the described rule.
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

/// A value in effect and its origin.
#[derive(Clone, Debug, PartialEq)]
pub struct ResolvedField {
    /// Name of the field.
    pub name: &'static str,
    /// Value in effect.
    pub value: FieldValue,
    /// Origin of the value.
    pub origin: FieldOrigin,
}

/// The values in effect for an account, in the order of [`POLICY_FIELDS`](crate::POLICY_FIELDS).
#[derive(Clone, Debug, PartialEq)]
pub struct AccountExplanation {
    /// Name of the account.
    pub account: AccountName,
    /// Name of the account's template.
    pub template: Box<str>,
    /// Values in effect, one per field.
    pub fields: Vec<ResolvedField>,
}

/// The accounts of a document, with the origin of each value.
#[derive(Clone, Debug, PartialEq)]
pub struct ResolvedAccounts {
    /// Policies that the engine applies.
    pub table: AccountTable,
    /// Explanations of all accounts, sorted by account.
    pub explanations: Vec<AccountExplanation>,
}

impl ResolvedAccounts {
    /// Returns the explanation of an account, or none if the document lacks the account.
    pub fn explanation(&self, account: &str) -> Option<&AccountExplanation> {
        let position = self
            .explanations
            .binary_search_by(|explanation| explanation.account.as_ref().cmp(account))
            .ok()?;
        self.explanations.get(position)
    }
}
