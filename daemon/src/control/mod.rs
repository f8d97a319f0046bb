//! The control plane's services: they carry out what [`yuccalift_core::control`] decides.
//!
//! - [`control_lane`]: the actor that runs the control plane.
//! - `peer_client`, [`peer_listener`]: exchanges between daemons.
//! - `platform_client`: reads of the platform.
//! - [`value_check`]: the check of each published value.
//! - `force_service`: what is in force reaches the engine.
//! - `start`, `stop_grace`: the services' start, and the first step of a graceful stop.
//! - `notice_log`: a line in the log for what was noticed.
//! - [`control_traffic`]: what control costs.
//! - [`fleet_probe`], `probe_slot`: many control planes in one process, to measure slopes.
//!
//! See `docs/DESIGN.md`, "Configuration" and "Membership".

pub mod control_lane;
pub mod control_traffic;
pub mod fleet_probe;
pub(crate) mod force_service;
mod notice_log;
mod peer_client;
pub mod peer_listener;
mod platform_client;
mod probe_slot;
pub(crate) mod start;
mod stop_grace;
pub mod value_check;

pub use control_lane::{
    AnnounceNews, CONTROL_SERVICE, ControlLane, ControlOutput, ControlSnapshot, GetControl,
    LaneSettings, LeaveFleet, SetBounds, StopLane, TakeExchange, TakePause,
};
pub use control_traffic::ControlTraffic;
pub use fleet_probe::{FleetProbe, ProbeDaemon};
pub(crate) use notice_log::log_notice;
pub(crate) use peer_client::EXCHANGE_TIMEOUT;
pub use value_check::check_value;
