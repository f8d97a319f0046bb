//! The services of `yuccaliftd`, the daemon on every entry host.
//!
//! - [`daemon`]: one daemon, its threads and the order of its services.
//! - [`lane`]: the engine and the calls to targets, on a thread of their own.
//! - `caller`: the callers' listener.
//! - `config_service`, `platform_reader`: what the platform publishes.
//! - [`leaf`]: the connections to targets, and the calls over them.
//! - [`error`]: what can go wrong at the start.

mod caller;
mod config_service;
pub mod daemon;
pub mod error;
pub mod lane;
pub mod leaf;
mod platform_reader;

pub use daemon::{Daemon, DaemonAddresses};
pub use error::DaemonError;
