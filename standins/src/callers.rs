//! The stand-in for callers: an open-loop load generator that records what each request got.
//!
//! Requests are due at times that do not depend on answers, so that a slow system meets the same
//! load as a quick one, and latency counts from when a request was due.
//!
//! - [`stream`]: what is asked, at which rates.
//! - [`record`]: what each request got.
//! - [`balancer`]: which daemon a request goes to, as the platform's balancer would choose.
//! - [`load`]: the load as a whole, on a thread of its own.

pub mod balancer;
pub mod load;
pub mod record;
pub mod stream;

mod call;

pub use balancer::DaemonList;
pub use load::{CallerLoad, RunningLoad};
pub use record::{AnsweredSearch, CallRecord, CallResult};
pub use stream::{CallKind, LoadStream, RateStep, StreamText};
