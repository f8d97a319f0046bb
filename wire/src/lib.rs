//! The typed messages of yuccalift.
//!
//! - [`caller`]: what callers send and get, as JSON.
//! - [`leaf`]: what targets are asked and answer, as JSON.
//! - [`platform`]: what the platform publishes, as JSON.
//! - [`peer`]: what daemons tell each other, as `rmp-serde`.
//! - [`operator`]: what the command line asks a daemon, as JSON.
//! - [`codec`]: reading and writing them, with errors that name the step and the peer.

pub mod caller;
pub mod codec;
pub mod leaf;
pub mod operator;
pub mod peer;
pub mod platform;
