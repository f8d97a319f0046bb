//! The services of `yuccaliftd`, the daemon on every entry host.
//!
//! - [`daemon`]: one daemon, its threads and the order of its services.
//! - [`lane`]: the engine and the calls to targets, on a thread of their own.
//! - `caller`: the callers' listener.
//! - `operator`, [`status_board`]: the operators' listener and what it tells.
//! - `listener`, [`rate_limit`]: the key, the limits and the typed errors of all listeners.
//! - [`control`]: configuration, membership and news.
//! - `ready_flag`: whether the daemon takes requests.
//! - `version_probe`: which index versions the targets of a new map hold.
//! - `leaf_client`: the connections to one target.
//! - [`events`], [`logging`], `decision_log`: the numbered events of the log.
//! - [`metrics`]: what is sent as `StatsD`.
//! - [`error`]: what can go wrong at the start.

mod caller;
pub mod control;
pub mod daemon;
mod decision_log;
pub mod error;
pub mod events;
pub mod lane;
mod leaf_client;
mod listener;
pub mod logging;
pub mod metrics;
mod operator;
pub mod rate_limit;
mod ready_flag;
pub mod status_board;
mod version_probe;

pub use daemon::{Daemon, DaemonAddresses};
pub use error::DaemonError;
pub use events::{EVENTS, EventSpec, LogEvent};
pub use logging::{LogGuard, start_logging};
pub use metrics::{DaemonMetric, METRICS, MetricKind, MetricSpec, MetricsClient};
