//! Connections to targets, and the calls over them.
//!
//! - `stream`: the TCP stream of a connection, which records reads and writes.
//! - `connection`: an `awc` client that uses a single stream for its whole life.
//! - `pool`: open and idle connections to one target, within the daemon's share.
//! - `reply`: translation of a target's answers for the engine.
//! - `failure`: translation of failed calls for the engine.
//! - `client`: attempts and cancellations.
//! - `maintenance`: detection of dead connections and lost targets, and status requests.

mod client;
mod connection;
mod failure;
mod maintenance;
mod pool;
mod reply;
mod stream;

pub use client::LeafClient;
pub use maintenance::MaintenanceTask;
