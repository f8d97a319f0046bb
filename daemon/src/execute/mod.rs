//! Non-idempotent requests: tickets, their one execution, and the way to a ticket's owner.
//!
//! - `desk`: the ledger of this daemon's tickets, with those who wait for an execution's end.
//! - `run`: one execution, from the engine to an answer.
//! - `pass_on`: a request whose ticket another daemon owns.
//! - `peer`: a request that another daemon passes on to this one.

mod desk;
mod pass_on;
mod peer;
mod run;

pub(crate) use desk::TicketDesk;
pub(crate) use pass_on::OwnerCaller;
pub(crate) use peer::{PeerExecuteState, configure as configure_peer};
pub(crate) use run::run_without_ticket;
