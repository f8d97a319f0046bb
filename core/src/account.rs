//! Client accounts: the policies resolved from the shared templates that operators edit.
//!
//! See `docs/DESIGN.md`, "Admission".

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{AccountName, CollectionName, ConfigVersion};

/// Scheduling class of a client account, relative to other accounts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Urgency {
    /// Interactive requests; scheduled before all others.
    Urgent,
    /// Scheduled after urgent requests.
    Normal,
    /// Background requests; may wait in the queue for the whole of [`AccountPolicy::patience`].
    Patient,
}

/// Whether a client account's requests may be sent to targets more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RepeatPolicy {
    /// Non-idempotent: a request runs at most once.
    Never,
    /// Idempotent: a failed shard request may be retried.
    Retry,
    /// Idempotent: a failed shard request may be retried and a slow one may be hedged.
    Hedge,
}

/// The policy in effect for one client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountPolicy {
    /// Name of the account.
    pub account: AccountName,
    /// Name of the template that the policy was resolved from.
    pub template: Box<str>,
    /// Collections that the account may query, sorted.
    pub collections: Vec<CollectionName>,
    /// Scheduling class of the account's requests.
    pub urgency: Urgency,
    /// Maximum time that a request may wait before its first attempt is sent.
    pub patience: Duration,
    /// Maximum time that a request may take; a caller may ask for less.
    pub deadline: Duration,
    /// Whether shard requests may be retried or hedged.
    pub repeat: RepeatPolicy,
    /// Maximum share of shard requests that may be hedged, from 0 to 1.
    pub hedge_share: f64,
    /// Maximum share of shard requests that may be retried, from 0 to 1.
    pub retry_share: f64,
    /// Weight of the account against others of its class when capacity is shared; at least 1.
    pub weight: u32,
    /// Maximum number of requests that may wait in the queue of one daemon.
    pub queue_limit: u32,
}

/// The policies of all client accounts, from one configuration version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountTable {
    /// Configuration version that the table was built from.
    pub version: ConfigVersion,
    /// Account policies, sorted by account name.
    pub accounts: Vec<AccountPolicy>,
}

impl AccountTable {
    /// Creates a table. Sorts the accounts so that lookups can use binary search.
    pub fn new(version: ConfigVersion, mut accounts: Vec<AccountPolicy>) -> Self {
        accounts.sort_by(|left, right| left.account.cmp(&right.account));
        Self { version, accounts }
    }

    /// Returns the policy of an account, or `None` if the account is unknown.
    pub fn find(&self, account: &str) -> Option<&AccountPolicy> {
        let position = self
            .accounts
            .binary_search_by(|policy| policy.account.as_ref().cmp(account))
            .ok()?;
        self.accounts.get(position)
    }
}
