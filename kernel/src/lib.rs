//! The micro-kernel of yuccalift.
//!
//! - [`registry`]: services find each other by name.
//! - [`kernel`]: ordered start and stop, with cancellation tokens.

pub mod kernel;
pub mod registry;

pub use kernel::{Kernel, ServiceGuard, StopReport};
pub use registry::{RegistryError, ServiceName, ServiceRegistry};
