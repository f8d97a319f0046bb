//! The document of templates and client accounts that the platform publishes.
//!
//! An account names its template and may override any of the template's fields. See
//! `docs/OPERATIONS.md`, "Accounts".
//!
//! - `fields`: the table of the fields.
//! - `origin`: what is in force, with the origin of each value.
//! - `layers`: an account over its template over the defaults.
//! - `rules`: the contradictions that are refused.
//! - `file`: reads the document.

mod fields;
mod file;
mod layers;
mod origin;
mod rules;

pub use fields::POLICY_FIELDS;
pub use file::{parse_accounts, resolve_accounts};
pub use origin::{AccountExplanation, FieldOrigin, ResolvedAccounts, ResolvedField};
