//! Callers' requests and their answers, as the daemon handles them.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::coverage::{Coverage, Snapshot};
use crate::ids::{AccountName, CollectionName, Fingerprint, QueryId, RequestId, ShardId};

/// Kind of a request: which shards it is sent to and whether it may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestKind {
    /// An idempotent search over every shard of the collection.
    Search,
    /// A non-idempotent request to one shard, which runs at most once.
    Execute {
        /// Shard that the request runs on.
        shard: ShardId,
    },
}

/// A request as submitted to the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SearchRequest {
    /// The daemon's id of the request.
    pub query: QueryId,
    /// The caller's id of the request.
    pub request: RequestId,
    /// Client account that the request is charged to.
    pub account: AccountName,
    /// Collection that is queried.
    pub collection: CollectionName,
    /// Search or non-idempotent request.
    pub kind: RequestKind,
    /// Query text that is sent to the targets.
    pub text: Box<str>,
    /// Maximum number of hits in the answer.
    pub limit: u32,
    /// Hash of the content of the request; the same when the request is resent.
    pub fingerprint: Fingerprint,
    /// Time that the caller will wait, if the caller gave one.
    pub time_left: Option<Duration>,
}

/// One search result, scored by a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SearchHit {
    /// Shard that the hit is from.
    pub shard: ShardId,
    /// Key of the document.
    pub key: Box<str>,
    /// Score of the document; greater is better.
    pub score: f64,
}

/// The answer to a search.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SearchAnswer {
    /// The caller's id of the request.
    pub request: RequestId,
    /// Snapshot that all hits are from.
    pub snapshot: Snapshot,
    /// Shards that the answer covers.
    pub coverage: Coverage,
    /// Best hits, in descending order of score.
    pub hits: Vec<SearchHit>,
    /// Always true and serialized last, so that a truncated answer is not taken for a complete one.
    pub complete: bool,
}
