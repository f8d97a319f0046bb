//! What the relay is told: [`RelayEvent`] and its parts.

use std::sync::Arc;
use std::time::Instant;

use super::route::{RouteEntry, RouteTable};
use super::target_record::{TargetName, TargetRecord};
use super::{AttemptKey, RequestKey, TargetKey};
use crate::ids::Fingerprint;
use crate::quarantine::QuarantineNotice;

/// Something that happened, told to the relay.
#[derive(Clone, Debug)]
pub enum RelayEvent {
    /// Another version of the routes is in force; an older one than the present is passed over.
    RoutesChanged(Arc<RouteTable>),
    /// A target is listed, new or changed.
    TargetListed(TargetRecord),
    /// A target is listed no longer.
    TargetUnlisted {
        /// Its name.
        name: TargetName,
    },
    /// A caller's request arrived.
    Submit(RelayRequest),
    /// A caller has gone before its answer.
    CallerGone {
        /// The request.
        request: RequestKey,
    },
    /// An attempt ended; just one such event follows each send.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptKey,
        /// What became of it.
        outcome: TargetOutcome,
    },
    /// A target was asked for a connection; just one such event follows each probe.
    Probed {
        /// The target.
        target: TargetKey,
        /// What came of it.
        reach: TargetReach,
    },
    /// A peer says something of a request that crashes targets.
    Noticed(QuarantineNotice),
    /// What peers said of such a request is over.
    NoticeEnded(Fingerprint),
    /// How many daemons there seem to be.
    FleetSized(u32),
    /// The list of targets can be read again after it could not be for a while.
    ListRegained,
    /// Its options have changed.
    Retuned(super::RelayTuning),
    /// The process was paused; what looks late may not be.
    Paused,
    /// The time that [`super::RelayEngine::next_wake`] asked for has come.
    Tick,
}

/// A caller's request, its route found.
#[derive(Clone, Debug)]
pub struct RelayRequest {
    /// The daemon's own number of the request.
    pub key: RequestKey,
    /// The route that it goes by, also after the table changes.
    pub route: Arc<RouteEntry>,
    /// A hash of all that is asked, equal for the same request sent again.
    pub fingerprint: Fingerprint,
    /// When its caller stops waiting.
    pub deadline: Instant,
}

/// What became of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetOutcome {
    /// The target answered, whole; the status tells whether with success.
    Replied(TargetReply),
    /// The target said that it did not run the request: it is full, or the deadline passed first.
    Rejected,
    /// Another target has the address now; the request was not run.
    Misdirected,
    /// No connection could be had; no byte was sent.
    NotSent,
    /// The connection ended or broke after bytes were sent.
    Lost,
    /// What came is not a whole answer to this request.
    Garbled,
    /// It was cancelled, or its deadline passed while it was in flight.
    Abandoned {
        /// Whether bytes of the request were sent.
        sent: bool,
    },
}

impl TargetOutcome {
    /// Whether the target certainly did not run the request.
    pub fn is_not_run(&self) -> bool {
        match self {
            Self::Rejected | Self::Misdirected | Self::NotSent => true,
            Self::Abandoned { sent } => !sent,
            Self::Replied(_) | Self::Lost | Self::Garbled => false,
        }
    }

    /// A word for logs.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Replied(reply) if reply.is_success() => "answered",
            Self::Replied(_) => "failed",
            Self::Rejected => "rejected",
            Self::Misdirected => "misdirected",
            Self::NotSent => "not_sent",
            Self::Lost => "lost",
            Self::Garbled => "garbled",
            Self::Abandoned { .. } => "abandoned",
        }
    }
}

/// A target's whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetReply {
    /// The HTTP status.
    pub status: u16,
    /// The target's signature of the answer, by which a caller can check it.
    pub signature: Option<Box<str>>,
    /// Other headers that are passed on, in the order in which they came.
    pub headers: Vec<(Box<str>, Box<[u8]>)>,
    /// The body.
    pub body: Box<[u8]>,
}

impl TargetReply {
    /// Whether it is a success that a caller can check.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status) && self.signature.is_some()
    }
}

/// What came of asking a target for a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetReach {
    /// It is there.
    Reached,
    /// Its host is there, but nothing listens.
    Refused,
    /// Nothing came back in time.
    Silent,
}
