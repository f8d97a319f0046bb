//! Inputs of the relay: [`RelayEvent`] and its parts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use super::reply_body::ReplyBody;
use super::route::{RouteEntry, RouteTable};
use super::self_report::SelfReport;
use super::target_record::{TargetName, TargetRecord};
use super::{AttemptKey, RequestKey, TargetKey};
use crate::ids::{DataCentreName, Fingerprint};
use crate::quarantine::QuarantineNotice;

/// An input of the relay.
#[derive(Clone, Debug)]
pub enum RelayEvent {
    /// A route table was published; it is ignored unless its version is newer than the current one.
    RoutesChanged(Arc<RouteTable>),
    /// A target was listed, or its record changed.
    TargetListed(TargetRecord),
    /// A target is no longer listed.
    TargetUnlisted {
        /// Name of the target.
        name: TargetName,
    },
    /// The evacuation of a data centre began (`active`) or ended.
    EvacuationChanged {
        /// Name of the data centre.
        data_centre: DataCentreName,
        /// Whether the data centre is evacuated now.
        active: bool,
    },
    /// A request of a caller arrived.
    Submit(RelayRequest),
    /// A caller disconnected before its request was answered.
    CallerDisconnected {
        /// The request of the caller.
        request: RequestKey,
    },
    /// An attempt ended; follows each [`RelayAction::Send`](super::RelayAction::Send) exactly once.
    AttemptEnded {
        /// The attempt that ended.
        attempt: AttemptKey,
        /// The way in which it ended.
        outcome: TargetOutcome,
        /// What the target said of itself; `None` without a complete answer of that target.
        report: Option<SelfReport>,
    },
    /// A connection to a target became idle and is kept until `expires`.
    LinkIdle {
        /// The target of the connection.
        target: TargetKey,
        /// Time at which the connection is closed unless a request uses it.
        expires: Instant,
    },
    /// A probe ended; follows each [`RelayAction::Probe`](super::RelayAction::Probe) exactly once.
    Probed {
        /// The target that was probed.
        target: TargetKey,
        /// The result of the probe.
        outcome: ProbeOutcome,
    },
    /// A connection to a target was opened.
    LinkOpened,
    /// The peers that requests may be forwarded to changed.
    PeersChanged(Vec<PeerAddress>),
    /// A forwarded request ended; follows each [`RelayAction::Forward`](super::RelayAction::Forward)
    /// unless it was cancelled.
    ForwardEnded {
        /// The request that was forwarded.
        request: RequestKey,
        /// The way in which it ended.
        outcome: ForwardOutcome,
    },
    /// A peer sent a notice of a request that crashes targets.
    Notice(QuarantineNotice),
    /// The hold that a peer's notice started for requests with this fingerprint has ended.
    NoticeEnded(Fingerprint),
    /// The estimated number of daemons changed.
    DaemonCountChanged(u32),
    /// The process is about to end; each request is answered or refused now.
    Ending,
    /// The list of targets and evacuations is readable again after an outage, or was restored from an
    /// older copy.
    ListRegained,
    /// The tunable options changed.
    TuningChanged(super::RelayTuning),
    /// The process was paused, so measured delays may be too long.
    Paused,
    /// The time returned by [`super::RelayEngine::next_wake`] has come.
    Tick,
}

/// A request of a caller, with its route resolved.
#[derive(Clone, Debug)]
pub struct RelayRequest {
    /// Key of the request, assigned by the daemon.
    pub key: RequestKey,
    /// Route of the request; it stays in use if the route table changes.
    pub route: Arc<RouteEntry>,
    /// Hash of the request's contents; equal for repeated requests.
    pub fingerprint: Fingerprint,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
    /// Sender of the request.
    pub origin: RequestOrigin,
}

/// The sender of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RequestOrigin {
    /// A caller.
    #[default]
    Caller,
    /// A peer that can't reach its targets. Such a request is never forwarded again.
    Peer {
        /// Number of attempts that targets may have received before.
        attempts_used: u32,
    },
}

/// A peer that requests may be forwarded to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerAddress {
    /// Address of its listener for peers.
    pub address: SocketAddr,
    /// Data centre of the peer.
    pub data_centre: DataCentreName,
}

/// The way in which a forwarded request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ForwardOutcome {
    /// The peer's answer, which is passed on to the caller.
    Answered(TargetReply),
    /// The peer can't serve requests now.
    Unserved {
        /// Whether a target may have run the request.
        may_have_run: bool,
    },
    /// The peer could not be reached, and no byte was sent.
    NotSent,
    /// The peer did not answer, and a target may have run the request.
    Lost,
}

impl ForwardOutcome {
    /// Returns the name used in logs.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Unserved { .. } => "unserved",
            Self::NotSent => "not_sent",
            Self::Lost => "lost",
        }
    }
}

/// The way in which an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetOutcome {
    /// The target sent a complete answer; its status tells success from failure.
    Replied(TargetReply),
    /// The target declared that it did not run the request, since it is full or the deadline passed
    /// first.
    Rejected,
    /// The address now belongs to another target, and the request was not run.
    Misdirected,
    /// No connection could be established, and no byte was sent.
    NotSent,
    /// The connection closed or failed after bytes were sent.
    Lost,
    /// The bytes received are not a complete answer to this request.
    Garbled,
    /// The attempt was cancelled, or its deadline passed while it was in flight.
    Abandoned {
        /// Whether any bytes of the request were sent.
        sent: bool,
    },
}

impl TargetOutcome {
    /// Returns whether the target certainly did not run the request.
    pub fn is_not_run(&self) -> bool {
        match self {
            Self::Rejected | Self::Misdirected | Self::NotSent => true,
            Self::Abandoned { sent } => !sent,
            Self::Replied(_) | Self::Lost | Self::Garbled => false,
        }
    }

    /// Returns the name used in logs.
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

/// A complete answer of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetReply {
    /// HTTP status code of the answer.
    pub status: u16,
    /// The target's signature of the answer, by which the caller can verify it.
    pub signature: Option<Box<str>>,
    /// Headers that are forwarded to the caller, in the order received.
    pub headers: Vec<(Box<str>, Box<[u8]>)>,
    /// Body of the answer, unchanged.
    pub body: ReplyBody,
}

impl TargetReply {
    /// Returns true for a 2xx status with a signature, so that the caller can verify the answer.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status) && self.signature.is_some()
    }
}

/// The result of probing a target with a connection attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The target accepted the connection, or is otherwise known to be running.
    Reached,
    /// The host refused the connection: it is up, but nothing listens on the port.
    Refused,
    /// The host did not respond in time, or no network path to it exists.
    NoResponse,
}
