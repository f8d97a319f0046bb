//! Records of the requests that a leaf ran, which tests compare with the results of callers.

use serde::{Deserialize, Serialize};
use yuccalift_core::ids::{AttemptId, IndexVersion, QueryId, RequestId, ShardId};

/// Kind of a request that ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunKind {
    /// An idempotent search.
    Search,
    /// A non-idempotent request.
    Execute,
}

/// Progress of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunStatus {
    /// The run has not ended, or it was lost with its connection or in a crash.
    Open,
    /// The run was completed.
    Done,
    /// The run was cancelled after it had started.
    Cancelled,
}

/// A run of one request, recorded when the run starts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeafRun {
    /// Kind of the request.
    pub kind: RunKind,
    /// Request id that the caller chose.
    pub request: RequestId,
    /// Query id that the daemon assigned.
    pub query: QueryId,
    /// Attempt id that the daemon assigned.
    pub attempt: AttemptId,
    /// Daemon process that sent the request.
    pub sender: Box<str>,
    /// Shard that the request reads.
    pub shard: ShardId,
    /// Index version that the request names.
    pub version: IndexVersion,
    /// Start of the run, in milliseconds since the start of the leaf.
    pub began_ms: u64,
    /// Progress of the run.
    pub end: RunStatus,
}

/// Request counters of a leaf.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeafCounts {
    /// Number of requests for work that arrived, including refused ones.
    pub received: u64,
    /// Number of requests that were shed because the queue was full.
    pub shed: u64,
    /// Number of requests whose deadline passed before they got a slot.
    pub expired: u64,
    /// Number of requests that were cancelled, before or after they started.
    pub cancelled: u64,
    /// Number of requests that are running.
    pub running: u32,
    /// Number of requests that are waiting for a slot.
    pub waiting: u32,
    /// Time from the start of the latest drain to the last new work after it, in milliseconds; none
    /// if no work arrived.
    pub work_after_drain_ms: Option<u64>,
}
