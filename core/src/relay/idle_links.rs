//! Idle connections to a target, as far as the engine knows: [`IdleLinks`].
//!
//! A request on a new connection waits for the handshake, and the target spends time on accepting
//! it. In a large fleet each daemon sends a request to a target so rarely that taking turns between
//! the targets of a service lets nearly every connection expire. Requests therefore go to a target
//! with an idle connection, unless another one is clearly faster.

use std::time::Instant;

/// The times until which idle connections to one target are kept, in the order in which the
/// connections became idle.
///
/// This is an estimate: the target may close a connection earlier, which costs a new connection and
/// nothing else.
#[derive(Clone, Debug, Default)]
pub(super) struct IdleLinks {
    expiries: Vec<Instant>,
}

impl IdleLinks {
    /// Records that a connection became idle and is kept until `expires`.
    pub(super) fn add(&mut self, now: Instant, expires: Instant) {
        self.expiries.retain(|expiry| *expiry > now);
        self.expiries.push(expires);
    }

    /// Removes the connection that a request takes: the one that became idle last.
    pub(super) fn take(&mut self) {
        self.expiries.pop();
    }

    /// Returns whether a connection is available.
    pub(super) fn is_available(&self, now: Instant) -> bool {
        self.expiries.iter().any(|expiry| *expiry > now)
    }
}
