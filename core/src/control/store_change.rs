//! What a [`ConfigStore`](super::config_store::ConfigStore) takes from its owner, and what it reports.

use super::config_delta::ConfigValue;
use crate::ids::{ConfigVersion, ValueKey};

/// Validates the value of a key before it takes effect; the error describes the problem.
pub type ValueCheck = fn(key: &str, value: &str) -> Result<(), Box<str>>;

/// Returns the order that the writer of a value gave it, or the lowest one if it gave none. Unlike a
/// version it is part of the value, so that it holds across eras.
pub type ValueRank = fn(key: &str, value: &str) -> WriterRank;

/// Order that a writer gives its values, such as its start and a count since then.
pub type WriterRank = (u64, u64);

/// A value that did not pass validation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusedValue {
    /// Key of the value.
    pub key: ValueKey,
    /// Version of the refused value.
    pub version: ConfigVersion,
    /// Validation error.
    pub reason: Box<str>,
}

/// A change of the store that the daemon must act on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreChange {
    /// The value takes effect; `None` means that the key was removed.
    Applied(ConfigValue),
    /// The value was refused; the last valid one stays in effect.
    Refused(RefusedValue),
}

/// Result of applying changes that the platform or a peer offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateOutcome {
    /// The store reached a later position.
    Advanced,
    /// The changes were already known.
    Known,
    /// The offered position is earlier than the store's.
    Stale,
    /// The changes start after a version that the store has not reached, or lack removals that it
    /// needs.
    Gap,
    /// A patch did not apply or a packed value was damaged; the whole value is requested in the next exchange.
    Mismatch,
}
