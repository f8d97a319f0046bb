//! Outputs of the relay: [`RelayAction`] and its parts.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::event::TargetReply;
use super::load_estimate::LoadTrustChange;
use super::route::ServiceName;
use super::target_hold::HoldChange;
use super::target_record::TargetName;
use super::{AttemptKey, RequestKey, TargetKey};
use crate::ids::DataCentreName;
use crate::quarantine::QuarantineNotice;

/// A decision of the relay that the daemon must carry out.
#[derive(Clone, Debug)]
pub enum RelayAction {
    /// Sends a request to a target.
    Send(AttemptOrder),
    /// Cancels an attempt by closing its connection, so that the target stops working on it.
    Cancel {
        /// The attempt to cancel.
        attempt: AttemptKey,
    },
    /// Answers the caller; each request ends with exactly one `Answer` or [`RelayAction::Refuse`],
    /// unless its caller disconnects first.
    Answer {
        /// The request that is answered.
        request: RequestKey,
        /// The answer to write to the caller.
        answer: RelayAnswer,
    },
    /// Refuses the request of a caller.
    Refuse {
        /// The request that is refused.
        request: RequestKey,
        /// The reason, from which the HTTP status is derived.
        refusal: RelayRefusal,
        /// The service that the refusal is counted for; the first one if several have the same
        /// fault, empty if it is not due to a service.
        service: ServiceName,
    },
    /// Opens a probe connection to a target; the result is reported by
    /// [`RelayEvent::Probed`](super::RelayEvent::Probed).
    Probe(ProbeOrder),
    /// Forwards a request to a peer; the result is reported by
    /// [`RelayEvent::ForwardEnded`](super::RelayEvent::ForwardEnded).
    Forward(ForwardOrder),
    /// Cancels a forwarded request by closing its connection.
    CancelForward {
        /// The request that was forwarded.
        request: RequestKey,
    },
    /// Notifies the peers of a request that crashes targets.
    NotifyPeers(QuarantineNotice),
    /// Closes the idle connections to a target that has left.
    ForgetTarget {
        /// The target that has left.
        target: TargetKey,
    },
    /// Records a decision in the log.
    Decided(RelayDecision),
}

/// An attempt to send a request to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptOrder {
    /// Key by which the end of the attempt is reported.
    pub attempt: AttemptKey,
    /// The request to send.
    pub request: RequestKey,
    /// The target to send the request to.
    pub target: TargetKey,
    /// Name that the target is expected to have; a target with another name rejects the request.
    pub name: TargetName,
    /// Address at which the target accepts HTTP.
    pub address: SocketAddr,
    /// Time after which the answer is no longer useful.
    pub deadline: Instant,
    /// Whether the request must not run twice, in which case only a recently used connection may be
    /// reused.
    pub at_most_once: bool,
    /// Whether the answer becomes a part of a merged one.
    pub is_part: bool,
}

/// A request to be forwarded to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ForwardOrder {
    /// The request to forward.
    pub request: RequestKey,
    /// Address of the peer's listener for peers.
    pub peer: SocketAddr,
    /// Time by which the peer must answer.
    pub deadline: Instant,
    /// Whether the request must not run twice, in which case no connection is used again for it.
    pub at_most_once: bool,
    /// Number of attempts that targets may have received.
    pub attempts_used: u32,
}

/// A request to check whether a target accepts connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeOrder {
    /// The target to probe.
    pub target: TargetKey,
    /// Address at which the target accepts HTTP.
    pub address: SocketAddr,
}

/// An answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RelayAnswer {
    /// The answer of a single target, unchanged.
    Forwarded(TargetReply),
    /// The answer of a peer that the request was forwarded to, unchanged.
    FromPeer(TargetReply),
    /// An answer merged from the replies of several services.
    Merged {
        /// Signatures of the merged replies, in the order of the route's services.
        signatures: Vec<Box<str>>,
        /// Number of services without a reply in this answer.
        missing: u32,
        /// The greatest records of all replies, in descending order.
        body: Vec<u8>,
    },
}

/// The reason for which a request is not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayRefusal {
    /// The request has not run and will not run; the caller may repeat it after `retry_after`.
    NotRun {
        /// Time after which a repeated request may find capacity.
        retry_after: Duration,
        /// The reason for which the request has not run.
        cause: RefusalCause,
    },
    /// All attempts failed, and the request may have run.
    Failed,
    /// The deadline has passed, and the request may have run.
    TimedOut,
    /// A peer forwarded the request, and this daemon reaches no target either.
    CutOff {
        /// Whether a target may have run the request.
        may_have_run: bool,
    },
}

/// The reason for which a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCause {
    /// No usable target is known.
    NoTarget,
    /// All targets are in evacuated data centres.
    Evacuated,
    /// Targets are cold, and this daemon's part of the rate that they accept is used up.
    Cold,
    /// All usable targets are at their in-flight limit.
    NoCapacity,
    /// All targets that received the request rejected it without running it.
    Rejected,
    /// The deadline is too close for any target to answer.
    NoTime,
    /// The request was not admitted, since its targets are under pressure.
    Overload,
    /// The request has crashed targets and is quarantined.
    Quarantined,
}

