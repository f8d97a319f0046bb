//! What a leaf keeps of each run, so that a test can hold callers' answers against it.

use serde::{Deserialize, Serialize};
use yuccalift_core::ids::{AttemptId, IndexVersion, QueryId, RequestId, ShardId};

/// What kind of request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunKind {
    /// An idempotent search.
    Search,
    /// A non-idempotent request.
    Execute,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunEnd {
    /// It still runs, or was lost with its connection or in a crash.
    Open,
    /// It was run to its end.
    Done,
    /// It was cancelled after it had begun.
    Cancelled,
}

/// One run of one request; it is recorded when it begins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeafRun {
    /// What kind of request it was.
    pub kind: RunKind,
    /// The caller's id of the request.
    pub request: RequestId,
    /// The daemon's id of the query.
    pub query: QueryId,
    /// The daemon's id of the attempt.
    pub attempt: AttemptId,
    /// The daemon's process that sent it.
    pub sender: Box<str>,
    /// The shard.
    pub shard: ShardId,
    /// The index version.
    pub version: IndexVersion,
    /// When it began, in milliseconds since the leaf's start.
    pub began_ms: u64,
    /// How it ended.
    pub end: RunEnd,
}

/// What a leaf has counted of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeafCounts {
    /// Requests for work that arrived, the refused ones included.
    pub received: u64,
    /// Requests that it shed.
    pub shed: u64,
    /// Requests whose time left had passed before they could begin.
    pub expired: u64,
    /// Requests that were cancelled, whether they had begun or not.
    pub cancelled: u64,
    /// Requests that run now.
    pub running: u32,
    /// Requests that wait for a slot now.
    pub waiting: u32,
    /// How long after the start of its last draining the last new work arrived, in milliseconds;
    /// none if none arrived.
    pub work_after_drain_ms: Option<u64>,
}
