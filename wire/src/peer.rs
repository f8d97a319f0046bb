//! Messages between daemons, encoded with `rmp-serde`, over HTTP with the shared key.
//!
//! `POST /peer/v1/execute` forwards a [`PeerExecute`] to the owner of its ticket and returns a
//! [`PeerExecuteReply`]; `POST /peer/v1/exchange` takes an [`ExchangeMessage`] and returns one.

use serde::{Deserialize, Serialize};
use yuccalift_core::Refusal;
pub use yuccalift_core::control::ExchangeMessage;

use crate::caller::{ExecuteAnswer, ExecuteBody};

/// HTTP path on which daemons exchange membership and configuration state.
pub const EXCHANGE_PATH: &str = "/peer/v1/exchange";

/// A non-idempotent request that is forwarded to the owner of its ticket.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerExecute {
    /// Request as received from the caller.
    pub body: ExecuteBody,
    /// Time in milliseconds that the caller will still wait.
    pub time_left_ms: u64,
}

/// The ticket owner's answer to a [`PeerExecute`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerExecuteReply {
    /// The request ran, either for this message or for an earlier delivery.
    Ran(ExecuteAnswer),
    /// The request was refused, or its outcome is unknown.
    Refused(Refusal),
}
