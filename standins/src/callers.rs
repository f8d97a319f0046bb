//! Stand-in for callers: an open-loop load generator that records the result of each request.
//!
//! Requests are scheduled independently of answers, so that a slow system gets the same load as a
//! fast one. Latency is measured from the time at which a request is due.
//!
//! - [`stream`]: kinds, texts and rates of the requests.
//! - [`record`]: results of the requests.
//! - [`balancer`]: choice of a daemon for each request, as by the platform's load balancer.
//! - [`load`]: the load generator, which runs on its own thread.

pub mod balancer;
pub mod load;
pub mod record;
pub mod stream;

mod call;

pub use balancer::DaemonList;
pub use load::{CallerLoad, RunningLoad};
pub use record::{AnsweredSearch, CallRecord, CallResult};
pub use stream::{CallKind, LoadStream, RateStep, StreamText};
