//! The relay: forwards callers' plain HTTP requests by the routes that the users' platform
//! publishes.
//!
//! Everything runs on one thread: entry hosts grant the relay a fraction of one core, and its
//! decisions are made in one place anyway.
//!
//! - [`process`]: one relay process, its services and their order.
//! - `caller_listener`: the listener for callers. `readiness`: the listener for the balancer.
//! - `request_body`: the body of a request, which may never end.
//! - `engine_driver`: drives the engine of [`yuccalift_core::relay`], its timers and its callers.
//! - `attempt`, `pool`: one request to one target, and the pool of connections to targets.
//! - `forward_client`: forwards requests to peers while no target is reached.
//! - `peer_call`: sends a message of the control plane to a peer.
//! - `control`: the control plane of [`yuccalift_core::control`], its exchanges with peers, and the
//!   application of its values; `store_reader` reads the platform's store for it.
//! - `report`, `decision_report`: log lines and metrics; [`target_change_log`] coalesces lines about targets,
//!   [`refusal_counts`] counts refused requests by route, service and reason.
//! - `metrics_listener`: the listener for metrics, which also explains where requests would be sent.
//! - `settings_watch`: settings that change while the relay runs.
//!
//! See `docs/PLATFORM.md`.

mod attempt;
mod caller_listener;
mod control;
mod decision_report;
mod engine_driver;
mod forward_client;
mod host_limits;
mod metrics_listener;
mod peer_call;
mod pool;
pub mod process;
mod readiness;
pub mod refusal_counts;
mod report;
mod request_body;
pub(crate) mod settings_watch;
mod store_reader;
pub mod target_change_log;
