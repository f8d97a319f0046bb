//! What daemons tell each other, as `rmp-serde` over HTTP with the shared key.
//!
//! `POST /peer/v1/execute` passes a [`PeerExecute`] to the owner of its ticket;
//! `POST /peer/v1/exchange` takes an [`ExchangeMessage`] and answers one.

use serde::{Deserialize, Serialize};
use yuccalift_core::Refusal;
pub use yuccalift_core::control::ExchangeMessage;

use crate::caller::{ExecuteAnswer, ExecuteBody};

/// Where daemons exchange what they know.
pub const EXCHANGE_PATH: &str = "/peer/v1/exchange";

/// A non-idempotent request, passed to the owner of its ticket.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerExecute {
    /// The caller's request as it came.
    pub body: ExecuteBody,
    /// How long the caller still waits, in milliseconds.
    pub time_left_ms: u64,
}

/// The owner's answer to a [`PeerExecute`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerExecuteReply {
    /// It ran, now or before.
    Ran(ExecuteAnswer),
    /// It was refused, or its outcome is not known.
    Refused(Refusal),
}
