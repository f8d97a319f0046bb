//! Output of the search engine: [`EngineAction`], [`EngineDecision`] and the status for operators.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::coverage::{MissingReason, Snapshot};
use crate::ids::{AttemptId, Fingerprint, QueryId, RequestId, ShardId, TargetId};
use crate::outcome::Refusal;
use crate::search::{RequestKind, SearchAnswer};

/// An action that the engine has decided on and that the daemon must carry out.
#[derive(Clone, Debug)]
pub enum EngineAction {
    /// Send a shard request to a target. The daemon must report exactly one reply or failure for
    /// it, also after a cancel; until then the attempt occupies one connection to the target.
    Send(AttemptPlan),
    /// Ask a target to cancel an attempt whose reply is no longer needed.
    Cancel {
        /// Attempt to cancel.
        attempt: AttemptId,
        /// Target that runs the attempt.
        target: TargetId,
    },
    /// Answer the caller. Each query ends with exactly one `Answer` or [`EngineAction::Refuse`].
    Answer {
        /// Query that the answer belongs to.
        query: QueryId,
        /// Answer for the caller.
        answer: SearchAnswer,
    },
    /// Refuse the query; see [`EngineAction::Answer`].
    Refuse {
        /// Query that is refused.
        query: QueryId,
        /// Refusal for the caller.
        refusal: Refusal,
    },
    /// Write a decision to the log.
    Decided(EngineDecision),
}

/// One attempt: a shard request to one target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptPlan {
    /// Id by which the daemon reports the attempt's reply or failure.
    pub attempt: AttemptId,
    /// Query that the attempt belongs to.
    pub query: QueryId,
    /// The caller's id of the request, under which targets record that they ran it.
    pub request: RequestId,
    /// Target that the attempt is sent to.
    pub target: TargetId,
    /// HTTP address of the target.
    pub address: SocketAddr,
    /// Shard that is queried.
    pub shard: ShardId,
    /// Search or non-idempotent request.
    pub kind: RequestKind,
    /// Snapshot that the target must answer from.
    pub snapshot: Snapshot,
    /// Query text.
    pub text: Arc<str>,
    /// Maximum number of hits to return.
    pub limit: u32,
    /// Fingerprint of the request, used to attribute lost targets to it.
    pub fingerprint: Fingerprint,
    /// Time after which the reply is useless; checked again just before the request is written.
    pub deadline: Instant,
    /// Reason why the attempt is sent.
    pub cause: AttemptCause,
}

/// Reason why an attempt is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptCause {
    /// The first attempt for its shard.
    First,
    /// A second attempt in parallel with a slow first one.
    Hedge,
    /// Another attempt after a failed one.
    Retry,
}

/// An engine decision that is written to the log; `docs/EVENTS.md` lists the events.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineDecision {
    /// A query was admitted and planned.
    Planned {
        /// Query that was planned.
        query: QueryId,
        /// Snapshot that the query is pinned to.
        snapshot: Snapshot,
        /// Number of shards that the query asks.
        shards: u32,
        /// Time that the query spent in the queue.
        waited: Duration,
    },
    /// A query was queued because no capacity was free.
    Queued {
        /// Query that was queued.
        query: QueryId,
        /// Number of queries in the queue, this one included.
        waiting: u32,
    },
    /// A query was restarted for all its shards at another snapshot.
    Restarted {
        /// Query that was restarted.
        query: QueryId,
        /// Snapshot that the query is pinned to from now on.
        snapshot: Snapshot,
    },
    /// A hedge was sent for a slow attempt.
    Hedged {
        /// Query that the hedge belongs to.
        query: QueryId,
        /// Shard that is queried.
        shard: ShardId,
        /// Target of the slow attempt.
        slow: TargetId,
        /// Target that the hedge was sent to.
        target: TargetId,
    },
    /// A failed attempt was retried.
    Retried {
        /// Query that the retry belongs to.
        query: QueryId,
        /// Shard that is queried.
        shard: ShardId,
        /// Target that the retry was sent to.
        target: TargetId,
    },
    /// A shard was given up and will be missing from the answer.
    Missed {
        /// Query that lacks the shard.
        query: QueryId,
        /// Shard that was given up.
        shard: ShardId,
        /// Reason why the shard is missing.
        reason: MissingReason,
    },
    /// A slow or failing target was temporarily ejected.
    Ejected {
        /// Target that was ejected.
        target: TargetId,
        /// Time until the target is readmitted.
        period: Duration,
    },
    /// An ejected target receives requests again.
    Readmitted {
        /// Target that was readmitted.
        target: TargetId,
    },
    /// The concurrency limit of a target changed.
    LimitChanged {
        /// Target that the limit applies to.
        target: TargetId,
        /// Maximum number of attempts in flight from this daemon to the target.
        limit: u32,
    },
}

/// State of the engine, as shown to operators.
#[derive(Clone, Debug, Default)]
pub struct EngineStatus {
    /// State of each target, sorted by target id.
    pub targets: Vec<TargetStatus>,
    /// Number of queries that are running.
    pub running: u32,
    /// Number of queued queries by class: urgent, normal, patient.
    pub waiting: [u32; 3],
}

/// State of one target, as shown to operators.
#[derive(Clone, Debug)]
pub struct TargetStatus {
    /// Id of the target.
    pub target: TargetId,
    /// Name of the state: `live`, `draining`, `ejected` or `lost`.
    pub state: &'static str,
    /// Number of attempts in flight from this daemon.
    pub in_flight: u32,
    /// Maximum number of attempts in flight from this daemon.
    pub limit: u32,
    /// Maximum number of connections that this daemon may hold to the target.
    pub connections: u32,
    /// Smoothed latency of recent attempts.
    pub latency: Duration,
}
