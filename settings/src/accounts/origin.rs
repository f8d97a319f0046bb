//! What is in force for an account, with the origin of each value.

use std::fmt;

use yuccalift_core::AccountTable;
use yuccalift_core::ids::AccountName;

use crate::field::FieldValue;

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

/// What is in force for one account, field by field in the order of [`POLICY_FIELDS`](crate::POLICY_FIELDS).
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
