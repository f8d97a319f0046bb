//! Non-idempotent requests: tickets, executions, and forwarding to a ticket's owner.
//!
//! - `ticket_service`: the ledger of this daemon's tickets, and the callers that wait for a result.
//! - `execution`: one execution, from the engine to an answer.
//! - `forward`: requests whose ticket another daemon owns.
//! - `peer`: requests that another daemon forwards to this one.

mod execution;
mod forward;
mod peer;
mod ticket_service;

pub(crate) use execution::run_without_ticket;
pub(crate) use forward::OwnerClient;
pub(crate) use peer::{PeerExecuteState, configure as configure_peer};
pub(crate) use ticket_service::TicketService;
