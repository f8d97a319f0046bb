//! Micro-kernel of yuccalift: starts, stops and connects the services of one process.
//!
//! - [`registry`]: lets services find each other by name.
//! - [`kernel`]: starts services and stops them in reverse order, with cancellation tokens.
//! - [`pause_watch`]: detects that the process was paused.

pub mod kernel;
pub mod pause_watch;
pub mod registry;

pub use kernel::{Kernel, ServiceGuard, StopReport};
pub use pause_watch::{detect_pause, watch_pauses};
pub use registry::{RegistryError, ServiceName, ServiceRegistry};
