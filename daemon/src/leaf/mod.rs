//! The connections to targets, and the calls over them.
//!
//! - `stream`: the TCP stream beneath a connection, which records what passed.
//! - `connection`: an `awc` client that holds one stream for its whole life.
//! - `pool`: how many connections there are, which are idle.
//! - `reply`: what a target's answers mean to the engine.
//! - `failure`: how a call fails, and what that means to the engine.
//! - `client`: attempts and cancellations.
//! - `maintenance`: what finds dead connections, lost targets and changed ones.

mod client;
mod connection;
mod failure;
mod maintenance;
mod pool;
mod reply;
mod stream;

pub use client::LeafClient;
pub use maintenance::MaintenanceTask;
