//! What became of a request: the truth that each refusal and each error carries.
//!
//! See `docs/DESIGN.md`, "Outcomes".

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a request ran on any target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// No byte of it reached a target, or the target said that it refused before running it.
    NotRun,
    /// It ran.
    Ran,
    /// It may have run; the caller must not take it for not run.
    Unknown,
}

/// Why a request was refused or failed as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// The request itself is malformed.
    BadRequest,
    /// The client account is not known to the daemon.
    UnknownAccount,
    /// The collection is unknown, or not among those the account may ask.
    UnknownCollection,
    /// The daemon knows no configuration yet.
    NotReady,
    /// The daemon is stopping.
    Stopping,
    /// The queue of the account is full.
    QueueFull,
    /// The deadline would pass before an answer could be made.
    Hopeless,
    /// The deadline passed.
    DeadlineExceeded,
    /// The request has crashed targets and is held back.
    Quarantined,
    /// No snapshot covers the shards.
    NoSnapshot,
    /// The target refused it before running it.
    TargetRefused,
    /// The connection to the target was lost while the request might have run.
    TargetLost,
    /// The ticket is unknown, expired, or of an earlier incarnation.
    TicketInvalid,
    /// The daemon that owns the ticket cannot be reached.
    OwnerUnreachable,
    /// The caller sends more requests a second than the listener allows.
    RateLimited,
    /// The key that peers and operators must show is missing or wrong.
    KeyInvalid,
    /// Something in the daemon failed.
    Internal,
}

/// A request that was refused or failed, with the step and the peer at which that arose.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Refusal {
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Why it was refused.
    pub code: RefusalCode,
    /// The step at which it was refused, for instance `admit` or `send`.
    pub step: Box<str>,
    /// The peer, target or host at which it arose; empty where there is none.
    pub peer: Box<str>,
    /// What a person needs to know.
    pub message: Box<str>,
}

impl Refusal {
    /// Makes a refusal of a request that has not run.
    pub fn not_run(code: RefusalCode, step: &str, message: impl Into<Box<str>>) -> Self {
        Self {
            outcome: Outcome::NotRun,
            code,
            step: step.into(),
            peer: "".into(),
            message: message.into(),
        }
    }

    /// Makes a refusal of a request that may have run.
    pub fn unknown(code: RefusalCode, step: &str, message: impl Into<Box<str>>) -> Self {
        Self {
            outcome: Outcome::Unknown,
            ..Self::not_run(code, step, message)
        }
    }

    /// Names the peer at which the refusal arose.
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
