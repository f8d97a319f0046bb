//! The decisions of yuccalift, free of I/O.
//!
//! Time, randomness and messages come in as arguments, decisions go out as values; so everything
//! here can be proved by long randomised runs, and is used by the daemon as it is.
//!
//! A tour, from the data to the passes over them:
//!
//! - [`ids`]: the aliases for identifiers.
//! - [`shard_map`], [`account`]: what the platform publishes, once it is checked.
//! - [`search`], [`coverage`], [`outcome`]: a request, its answer, and the truth about both.
//! - [`event`], [`action`]: what the engine is told, and what it decides.
//! - [`engine`]: the data path of one daemon.
//! - [`quarantine`]: holding back a request that crashes its targets.
//! - [`connection_watch`], [`pause_detector`]: dead connections and pauses, found out.
//! - [`ticket_ledger`]: what a daemon remembers of non-idempotent requests.
//! - [`control`]: the control plane of one daemon.
//! - [`relay`]: plain HTTP requests, passed on by published routes.

pub mod account;
pub mod action;
pub mod connection_watch;
pub mod control;
pub mod coverage;
pub mod engine;
pub mod event;
pub mod ids;
pub mod outcome;
pub mod pause_detector;
pub mod quarantine;
pub mod relay;
pub mod search;
pub mod shard_map;
pub mod ticket_ledger;

pub use account::{AccountPolicy, AccountTable, RepeatPolicy, Urgency};
pub use action::{EngineAction, EngineDecision};
pub use coverage::{Coverage, MissingReason, MissingShard, Snapshot};
pub use engine::{EngineOptions, PolicyKind, ProtectionSet, SearchEngine};
pub use event::EngineEvent;
pub use outcome::{Outcome, Refusal, RefusalCode};
pub use search::{RequestKind, SearchAnswer, SearchHit, SearchRequest};
pub use shard_map::{ShardEntry, ShardMap, TargetEntry};