impl RefusalCause {
    /// Returns the name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoTarget => "no_target",
            Self::Evacuated => "evacuated",
            Self::Cold => "cold",
            Self::NoCapacity => "no_room",
            Self::Rejected => "rejected",
            Self::NoTime => "no_time",
            Self::Overload => "overload",
            Self::Quarantined => "quarantined",
        }
    }

    /// Returns the cause that a caller is told if the services of its request are missing for
    /// several, and none if it is told another one. The order is fixed, so that a request is told
    /// the same cause before and after it is sent.
    pub(super) fn of_missing(is_present: impl Fn(Self) -> bool) -> Option<Self> {
        [Self::Evacuated, Self::Cold]
            .into_iter()
            .find(|cause| is_present(*cause))
    }
}

/// The reason for which an attempt was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendCause {
    /// The first attempt of a leg.
    First,
    /// An additional attempt while a slow one is in flight.
    Hedge,
    /// An attempt that replaces a failed one.
    Retry,
}

/// A decision that is logged; `docs/EVENTS.md` lists the events.
#[derive(Clone, Debug, PartialEq)]
pub enum RelayDecision {
    /// A request that must not run twice was sent. The event is logged before the outcome is known,
    /// since it is the only trace of the request if this process ends before the target answers.
    SentAtMostOnce {
        /// The request that was sent.
        request: RequestKey,
        /// Name of the target that received it.
        target: TargetName,
        /// Time left until the request's deadline.
        time_left: Duration,
    },
    /// Slow legs of a request were sent to a second target each.
    Hedged {
        /// The request whose legs were slow.
        request: RequestKey,
        /// Names of the second targets, at least one.
        targets: Vec<TargetName>,
        /// Greatest time since the first attempt of one of the legs was sent.
        after: Duration,
    },
    /// A leg was sent again after a failed attempt.
    AttemptRepeated {
        /// The request that was sent again.
        request: RequestKey,
        /// Name of the target that received it.
        target: TargetName,
        /// Time since the leg's first attempt was sent.
        after: Duration,
    },
    /// An attempt ended without success.
    AttemptFailed {
        /// The request of the attempt.
        request: RequestKey,
        /// Name of the target that the attempt was sent to.
        target: TargetName,
        /// The outcome, as named by [`TargetOutcome::as_str`](super::TargetOutcome::as_str).
        outcome: &'static str,
        /// Time between sending the attempt and its end.
        took: Duration,
    },
    /// An answer does not include the reply of a service.
    Missed {
        /// The request whose answer is incomplete.
        request: RequestKey,
        /// Name of the missing service.
        service: Box<str>,
        /// The reason for which the service is missing.
        reason: &'static str,
    },
    /// Requests of a route were not admitted. Logged at most once a second for each route.
    Shed {
        /// Name of the route.
        route: Box<str>,
        /// Name of the service whose targets put the route under pressure; empty if it is unknown.
        service: Box<str>,
        /// Number of requests that were not admitted since the last such decision.
        requests: u32,
        /// The pressure; 1 means that the latency aim is used up.
        pressure: f64,
    },
    /// No target is reached; requests are forwarded to peers.
    TargetsLost {
        /// Number of targets that failed since one was last reached.
        failed: usize,
    },
    /// A target is reached again.
    TargetsRegained {
        /// Time for which none was.
        outage: Duration,
    },
    /// A peer did not serve a forwarded request.
    ForwardFailed {
        /// The request that was forwarded.
        request: RequestKey,
        /// Address of the peer.
        peer: SocketAddr,
        /// The outcome, as named by [`ForwardOutcome::as_str`](super::ForwardOutcome::as_str).
        outcome: &'static str,
        /// Time between sending the request and its end.
        took: Duration,
    },
    /// A target failed and receives no requests for a while.
    Suspended {
        /// Name of the suspended target.
        target: TargetName,
        /// Length of the suspension.
        period: Duration,
    },
    /// A suspended target is available again.
    Resumed {
        /// Name of the target.
        target: TargetName,
    },
    /// The listing state of a target changed.
    TargetChanged {
        /// Name of the target.
        target: TargetName,
        /// The new listing state, as it appears in the log.
        state: &'static str,
    },
    /// The evacuation of a data centre began or ended.
    EvacuationChanged {
        /// Name of the data centre.
        data_centre: DataCentreName,
        /// Whether the data centre is evacuated now.
        active: bool,
        /// Number of data centres that are evacuated now.
        evacuated: usize,
    },
    /// What a target says of itself changed how many requests it may get.
    HoldChanged {
        /// Name of the target.
        target: TargetName,
        /// The change.
        change: HoldChange,
    },
    /// The trust in the load that a target reports changed.
    LoadTrustChanged {
        /// Name of the target.
        target: TargetName,
        /// The change.
        change: LoadTrustChange,
    },
}
