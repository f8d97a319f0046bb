//! Parser for the published document of templates and client accounts.
//!
//! An account names its template and may override any of the template's fields. See
//! `docs/OPERATIONS.md`, "Accounts".
//!
//! - `fields`: the field tables.
//! - `origin`: the values in effect, with the origin of each.
//! - `layers`: resolution of fields: account, then template, then defaults.
//! - `rules`: contradictions between fields.
//! - `file`: the parser.

mod fields;
mod file;
mod layers;
mod origin;
mod rules;

pub use fields::POLICY_FIELDS;
pub use file::{parse_accounts, resolve_accounts};
pub use origin::{AccountExplanation, FieldOrigin, ResolvedAccounts, ResolvedField};
