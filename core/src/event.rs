//! What the engine is told: [`EngineEvent`] and its parts.

use std::sync::Arc;
use std::time::Duration;

use crate::account::AccountTable;
use crate::ids::{
    AttemptId, CollectionName, Fingerprint, IndexVersion, QueryId, ShardId, TargetId,
};
use crate::search::{SearchHit, SearchRequest};
use crate::shard_map::ShardMap;

/// Something that happened, told to the engine.
#[derive(Clone, Debug)]
pub enum EngineEvent {
    /// A caller's request arrived.
    Submit(SearchRequest),
    /// The caller of a query has gone.
    CallerGone {
        /// The query.
        query: QueryId,
    },
    /// A target answered an attempt.
    Reply(AttemptReply),
    /// An attempt failed.
    Failed {
        /// The attempt.
        attempt: AttemptId,
        /// How it failed.
        failure: AttemptFailure,
    },
    /// The time that [`crate::SearchEngine::next_wake`] asked for has come.
    Tick,
    /// A shard map is in force, new or changed.
    MapChanged(Arc<ShardMap>),
    /// A collection is no longer published.
    MapRemoved(CollectionName),
    /// The client accounts in force changed.
    AccountsChanged(Arc<AccountTable>),
    /// How many connections this daemon may hold to each listed target; the list is sorted.
    SharesChanged(Arc<[TargetShare]>),
    /// What a target reported of itself, or what others say of it.
    TargetUpdate(TargetUpdate),
    /// Requests of a fingerprint are held back, or no longer.
    Quarantine {
        /// The fingerprint.
        fingerprint: Fingerprint,
        /// Whether requests of it are held back from now on.
        held: bool,
    },
    /// The process was paused for this long; beliefs with an age are dropped.
    Paused(Duration),
    /// The daemon is stopping: new requests are refused, admitted ones are finished.
    Stopping,
}

/// A reply to an attempt, already matched to its connection.
#[derive(Clone, Debug)]
pub struct AttemptReply {
    /// The attempt that the target says it answers.
    pub attempt: AttemptId,
    /// The query that the target says it answers.
    pub query: QueryId,
    /// The shard that the target says it answers for.
    pub shard: ShardId,
    /// The index version that it answered from.
    pub version: IndexVersion,
    /// The index versions that the target holds now, sorted.
    pub held: Vec<IndexVersion>,
    /// The hits.
    pub hits: Vec<SearchHit>,
    /// Whether the body's end was seen.
    pub complete: bool,
}

/// How an attempt failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No connection could be had; no byte was sent.
    NotSent,
    /// The target refused before running: it sheds load.
    Shed,
    /// The target refused before running: it is draining.
    Draining,
    /// The target refused before running: it lacks the asked version.
    WrongVersion {
        /// The index versions that it holds, sorted.
        held: Vec<IndexVersion>,
    },
    /// The target refused before running: it does not hold the shard.
    NotHosted,
    /// The target says that the deadline had passed before it ran the request.
    Expired,
    /// The target stopped the request because it was asked to cancel it.
    Cancelled,
    /// The connection was lost after bytes were sent.
    Lost,
    /// No bytes came for so long that the connection is taken for dead.
    Silent,
    /// The reply could not be read.
    Garbled,
}

impl AttemptFailure {
    /// Whether the target certainly did not run the request.
    pub fn is_not_run(&self) -> bool {
        match self {
            Self::NotSent
            | Self::Shed
            | Self::Draining
            | Self::WrongVersion { .. }
            | Self::NotHosted
            | Self::Expired => true,
            Self::Cancelled | Self::Lost | Self::Silent | Self::Garbled => false,
        }
    }
}

/// How many connections this daemon may hold to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetShare {
    /// The target.
    pub target: TargetId,
    /// The greatest number of connections, 0 if this daemon must not connect.
    pub connections: u32,
}

/// What a target reports of itself, or what others say of it.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetUpdate {
    /// The target.
    pub target: TargetId,
    /// What is said of it.
    pub kind: TargetUpdateKind,
}

/// The kinds of news of a target.
#[derive(Clone, Debug, PartialEq)]
pub enum TargetUpdateKind {
    /// Its own load report: a weak hint, with the report's age.
    Load {
        /// Busy slots as a share of all, 0 to 1.
        load: f64,
        /// How old the report is.
        age: Duration,
    },
    /// The index versions that it holds, sorted.
    Held(Vec<IndexVersion>),
    /// It says itself that it is leaving and must get no new work.
    Draining,
    /// It says itself that it takes work, be it back from draining or new.
    Live,
    /// Others say that it is leaving: the platform's list or a peer. Its own word, which may lag or
    /// mislead, does not lift that; only `false` does, when nobody says so any more.
    Leaving(bool),
    /// It can be connected to again after it was lost.
    Reachable,
}
