//! Non-idempotent requests: tickets, their one execution, and the way to a ticket's owner.
//!
//! - `ticket_service`: the ledger of this daemon's tickets, with those who wait for an execution's end.
//! - `run`: one execution, from the engine to an answer.
//! - `forward`: a request whose ticket another daemon owns.
//! - `peer`: a request that another daemon passes on to this one.

mod execution;
mod forward;
mod peer;
mod ticket_service;

pub(crate) use execution::run_without_ticket;
pub(crate) use forward::OwnerClient;
pub(crate) use peer::{PeerExecuteState, configure as configure_peer};
pub(crate) use ticket_service::TicketService;
