//! What targets (leafs) are asked and answer, as JSON over HTTP.
//!
//! | call | body | answer |
//! |---|---|---|
//! | `POST /search`, `POST /execute` | [`LeafRequest`] | 200 [`LeafReply`], or 409, 429, 503 [`LeafRefusal`] |
//! | `POST /cancel` | [`LeafCancel`] | 204; the cancelled call answers 409 `cancelled` |
//! | `GET /status` | none | 200 [`LeafStatus`], which may lag or mislead |
//! | `GET /ping` | none | 204 |

use serde::{Deserialize, Serialize};
use yuccalift_core::ids::{AttemptId, IndexVersion, MapEpoch, QueryId, RequestId, ShardId};
use yuccalift_core::search::SearchHit;

/// A request to one target for one shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeafRequest {
    /// The caller's id, by which the target records its runs.
    pub request: RequestId,
    /// The daemon's id of the query.
    pub query: QueryId,
    /// The daemon's id of the attempt.
    pub attempt: AttemptId,
    /// A name of the daemon's process that makes the attempt's id unique over all daemons.
    pub sender: Box<str>,
    /// The shard that is asked.
    pub shard: ShardId,
    /// The epoch of the shard map that the daemon goes by.
    pub epoch: MapEpoch,
    /// The index version that must be answered from.
    pub version: IndexVersion,
    /// What is asked.
    pub text: Box<str>,
    /// The greatest number of hits wanted.
    pub limit: u32,
    /// How long the reply is of use, in milliseconds from now.
    pub time_left_ms: u64,
}

/// A target's reply.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeafReply {
    /// The query that is answered.
    pub query: QueryId,
    /// The attempt that is answered.
    pub attempt: AttemptId,
    /// The shard that is answered for.
    pub shard: ShardId,
    /// The index version that is answered from.
    pub version: IndexVersion,
    /// The index versions that the target holds, sorted.
    pub held: Vec<IndexVersion>,
    /// The hits; for a non-idempotent request one hit, whose key is the result.
    pub hits: Vec<SearchHit>,
    /// Always true and always last.
    pub complete: bool,
}

/// Why a target did not answer a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeafRefusalCode {
    /// It sheds load.
    Shed,
    /// It is draining.
    Draining,
    /// It does not hold the asked index version.
    WrongVersion,
    /// It does not hold the shard.
    NotHosted,
    /// The time left had passed before it began.
    Expired,
    /// It was asked to cancel the request.
    Cancelled,
}

/// A target's refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeafRefusal {
    /// The attempt that is refused.
    pub attempt: AttemptId,
    /// Why.
    pub code: LeafRefusalCode,
    /// Whether the request had begun to run.
    pub ran: bool,
    /// The index versions that the target holds, sorted.
    pub held: Vec<IndexVersion>,
}

/// Asks a target to give up an attempt, on a connection that stays usable.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeafCancel {
    /// The sender of the attempt.
    pub sender: Box<str>,
    /// The attempt.
    pub attempt: AttemptId,
}

/// A target's state, as it tells of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeafState {
    /// It has just started; the first requests are slow.
    Cold,
    /// It takes work.
    Live,
    /// It finishes what it has and takes no new work.
    Draining,
}

/// A target's report of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeafStatus {
    /// Its state.
    pub state: LeafState,
    /// Busy slots as a share of all, 0 to 1; it may lag or mislead.
    pub load: f64,
    /// How old the report is, in milliseconds.
    pub age_ms: u64,
    /// The index versions that it holds, sorted.
    pub held: Vec<IndexVersion>,
    /// The shards that it holds, sorted.
    pub shards: Vec<ShardId>,
}
