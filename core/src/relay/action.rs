//! What the relay decides: [`RelayAction`] and its parts.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::event::TargetReply;
use super::target_record::TargetName;
use super::{AttemptKey, RequestKey, TargetKey};
use crate::quarantine::QuarantineNotice;

/// Something the relay decided, for the daemon to carry out.
#[derive(Clone, Debug)]
pub enum RelayAction {
    /// Send a request to a target.
    Send(AttemptOrder),
    /// Give up an attempt: its connection is closed, so that the target stops work.
    Cancel {
        /// The attempt.
        attempt: AttemptKey,
    },
    /// Answer a request's caller; this or [`RelayAction::Refuse`] comes once for each request.
    Answer {
        /// The request.
        request: RequestKey,
        /// The answer.
        answer: RelayAnswer,
    },
    /// Refuse a request's caller.
    Refuse {
        /// The request.
        request: RequestKey,
        /// The refusal.
        refusal: RelayRefusal,
    },
    /// Ask a target for a connection, and report whether it gave one.
    Probe(ProbeOrder),
    /// Tell the peers of a request that crashes targets.
    Tell(QuarantineNotice),
    /// Close the idle connections to a target that has left.
    Forget {
        /// The target.
        target: TargetKey,
    },
    /// A decision to be logged.
    Decided(RelayDecision),
}

/// One request to one target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptOrder {
    /// The attempt.
    pub attempt: AttemptKey,
    /// The request.
    pub request: RequestKey,
    /// The target.
    pub target: TargetKey,
    /// The target's name, which it is asked to have.
    pub name: TargetName,
    /// Where it accepts HTTP.
    pub address: SocketAddr,
    /// When the answer is no longer of use.
    pub deadline: Instant,
    /// Whether the request must not run twice, so that only a connection in recent use will do.
    pub careful: bool,
}

/// A question to a target whether it accepts connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeOrder {
    /// The target.
    pub target: TargetKey,
    /// Where it accepts HTTP.
    pub address: SocketAddr,
}

/// An answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RelayAnswer {
    /// One target's answer, unchanged.
    Whole(TargetReply),
    /// The merged parts of several services.
    Merged {
        /// The signatures of the parts.
        signatures: Vec<Box<str>>,
        /// How many services are left out.
        missing: u32,
        /// The greatest records of the parts, greatest first.
        body: Vec<u8>,
    },
}

/// Why a request is not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayRefusal {
    /// Nothing of it ran or will run; it may be sent again after the time given.
    NotRun {
        /// When there may be room.
        retry_after: Duration,
        /// Why.
        cause: RefusalCause,
    },
    /// Its targets failed, and it may have run.
    Failed,
    /// The time for it is over, and it may have run.
    TimedOut,
}

/// Why a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCause {
    /// No target that could answer is known.
    NoTarget,
    /// Every target that could answer is at its limit.
    NoRoom,
    /// Every target that was asked rejected it before running it.
    Rejected,
    /// The time left is too short for any target.
    NoTime,
    /// It has crashed targets, and is held back.
    Quarantined,
}

impl RefusalCause {
    /// A word for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoTarget => "no_target",
            Self::NoRoom => "no_room",
            Self::Rejected => "rejected",
            Self::NoTime => "no_time",
            Self::Quarantined => "quarantined",
        }
    }
}

/// Why an attempt was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendCause {
    /// The first for its service.
    First,
    /// Beside one that takes long.
    Hedge,
    /// After one that failed.
    Retry,
}

/// A decision worth a line in the log; `docs/EVENTS.md` lists them.
#[derive(Clone, Debug, PartialEq)]
pub enum RelayDecision {
    /// A request that must not run twice was sent: should this process end before the target
    /// answers, this is all that is left of it.
    SentOnce {
        /// The request.
        request: RequestKey,
        /// The target that is asked.
        target: TargetName,
        /// How long it has for it.
        time_left: Duration,
    },
    /// A second attempt was sent.
    SentAgain {
        /// The request.
        request: RequestKey,
        /// The target that is asked.
        target: TargetName,
        /// Why.
        cause: SendCause,
        /// How long ago the leg's first attempt was sent.
        after: Duration,
    },
    /// An attempt brought no success.
    AttemptFailed {
        /// The request.
        request: RequestKey,
        /// The target.
        target: TargetName,
        /// What became of it.
        outcome: &'static str,
        /// How long it took.
        took: Duration,
    },
    /// A service is left out of an answer.
    Missed {
        /// The request.
        request: RequestKey,
        /// The service.
        service: Box<str>,
        /// Why.
        reason: &'static str,
    },
    /// A target that failed gets no work for a while.
    Suspended {
        /// The target.
        target: TargetName,
        /// For how long.
        period: Duration,
    },
    /// A suspended target answered again.
    Resumed {
        /// The target.
        target: TargetName,
    },
    /// A target is new, changed or leaving.
    TargetChanged {
        /// The target.
        target: TargetName,
        /// What it is now.
        state: &'static str,
    },
}
