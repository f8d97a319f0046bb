//! Messages exchanged with targets (leafs), as JSON over HTTP.
//!
//! | call | body | answer |
//! |---|---|---|
//! | `POST /search`, `POST /execute` | [`LeafRequest`] | 200 [`LeafReply`], or 409, 429, 503 [`LeafRefusal`] |
//! | `POST /cancel` | [`LeafCancel`] | 204; the cancelled call answers 409 `cancelled` |
//! | `GET /status` | none | 200 [`LeafStatus`], which may be outdated or misleading |
//! | `GET /ping` | none | 204 |

use serde::{Deserialize, Serialize};
use yuccalift_core::ids::{AttemptId, IndexVersion, MapEpoch, QueryId, RequestId, ShardId};
use yuccalift_core::search::SearchHit;

/// A request to a target for one shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeafRequest {
    /// Request id chosen by the caller; the target records executions under it.
    pub request: RequestId,
    /// Query id assigned by the daemon.
    pub query: QueryId,
    /// Attempt id assigned by the daemon.
    pub attempt: AttemptId,
    /// Identifies the daemon process; makes the attempt id unique across all daemons.
    pub sender: Box<str>,
    /// Shard that the request is for.
    pub shard: ShardId,
    /// Epoch of the shard map that the daemon uses.
    pub epoch: MapEpoch,
    /// Index version that the target must answer from.
    pub version: IndexVersion,
    /// Query or request text from the caller.
    pub text: Box<str>,
    /// Maximum number of hits in the reply.
    pub limit: u32,
    /// Time until the reply becomes useless, in milliseconds from now.
    pub time_left_ms: u64,
}

/// A target's answer to a [`LeafRequest`] that it ran.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeafReply {
    /// Query id of the request.
    pub query: QueryId,
    /// Attempt id of the request.
    pub attempt: AttemptId,
    /// Shard of the request.
    pub shard: ShardId,
    /// Index version that the hits come from.
    pub version: IndexVersion,
    /// Index versions that the target holds, sorted.
    pub held: Vec<IndexVersion>,
    /// Hits found; for a non-idempotent request, a single hit whose key is the result.
    pub hits: Vec<SearchHit>,
    /// Always true. Serialized last, so that a truncated reply lacks it.
    pub complete: bool,
}

/// Reason why a target refused a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeafRefusalCode {
    /// The target sheds load.
    Shed,
    /// The target is draining.
    Draining,
    /// The target does not hold the requested index version.
    WrongVersion,
    /// The target does not hold the requested shard.
    NotHosted,
    /// The request's time left had passed before the target started it.
    Expired,
    /// The daemon cancelled the attempt with a [`LeafCancel`].
    Cancelled,
}

/// A target's answer to a [`LeafRequest`] that it refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeafRefusal {
    /// Attempt id of the request.
    pub attempt: AttemptId,
    /// Reason of the refusal.
    pub code: LeafRefusalCode,
    /// Whether the target had started to run the request.
    pub ran: bool,
    /// Index versions that the target holds, sorted.
    pub held: Vec<IndexVersion>,
}

/// Cancels an attempt without closing its connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeafCancel {
    /// [`LeafRequest::sender`] of the attempt.
    pub sender: Box<str>,
    /// Attempt id to cancel.
    pub attempt: AttemptId,
}

/// State of a target, as reported by the target itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeafState {
    /// The target has just started; its first requests are slow.
    Cold,
    /// The target accepts requests.
    Live,
    /// The target finishes its requests in progress and accepts no new ones.
    Draining,
}

/// A target's report on itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeafStatus {
    /// Current state of the target.
    pub state: LeafState,
    /// Fraction of the target's slots that are busy, 0 to 1; may be outdated or misleading.
    pub load: f64,
    /// Age of the report, in milliseconds.
    pub age_ms: u64,
    /// Index versions that the target holds, sorted.
    pub held: Vec<IndexVersion>,
    /// Shards that the target holds, sorted.
    pub shards: Vec<ShardId>,
}
