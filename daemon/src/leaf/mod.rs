//! The connections to targets, and the calls over them.
//!
//! - `stream`: the TCP stream beneath a connection, which records what passed.
//! - `connection`: an `awc` client that holds one stream for its whole life.
//! - `pool`: how many connections there are, which are idle.
//! - `reply`: what a target's answers mean to the engine.
//! - `client`: attempts, cancellations, and what finds dead connections.

mod client;
mod connection;
mod pool;
mod reply;
mod stream;

pub use client::{LeafChore, LeafClient};
