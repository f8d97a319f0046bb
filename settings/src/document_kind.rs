//! Detection of the kind of a document, so that one command can check all kinds.

use crate::error::SettingsErrors;
use crate::site_check::SiteCheck;

/// Kinds of documents that operators write or publish.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DocumentKind {
    /// Settings of a daemon.
    Daemon,
    /// Settings of a daemon that relays plain HTTP requests.
    Relay,
    /// Templates and client accounts.
    Accounts,
    /// Shard map of a collection.
    ShardMap,
    /// Bounds on the number of daemons in the fleet.
    Fleet,
}

impl DocumentKind {
    /// Detects the kind from the text alone, so that it also works for invalid documents.
    pub fn detect(text: &str) -> Self {
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

    /// Returns a name for the kind, for messages.
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

/// Validates a single document of any kind.
///
/// # Errors
///
/// All errors in the document, each with its line; for JSON documents only the first error.
pub fn check_document(file_name: &str, text: &str) -> Result<DocumentKind, SettingsErrors> {
    SiteCheck::new().add(file_name, text)
}
