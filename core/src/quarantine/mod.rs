//! Quarantine for requests that crash the targets that run them.
//!
//! When a target is lost, every request that it was running becomes a suspect. Three rules protect
//! harmless requests and limit the damage of a harmful one:
//!
//! - **Weight.** The blame for one target is divided among the requests that it was running. All
//!   losses outside of trials count together, as the greatest share among them, so that the loss of
//!   a rack does not quarantine any request.
//! - **Success.** A reply from a shard at which the request had lost a target clears the request.
//! - **Trial.** A suspected request is sent to such a shard by one attempt at a time, and never to
//!   a target that runs another suspect. The second and later losses therefore carry their full
//!   blame.
//!
//! A request with a blame of two targets is quarantined ("held") for a while, and the peers are
//! notified. One request costs at most one target for each attempt that was in flight when the
//! first loss became known (one for each shard, and its hedges), and then two more; after each
//! hold, it costs one more.
//!
//! - `suspect`: the record of one suspected request.
//! - [`table`]: all suspects of a daemon, and the decisions about attempts.
//! - [`gate`]: the gate that every attempt passes; the daemon uses the table through it.

pub mod gate;
mod suspect;
pub mod table;

pub use gate::{AttemptGate, GateAction};
pub use suspect::SUSPICION_TTL;
pub use table::{
    NoticeKind, QuarantineEntry, QuarantineNotice, QuarantineTable, RunningRequest, TrialRequest,
    TrialVerdict,
};
