//! Services of the control plane, which carry out the decisions of [`yuccalift_core::control`].
//!
//! - [`control_lane`]: the actor that runs the control plane.
//! - `peer_client`, [`peer_listener`]: exchanges between daemons.
//! - `platform_client`: reads of the platform.
//! - [`value_check`]: validation of published values.
//! - `config_applier`: application of configuration and announcements to the engine.
//! - `start`, `stop_grace`: the start of the services, and the first step of a graceful stop.
//! - `notice_log`: log lines for the control plane's observations.
//! - [`control_traffic`]: counters of messages, bytes and platform calls.
//! - [`fleet_probe`], `probe_slot`: many control planes in one process, to measure how cost grows.
//!
//! See `docs/DESIGN.md`, "Configuration" and "Membership".

pub(crate) mod config_applier;
pub mod control_lane;
pub mod control_traffic;
pub mod fleet_probe;
mod notice_log;
mod peer_client;
pub mod peer_listener;
mod platform_client;
mod probe_slot;
pub(crate) mod start;
mod stop_grace;
pub mod value_check;

pub use control_lane::{
    Announce, CONTROL_SERVICE, ControlLane, ControlLaneSettings, ControlOutput, ControlSnapshot,
    GetControlSnapshot, LeaveFleet, ReceiveExchange, ReportPause, SetBounds, StopLane,
};
pub use control_traffic::ControlTraffic;
pub use fleet_probe::{FleetProbe, ProbeDaemon};
pub(crate) use notice_log::{log_failed_exchange, log_notice};
pub(crate) use peer_client::EXCHANGE_TIMEOUT;
pub use value_check::check_value;
