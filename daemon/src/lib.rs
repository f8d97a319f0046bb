//! The services of `yuccaliftd`, the daemon on every entry host.
//!
//! - [`daemon`]: one daemon, its threads and the order of its services.
//! - [`lane`]: the engine and the calls to targets, on a thread of their own.
//! - `caller`: the callers' listener.
//! - [`control`]: configuration, membership and news.
//! - `ready_flag`: whether the daemon takes requests.
//! - `leaf_client`: the connections to one target.
//! - [`error`]: what can go wrong at the start.

mod caller;
pub mod control;
pub mod daemon;
pub mod error;
pub mod lane;
mod leaf_client;
mod ready_flag;

pub use daemon::{Daemon, DaemonAddresses};
pub use error::DaemonError;
