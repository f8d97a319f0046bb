//! The services of `yuccaliftd`, the daemon on every entry host.
//!
//! - [`daemon`]: one daemon, its threads and the order of its services.
//! - [`lane`]: the engine and the calls to targets, on a thread of their own.
//! - `target_links`, [`leaf`]: the connections to targets, and the calls over them.
//! - `caller`: the callers' listener.
//! - `execute`, [`peer_directory`], `peer_locator`: non-idempotent requests, and the way to a ticket's owner.
//! - `quarantine_driver`: holds back requests that crash their targets.
//! - `operator`, [`shared_status`]: the operators' listener and what it tells.
//! - `listener`, [`rate_limit`]: the key, the limits and the typed errors of all listeners.
//! - [`control`]: configuration, membership and news.
//! - [`relay`]: plain HTTP requests, passed on by published routes.
//! - `ready_flag`: whether the daemon takes requests.
//! - [`events`], [`logging`], `decision_log`: the numbered events of the log.
//! - [`metrics`], `text_metrics`: what is sent as `StatsD`, or read as text.
//! - [`error`]: what can go wrong at the start.

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
