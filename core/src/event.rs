//! Input of the search engine: [`EngineEvent`] and its parts.

use std::sync::Arc;
use std::time::Duration;

use crate::account::AccountTable;
use crate::ids::{
    AttemptId, CollectionName, Fingerprint, IndexVersion, QueryId, ShardId, TargetId,
};
use crate::search::{SearchHit, SearchRequest};
use crate::shard_map::ShardMap;

/// An event for the engine to handle.
#[derive(Clone, Debug)]
pub enum EngineEvent {
    /// A caller submitted a request.
    Submit(SearchRequest),
    /// The caller of a query disconnected before the query was answered.
    CallerDisconnected {
        /// Query that the caller had submitted.
        query: QueryId,
    },
    /// A target replied to an attempt.
    Reply(AttemptReply),
    /// An attempt failed.
    Failed {
        /// Attempt that failed.
        attempt: AttemptId,
        /// Kind of failure.
        failure: AttemptFailure,
    },
    /// The time returned by [`crate::SearchEngine::next_wake`] has come.
    Tick,
    /// A new or changed shard map takes effect.
    MapChanged(Arc<ShardMap>),
    /// The shard map of a collection was removed from the configuration.
    MapRemoved(CollectionName),
    /// The client account policies changed.
    AccountsChanged(Arc<AccountTable>),
    /// New connection shares for all listed targets, sorted by target.
    SharesChanged(Arc<[ConnectionShare]>),
    /// The known state of a target changed.
    TargetUpdate(TargetUpdate),
    /// A quarantine of a fingerprint started or ended.
    Quarantine {
        /// Fingerprint of the quarantined requests.
        fingerprint: Fingerprint,
        /// Whether the quarantine started; otherwise it ended.
        held: bool,
    },
    /// The process was paused for this long; state that depends on ages must be dropped.
    Paused(Duration),
    /// The daemon is stopping: new requests are refused and admitted ones are completed.
    Stopping,
}

/// A reply to an attempt. The daemon has matched it to the connection that it arrived on.
#[derive(Clone, Debug)]
pub struct AttemptReply {
    /// Attempt that the target claims to answer.
    pub attempt: AttemptId,
    /// Query that the target claims to answer.
    pub query: QueryId,
    /// Shard that the target claims to answer for.
    pub shard: ShardId,
    /// Index version that the reply is from.
    pub version: IndexVersion,
    /// Index versions that the target holds at present, sorted.
    pub held: Vec<IndexVersion>,
    /// Hits from the shard.
    pub hits: Vec<SearchHit>,
    /// Whether the body was received to its end.
    pub complete: bool,
}

/// Kind of failure of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No connection was available; no byte was sent.
    NotSent,
    /// The target shed the request before running it.
    Shed,
    /// The target is draining and refused the request before running it.
    Draining,
    /// The target lacks the requested version and refused the request before running it.
    WrongVersion {
        /// Index versions that the target holds, sorted.
        held: Vec<IndexVersion>,
    },
    /// The target does not hold the shard and refused the request before running it.
    NotHosted,
    /// The target reported that the deadline had passed before it ran the request.
    Expired,
    /// The target stopped the request because the daemon cancelled it.
    Cancelled,
    /// The connection was lost after bytes were sent.
    Lost,
    /// The connection was silent for so long that it is considered dead.
    Silent,
    /// The reply was malformed.
    Garbled,
}

impl AttemptFailure {
    /// Returns whether the target definitely did not run the request.
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

/// The part of a target's connections that this daemon may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionShare {
    /// Id of the target.
    pub target: TargetId,
    /// Maximum number of connections; 0 if this daemon must not connect.
    pub connections: u32,
}

/// An update of what is known about a target, reported by the target itself or by others.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetUpdate {
    /// Target that the update is about.
    pub target: TargetId,
    /// Content of the update.
    pub kind: TargetUpdateKind,
}

/// Content of a [`TargetUpdate`].
#[derive(Clone, Debug, PartialEq)]
pub enum TargetUpdateKind {
    /// Load reported by the target; only a hint, since it is outdated by `age`.
    Load {
        /// Busy slots as a share of all slots, from 0 to 1.
        load: f64,
        /// Age of the load report.
        age: Duration,
    },
    /// Index versions that the target holds, sorted.
    Held(Vec<IndexVersion>),
    /// The target reports that it is draining and must get no new requests.
    Draining,
    /// The target reports that it accepts requests, after draining or as a new target.
    Live,
    /// Whether the platform's list or a peer reports that the target is leaving. Only `false`, sent
    /// when none of them reports it any longer, clears this state: the target's own reports do not,
    /// since they may lag or be wrong.
    Leaving(bool),
    /// The target accepts connections again after it was lost.
    Reachable,
}
