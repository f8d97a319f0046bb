//! The message types of yuccalift and their encodings.
//!
//! - [`caller`]: messages exchanged with callers, as JSON.
//! - [`leaf`]: messages exchanged with targets, as JSON.
//! - [`platform`]: values and host lists published by the platform, as JSON.
//! - [`peer`]: messages between daemons, encoded with `rmp-serde`.
//! - [`operator`]: messages between the command line and a daemon, as JSON.
//! - [`codec`]: encoding and decoding, with errors that name the step and the peer.

pub mod caller;
pub mod codec;
pub mod leaf;
pub mod operator;
pub mod peer;
pub mod platform;
