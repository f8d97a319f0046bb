//! The typed, validated settings of yuccalift.
//!
//! A tour, from the data to the passes over them:
//!
//! - [`daemon`]: the settings of one daemon, checked.
//! - [`field`]: the table that describes a document; [`value`] reads and writes one value by it.
//! - [`daemon_file`]: reads a daemon's settings, [`parse_daemon`].
//! - [`relay`]: the settings of a daemon that relays plain HTTP requests, [`parse_relay`].
//! - [`accounts`]: reads templates and accounts, [`parse_accounts`]; [`resolve_accounts`] keeps
//!   where each value came from.
//! - [`published`]: reads the JSON values of the platform.
//! - [`document_kind`]: tells the documents apart, [`check_document`].
//! - [`site_check`]: whether the documents of one site go together.
//! - [`error`]: every fault of a file, each with its line.
//!
//! Documents are read by table and not by a derived deserializer: a deserializer stops at the first
//! fault, and an operator needs all of them.

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
