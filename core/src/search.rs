//! A caller's request and its answer, as the daemon handles them.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::coverage::{Coverage, Snapshot};
use crate::ids::{AccountName, CollectionName, Fingerprint, QueryId, RequestId, ShardId};

/// What a request does to the shards that it touches.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestKind {
    /// An idempotent search over every shard of the collection.
    Search,
    /// A non-idempotent request to one shard; it runs at most once.
    Execute {
        /// The shard that it runs on.
        shard: ShardId,
    },
}

/// A request as it is submitted to the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SearchRequest {
    /// The daemon's own id of the request.
    pub query: QueryId,
    /// The caller's id of the request.
    pub request: RequestId,
    /// The account that it is charged to.
    pub account: AccountName,
    /// The collection that it asks.
    pub collection: CollectionName,
    /// Whether it is a search or a non-idempotent request.
    pub kind: RequestKind,
    /// The text that the targets are asked.
    pub text: Box<str>,
    /// The greatest number of hits wanted in the answer.
    pub limit: u32,
    /// A hash of what is asked, equal for a resent request.
    pub fingerprint: Fingerprint,
    /// How long the caller waits, where it said so.
    pub time_left: Option<Duration>,
}

/// One result, as a target ranks it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SearchHit {
    /// The shard that it is from.
    pub shard: ShardId,
    /// The key of the document.
    pub key: Box<str>,
    /// Its score; greater is better.
    pub score: f64,
}

/// The answer to a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SearchAnswer {
    /// The caller's id of the request.
    pub request: RequestId,
    /// The snapshot that every hit is from.
    pub snapshot: Snapshot,
    /// What the answer covers.
    pub coverage: Coverage,
    /// The best hits, best first.
    pub hits: Vec<SearchHit>,
    /// Always true and always last, so that a cut answer never passes as a whole one.
    pub complete: bool,
}
