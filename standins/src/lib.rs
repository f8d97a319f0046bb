//!
//! Each runs on a thread of its own and over real TCP, so that the daemons under test can't tell
//! it from the real thing; each is stopped when it is dropped.
//!
//! - [`leaf`]: targets with slots, limits, slow spells and faults, alone or as a fleet.
//! - [`callers`]: an open-loop load generator that records what each request got.
//! - [`check`]: what callers got, held against what targets ran.
//! - [`platform`]: the platform's configuration service and its list of hosts.
//! - [`link`]: links between the parts of a site, which can be cut.
//! - [`gate`], [`server`]: connections that can be counted, cut and silenced, and what serves them.

pub mod callers;
pub mod check;
pub mod error;
pub mod gate;
pub mod leaf;
pub mod link;
pub mod platform;
pub mod server;

pub use callers::{
    CallKind, CallRecord, CallResult, CallerLoad, DaemonList, LoadStream, RateStep, RunningLoad,
    StreamText,
};
pub use check::{CheckKind, CheckViolation, EpochShards, LeafRecord, RunEvidence};
pub use error::StandinError;
pub use leaf::{LeafCommand, LeafFleet, LeafOptions, LeafRun, LeafStandin};
pub use link::{LinkCut, LinkMesh, LinkZone};
pub use platform::{PlatformMode, PlatformOptions, PlatformStandin};
