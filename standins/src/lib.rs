//! Stand-ins for the targets, the callers and the platform around daemons under test.
//!
//! Each stand-in runs on its own thread and serves or sends over real TCP connections, so that the
//! daemons exercise their production code paths. A stand-in stops when it is dropped.
//!
//! - [`leaf`]: targets with slots, limits, slow periods and faults, alone or as a fleet.
//! - [`callers`]: an open-loop load generator that records the result of each request.
//! - [`check`]: checks that compare the results of callers with the runs of targets.
//! - [`platform`]: the platform's configuration service and its list of hosts.
//! - [`link`]: links between the zones of a site, with injected network partitions.
//! - [`gate`], [`server`]: HTTP servers whose connections can be counted, dropped and made
//!   unresponsive.

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
pub use link::{LinkMesh, LinkPartition, LinkZone};
pub use platform::{PlatformMode, PlatformOptions, PlatformStandin};
