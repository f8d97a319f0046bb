//! Holding back a request that crashes the targets that run it.
//!
//! A target that is lost throws suspicion on every request that it was running. Three rules keep the
//! innocent ones clear, and bound what the guilty one can do:
//!
//! - **Weight.** The blame for one target is shared among the requests that ran on it together.
//!   All losses outside of trials count together, as the greatest share among them, so that a lost
//!   rack condemns nobody.
//! - **Success.** A reply from a shard at which the request had lost a target clears it.
//! - **Trial.** A suspected request is sent to such a shard by one attempt at a time, and never to
//!   a target that runs another suspect. So the second and later losses carry their whole blame.
//!
//! With a blame of two the request is held back for a while, and peers are told. One request costs
//! at most one target for each attempt that was in flight when the first loss became known (one a
//! shard, and its hedges), and then two more; after each holding back ends, one more.
//!
//! - `suspect`: what is held against one request.
//! - [`table`]: all suspects of a daemon, and the verdicts.
//! - [`gate`]: what every attempt passes on its way; the daemon uses the table through it.

pub mod gate;
mod suspect;
pub mod table;

pub use gate::{AttemptGate, GateAction};
pub use suspect::SUSPICION_TTL;
pub use table::{
    NoticeKind, QuarantineEntry, QuarantineNotice, QuarantineTable, RunningRequest, TrialRequest,
    TrialVerdict,
};
