//! The typed, validated settings of yuccalift.
//!
//! - [`daemon`]: the settings of one daemon.

pub mod daemon;

pub use daemon::{DaemonSettings, ListenerLimits, LogFormat, LogSettings};
