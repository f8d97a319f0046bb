//! Typed and validated settings of yuccalift.
//!
//! - [`daemon`]: the settings of a daemon.
//! - [`field`]: the table that describes a document; [`value`] parses and formats the values.
//! - [`daemon_file`]: [`parse_daemon`] parses the settings of a daemon.
//! - [`relay`]: [`parse_relay`] parses the settings of a daemon that relays plain HTTP requests.
//! - [`accounts`]: [`parse_accounts`] parses templates and accounts; [`resolve_accounts`] also
//!   records where each value came from.
//! - [`published`]: parses the JSON values published by the platform.
//! - [`document_kind`]: [`check_document`] detects the kind of a document and validates it.
//! - [`site_check`]: checks that the documents of a site are consistent with each other.
//! - [`error`]: the errors of a document, each with its line.
//!
//! Documents are parsed by table rather than by a derived deserializer, because a deserializer
//! stops at the first error and operators should see all of them.

pub mod accounts;
pub mod daemon;
pub mod daemon_file;
mod document;
pub mod document_kind;
pub mod error;
pub mod field;
pub mod published;
mod reader;
pub mod relay;
pub mod site_check;
pub mod value;

pub use accounts::{
    AccountExplanation, FieldOrigin, POLICY_FIELDS, ResolvedAccounts, ResolvedField,
    parse_accounts, resolve_accounts,
};
pub use daemon::{DaemonSettings, ListenerLimits, LogFormat, LogSettings};
pub use daemon_file::{DAEMON_FIELDS, parse_daemon};
pub use document_kind::{DocumentKind, check_document};
pub use error::{SettingsError, SettingsErrors};
pub use field::{FieldDefault, FieldKind, FieldSpec, FieldValue};
pub use published::{parse_fleet_bounds, parse_shard_map};
pub use relay::{RELAY_FIELDS, RelaySettings, parse_relay};
pub use site_check::SiteCheck;
