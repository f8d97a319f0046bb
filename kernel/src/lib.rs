//! The micro-kernel of yuccalift.
//!
//! - [`registry`]: services find each other by name.
//! - [`kernel`]: ordered start and stop, with cancellation tokens.
//! - [`pause_watch`]: notices that the process was paused.

pub mod kernel;
pub mod pause_watch;
pub mod registry;

pub use kernel::{Kernel, ServiceGuard, StopReport};
pub use pause_watch::{detect_pause, watch_pauses};
pub use registry::{RegistryError, ServiceName, ServiceRegistry};
