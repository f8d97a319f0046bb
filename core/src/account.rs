//! Client accounts, as resolved from the shared templates that operators edit.
//!
//! See `docs/DESIGN.md`, "Admission".

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{AccountName, CollectionName, ConfigVersion};

/// How soon a client account's requests must be answered, relative to those of others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Urgency {
    /// Someone waits for the answer now; served first.
    Urgent,
    /// Served after urgent work.
    Normal,
    /// May wait in the queue as long as its patience allows.
    Patient,
}

/// How far a client account's requests may be sent to targets more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RepeatPolicy {
    /// Non-idempotent: a request runs at most once.
    Never,
    /// Idempotent: a failed shard request may be retried.
    Retry,
    /// Idempotent: a slow shard request may be hedged as well.
    Hedge,
}

/// What is in force for one client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountPolicy {
    /// The account's name.
    pub account: AccountName,
    /// The template that it was made from.
    pub template: Box<str>,
    /// The collections that it may ask, sorted.
    pub collections: Vec<CollectionName>,
    /// Which class it is served in.
    pub urgency: Urgency,
    /// How long a request may wait before its first send.
    pub patience: Duration,
    /// The longest time that a request may take; a caller may ask for less.
    pub deadline: Duration,
    /// How far requests may be repeated.
    pub repeat: RepeatPolicy,
    /// The share of shard requests that may be hedged, 0 to 1.
    pub hedge_share: f64,
    /// The share of shard requests that may be retried, 0 to 1.
    pub retry_share: f64,
    /// The account's share of the capacity against others of its class; at least 1.
    pub weight: u32,
    /// How many requests may wait at one daemon.
    pub queue_limit: u32,
}

/// All client accounts that are in force, sorted by name.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountTable {
    /// The configuration version that the table was made from.
    pub version: ConfigVersion,
    /// The accounts, sorted by name.
    pub accounts: Vec<AccountPolicy>,
}

impl AccountTable {
    /// Makes a table, sorting the accounts so that look-ups are binary searches.
    pub fn new(version: ConfigVersion, mut accounts: Vec<AccountPolicy>) -> Self {
        accounts.sort_by(|left, right| left.account.cmp(&right.account));
        Self { version, accounts }
    }

    /// The policy of an account, if it is known.
    pub fn find(&self, account: &str) -> Option<&AccountPolicy> {
        let position = self
            .accounts
            .binary_search_by(|policy| policy.account.as_ref().cmp(account))
            .ok()?;
        self.accounts.get(position)
    }
}
