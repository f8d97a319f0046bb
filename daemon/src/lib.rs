//! The services of `yuccaliftd`, the daemon on every entry host.
//!
//! - [`daemon`]: one daemon, its threads and the order of its services.
//! - [`lane`]: the engine and the calls to targets, on a thread of their own.
//! - `target_links`, [`leaf`]: the connections to targets, and the calls over them.
//! - `caller`: the callers' listener.
//! - `execute`, [`peer_directory`]: non-idempotent requests, and the way to a ticket's owner.
//! - `operator`, [`status_board`]: the operators' listener and what it tells.
//! - `listener`, [`rate_limit`]: the key, the limits and the typed errors of all listeners.
//! - `config_service`, `platform_reader`: what the platform publishes.
//! - [`events`], [`logging`], `decision_log`: the numbered events of the log.
//! - [`metrics`]: what is sent as `StatsD`.
//! - [`error`]: what can go wrong at the start.

mod caller;
mod config_service;
pub mod daemon;
mod decision_log;
pub mod error;
pub mod events;
mod execute;
pub mod lane;
pub mod leaf;
mod listener;
pub mod logging;
pub mod metrics;
mod operator;
pub mod peer_directory;
mod platform_reader;
pub mod rate_limit;
pub mod status_board;
mod target_links;

pub use daemon::{Daemon, DaemonAddresses};
pub use error::DaemonError;
pub use events::{EVENTS, EventSpec, LogEvent};
pub use logging::{LogGuard, start_logging};
pub use metrics::{DaemonMetric, METRICS, MetricKind, MetricSpec, MetricsClient};
pub use peer_directory::{PeerAddress, PeerDirectory};
