//! The relay: callers' plain HTTP requests, passed on by the routes that the users' platform
//! publishes.
//!
//! Everything runs on one thread: the entry hosts have a part of one core, and what the relay
//! decides is decided in one place anyway.
//!
//! - [`process`]: one relay, its services and their order.
//! - `caller_listener`: the callers' listener. `readiness`: the balancer's.
//! - `driver`: the engine of [`yuccalift_core::relay`], its timers, and who waits for it.
//! - `attempt`, `pool`: one request to one target, and the connections to targets.
//! - `control`: the control plane of [`yuccalift_core::control`], its exchanges with peers, and what
//!   it puts in force; `store_reader` reads the platform's store for it.
//! - `report`: the lines of the log.
//!
//! See `docs/PLATFORM.md`.

mod attempt;
mod caller_listener;
mod control;
mod engine_driver;
mod pool;
pub mod process;
mod readiness;
mod report;
pub(crate) mod settings_watch;
mod store_reader;
