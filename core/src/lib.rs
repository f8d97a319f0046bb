//! The decision logic of yuccalift, free of I/O.
//!
//! Time, randomness and messages are passed in as arguments and decisions are returned as values,
//! so that all of it can be tested by long randomised runs and the daemon uses the same code.
//!
//! The modules, from data types to the state machines that use them:
//!
//! - [`ids`]: type aliases for identifiers.
//! - [`shard_map`], [`account`]: validated configuration that the platform publishes.
//! - [`search`], [`coverage`], [`outcome`]: requests, answers, and how requests ended.
//! - [`event`], [`action`]: input and output of the search engine.
//! - [`engine`]: the search engine, the data path of one daemon.
//! - [`quarantine`]: quarantine of requests that crash their targets.
//! - [`connection_watch`], [`pause_detector`]: detection of dead connections and of pauses.
//! - [`ticket_ledger`]: at-most-once execution of non-idempotent requests.
//! - [`control`]: the control plane of one daemon.
//! - [`relay`]: plain HTTP requests, forwarded along published routes.
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
