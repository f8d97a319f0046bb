//! Outcome of a request, and the refusal that reports it to the caller.
//!
//! See `docs/DESIGN.md`, "Outcomes".

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a request ran on any target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// No byte of the request reached a target, or the target refused it before running it.
    NotRun,
    /// The request ran.
    Ran,
    /// The request may have run; the caller must not treat it as not run.
    Unknown,
}

/// Reason why a request was refused or failed as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// The request is malformed.
    BadRequest,
    /// The daemon does not know the client account.
    UnknownAccount,
    /// The collection is unknown, or the account may not query it.
    UnknownCollection,
    /// The daemon has no configuration yet.
    NotReady,
    /// The daemon is stopping.
    Stopping,
    /// The account's queue is full.
    QueueFull,
    /// The deadline would pass before the request could be answered.
    Hopeless,
    /// The deadline passed.
    DeadlineExceeded,
    /// The request has crashed targets and is quarantined.
    Quarantined,
    /// No index version is available on all shards.
    NoSnapshot,
    /// The target refused the request before running it.
    TargetRefused,
    /// The connection to the target was lost while the request may have been running.
    TargetLost,
    /// The ticket is unknown, expired, or from an earlier incarnation.
    TicketInvalid,
    /// The daemon that owns the ticket is unreachable.
    OwnerUnreachable,
    /// The caller exceeds the listener's limit of requests per second.
    RateLimited,
    /// The key that peers and operators must present is missing or wrong.
    KeyInvalid,
    /// Internal error of the daemon.
    Internal,
}

/// A refused or failed request, with the step and the peer at which it failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Refusal {
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Reason for the refusal.
    pub code: RefusalCode,
    /// Step at which the request was refused, for example `admit` or `send`.
    pub step: Box<str>,
    /// Peer, target or host at which the request was refused; empty if none was involved.
    pub peer: Box<str>,
    /// Explanation for the caller.
    pub message: Box<str>,
}

impl Refusal {
    /// Creates a refusal of a request that did not run.
    pub fn not_run(code: RefusalCode, step: &str, message: impl Into<Box<str>>) -> Self {
        Self {
            outcome: Outcome::NotRun,
            code,
            step: step.into(),
            peer: "".into(),
            message: message.into(),
        }
    }

    /// Creates a refusal of a request that may have run.
    pub fn unknown(code: RefusalCode, step: &str, message: impl Into<Box<str>>) -> Self {
        Self {
            outcome: Outcome::Unknown,
            ..Self::not_run(code, step, message)
        }
    }

    /// Sets the peer at which the request was refused.
    #[must_use]
    pub fn at_peer(mut self, peer: impl Into<Box<str>>) -> Self {
        self.peer = peer.into();
        self
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?} ({:?}) at step {}",
            self.code, self.outcome, self.step
        )?;
        if !self.peer.is_empty() {
            write!(f, ", peer {}", self.peer)?;
        }
        write!(f, ": {}", self.message)
    }
}
