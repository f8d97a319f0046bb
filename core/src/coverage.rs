//! Coverage of an answer: the shards that were asked, that answered, and that are missing.
//!
//! See `docs/DESIGN.md`, "Coverage".

use serde::{Deserialize, Serialize};

use crate::ids::{IndexVersion, MapEpoch, ShardId};

/// A consistent state of the index. All hits of an answer are from the same snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// Epoch of the shard map.
    pub epoch: MapEpoch,
    /// Index version, the same on every shard.
    pub version: IndexVersion,
}

/// Reason why a shard is missing from an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MissingReason {
    /// No reply arrived before the deadline.
    Deadline,
    /// The targets shed the request.
    Shed,
    /// No reachable target holds the shard.
    NoTarget,
    /// No target holds the shard at the answer's index version.
    WrongVersion,
    /// The request is quarantined.
    Quarantined,
    /// The targets failed, and no further retry was allowed.
    Failed,
}

/// A shard that is missing from an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MissingShard {
    /// Id of the shard.
    pub shard: ShardId,
    /// Reason why it is missing.
    pub reason: MissingReason,
}

/// Coverage of an answer; both lists are sorted by shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Coverage {
    /// Number of shards that the query asked.
    pub asked: u32,
    /// Shards that answered.
    pub answered: Vec<ShardId>,
    /// Shards that did not answer, each with the reason.
    pub missing: Vec<MissingShard>,
}

impl Coverage {
    /// Returns whether every shard answered.
    pub fn is_complete(&self) -> bool {
        self.missing.is_empty()
    }

    /// Returns the share of shards that answered, from 0 to 1; 1 if none was asked.
    pub fn share(&self) -> f64 {
        if self.asked == 0 {
            return 1.0;
        }
        self.answered.len() as f64 / f64::from(self.asked)
    }
}
