//! What an answer covers: the shards asked, those that answered, and those that are missing.
//!
//! See `docs/DESIGN.md`, "Coverage".

use serde::{Deserialize, Serialize};

use crate::ids::{IndexVersion, MapEpoch, ShardId};

/// The one state of the index that an answer is from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// The epoch of the shard map.
    pub epoch: MapEpoch,
    /// The index version on every shard.
    pub version: IndexVersion,
}

/// Why a shard is missing from an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MissingReason {
    /// Its reply did not come before the deadline.
    Deadline,
    /// Its targets shed the request.
    Shed,
    /// No target that can be reached holds it.
    NoTarget,
    /// No target holds it at the answer's index version.
    WrongVersion,
    /// The request is quarantined.
    Quarantined,
    /// Its targets failed, and no retry was allowed.
    Failed,
}

/// One missing shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MissingShard {
    /// The shard.
    pub shard: ShardId,
    /// Why it is missing.
    pub reason: MissingReason,
}

/// The coverage that an answer states; both lists are sorted by shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Coverage {
    /// How many shards the query asked.
    pub asked: u32,
    /// The shards that answered.
    pub answered: Vec<ShardId>,
    /// The shards that did not, with the reason of each.
    pub missing: Vec<MissingShard>,
}

impl Coverage {
    /// Whether every shard answered.
    pub fn is_whole(&self) -> bool {
        self.missing.is_empty()
    }

    /// The share of the shards that answered, 0 to 1; 1 when none was asked.
    pub fn share(&self) -> f64 {
        if self.asked == 0 {
            return 1.0;
        }
        self.answered.len() as f64 / f64::from(self.asked)
    }
}
