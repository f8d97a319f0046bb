//! Tells the kinds of documents apart, so that one command checks them all.

use crate::error::SettingsErrors;
use crate::site_check::SiteCheck;

/// The kinds of documents that operators write or publish.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DocumentKind {
    /// The settings of one daemon.
    Daemon,
    /// The settings of a daemon that relays plain HTTP requests.
    Relay,
    /// Templates and client accounts.
    Accounts,
    /// The shard map of a collection.
    ShardMap,
    /// The bounds of the fleet.
    Fleet,
}

impl DocumentKind {
    /// The kind of a document, from its text alone and also where that is broken.
    pub fn of(text: &str) -> Self {
        if text.trim_start().starts_with('{') {
            if text.contains("\"daemons\"") {
                return Self::Fleet;
            }
            return Self::ShardMap;
        }
        let has_accounts = text
            .lines()
            .any(|line| line.starts_with("templates:") || line.starts_with("accounts:"));
        if has_accounts {
            Self::Accounts
        } else if text.lines().any(|line| line.starts_with("store:")) {
            Self::Relay
        } else {
            Self::Daemon
        }
    }

    /// The kind in words.
    pub fn describe(self) -> &'static str {
        match self {
            Self::Daemon => "settings of a daemon",
            Self::Relay => "settings of a relay",
            Self::Accounts => "templates and accounts",
            Self::ShardMap => "shard map",
            Self::Fleet => "bounds of the fleet",
        }
    }
}

/// Checks a document of any kind by itself.
///
/// # Errors
///
/// Every fault of the document, each with its line; of a JSON value the first.
pub fn check_document(file_name: &str, text: &str) -> Result<DocumentKind, SettingsErrors> {
    SiteCheck::new().add(file_name, text)
}
