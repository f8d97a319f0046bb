//! What the engine decides: [`EngineAction`], [`EngineDecision`] and the view for operators.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::coverage::{MissingReason, Snapshot};
use crate::ids::{AttemptId, Fingerprint, QueryId, RequestId, ShardId, TargetId};
use crate::outcome::Refusal;
use crate::search::{RequestKind, SearchAnswer};

/// Something the engine decided, for the daemon to carry out.
#[derive(Clone, Debug)]
pub enum EngineAction {
    /// Send a request to a target. Just one reply or failure of it follows, also after a cancel;
    /// until then it holds one of the target's connections.
    Send(AttemptPlan),
    /// Ask a target to cancel an attempt; its reply is no longer wanted.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
        /// The target that runs it.
        target: TargetId,
    },
    /// Answer a query's caller. It comes once for each query, or [`EngineAction::Refuse`] does.
    Answer {
        /// The query.
        query: QueryId,
        /// The answer.
        answer: SearchAnswer,
    },
    /// Refuse a query's caller.
    Refuse {
        /// The query.
        query: QueryId,
        /// The refusal.
        refusal: Refusal,
    },
    /// A decision to be logged.
    Decided(EngineDecision),
}

/// One request to one target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptPlan {
    /// The attempt's id.
    pub attempt: AttemptId,
    /// The query that it is part of.
    pub query: QueryId,
    /// The caller's id of the request, by which targets record their runs.
    pub request: RequestId,
    /// The target.
    pub target: TargetId,
    /// Where the target accepts HTTP.
    pub address: SocketAddr,
    /// The shard.
    pub shard: ShardId,
    /// Whether it is a search or a non-idempotent request.
    pub kind: RequestKind,
    /// The snapshot that must be answered from.
    pub snapshot: Snapshot,
    /// The text that is asked.
    pub text: Arc<str>,
    /// The greatest number of hits wanted.
    pub limit: u32,
    /// The fingerprint of the request, for the count of lost targets.
    pub fingerprint: Fingerprint,
    /// When the reply is no longer of use; the daemon checks it last before the write.
    pub deadline: Instant,
    /// Why it is sent.
    pub cause: AttemptCause,
}

/// Why an attempt is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptCause {
    /// The first request for its shard.
    First,
    /// A second request beside a slow first.
    Hedge,
    /// Another request after a failed one.
    Retry,
}

/// A decision worth a line in the log; `docs/EVENTS.md` lists them.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineDecision {
    /// A query was admitted and planned.
    Planned {
        /// The query.
        query: QueryId,
        /// Its snapshot.
        snapshot: Snapshot,
        /// How many shards it asks.
        shards: u32,
        /// How long it waited.
        waited: Duration,
    },
    /// A query waits for capacity.
    Queued {
        /// The query.
        query: QueryId,
        /// How many wait now.
        waiting: u32,
    },
    /// A query was started again whole, at another snapshot.
    Restarted {
        /// The query.
        query: QueryId,
        /// The new snapshot.
        snapshot: Snapshot,
    },
    /// A hedge was sent.
    Hedged {
        /// The query.
        query: QueryId,
        /// The shard.
        shard: ShardId,
        /// The target that was slow.
        slow: TargetId,
        /// The target that is asked as well.
        target: TargetId,
    },
    /// A failed attempt is tried again.
    Retried {
        /// The query.
        query: QueryId,
        /// The shard.
        shard: ShardId,
        /// The target that is asked now.
        target: TargetId,
    },
    /// A shard is given up.
    Missed {
        /// The query.
        query: QueryId,
        /// The shard.
        shard: ShardId,
        /// Why.
        reason: MissingReason,
    },
    /// A slow or failing target gets no work for a moment.
    Ejected {
        /// The target.
        target: TargetId,
        /// For how long.
        period: Duration,
    },
    /// An ejected target gets work again.
    Readmitted {
        /// The target.
        target: TargetId,
    },
    /// A target's limit changed.
    LimitChanged {
        /// The target.
        target: TargetId,
        /// How many requests it may have in flight from here.
        limit: u32,
    },
}

/// A view of the engine for operators.
#[derive(Clone, Debug, Default)]
pub struct EngineStatus {
    /// The targets, sorted by id.
    pub targets: Vec<TargetStatus>,
    /// How many queries run.
    pub running: u32,
    /// How many queries wait, for each class: urgent, normal, patient.
    pub waiting: [u32; 3],
}

/// A view of one target for operators.
#[derive(Clone, Debug)]
pub struct TargetStatus {
    /// The target.
    pub target: TargetId,
    /// Its state: `live`, `draining`, `ejected` or `lost`.
    pub state: &'static str,
    /// How many attempts are in flight.
    pub in_flight: u32,
    /// How many may be in flight.
    pub limit: u32,
    /// How many connections may be held.
    pub connections: u32,
    /// Its recent latency.
    pub latency: Duration,
}
