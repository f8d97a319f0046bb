//! The services of `yuccaliftd`, the daemon on every entry host.
//!
//! - [`daemon`]: the lifecycle of one daemon: its threads, and the start and stop order of services.
//! - [`lane`]: the data-path thread, which runs the engine and sends requests to targets.
//! - `target_links`, [`leaf`]: connections to targets, and requests over them.
//! - `caller`: the HTTP listener for callers.
//! - `execute`, [`peer_directory`], `peer_locator`: non-idempotent requests, and how they reach the owner of their ticket.
//! - `quarantine_driver`: holds back requests that crash their targets.
//! - `operator`, [`shared_status`]: the HTTP listener for operators, and the status that it reports.
//! - `listener`, [`rate_limit`]: shared key, limits and typed errors of all listeners.
//! - [`control`]: configuration, membership and gossip.
//! - [`relay`]: forwards plain HTTP requests by published routes.
//! - `ready_flag`: whether the daemon accepts requests.
//! - [`events`], [`logging`], `decision_log`: the numbered log events.
//! - [`metrics`], `text_metrics`: metrics, sent as `StatsD` or exported as text.
//! - [`error`]: errors that keep a daemon from starting.

mod caller;
pub mod control;
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
mod peer_locator;
mod quarantine_driver;
pub mod rate_limit;
mod ready_flag;
pub mod relay;
pub mod shared_status;
mod target_links;
mod text_metrics;

pub use daemon::{Daemon, DaemonAddresses};
pub use error::DaemonError;
pub use events::{EVENTS, EventSpec, LogEvent};
pub use logging::{LogGuard, start_logging};
pub use metrics::{DaemonMetric, METRICS, MetricKind, MetricSpec, MetricsClient};
pub use peer_directory::{PeerAddress, PeerDirectory};
pub use relay::process::run_relay;
pub use relay::settings_watch::SettingsFile;
