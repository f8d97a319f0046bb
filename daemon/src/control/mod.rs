//! The control plane's services: they carry out what [`yuccalift_core::control`] decides.
//!
//! - [`control_lane`]: the actor that runs the control plane.
//! - `peer_client`, [`peer_listener`]: exchanges between daemons.
//! - `platform_client`: reads of the platform.
//! - [`value_check`]: the check of each published value.
//! - `config_applier`: what is in force reaches the engine.
//! - `start`, `stop_grace`: the services' start, and the first step of a graceful stop.
//! - `notice_log`: a line in the log for what was noticed.
//! - [`control_traffic`]: what control costs.
//! - [`fleet_probe`], `probe_slot`: many control planes in one process, to measure slopes.
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
pub(crate) use notice_log::log_notice;
pub(crate) use peer_client::EXCHANGE_TIMEOUT;
pub use value_check::check_value;
