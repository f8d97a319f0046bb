//! Engine configuration: [`EngineOptions`], [`PolicyKind`] and [`ProtectionSet`].

use crate::ids::DataCentreName;

/// Selects the set of protections that an engine uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyKind {
    /// All protections, as used in production.
    Full,
    /// Round robin, no hedging and fixed limits; the reference that `Full` is compared with.
    Baseline,
}

/// Switches for the engine's protections. The checks that keep answers and refusals correct have no
/// switch.
///
/// The daemon uses the set of its policy. Tests switch off single protections to show the failure
/// that each of them prevents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each protection is on or off independently of the others"
)]
pub struct ProtectionSet {
    /// Power of two choices; round robin if false.
    pub two_choices: bool,
    /// Hedging of slow shard requests.
    pub hedging: bool,
    /// Ejection of slow targets.
    pub ejection: bool,
    /// Adaptive concurrency limits; only the connection share applies if false.
    pub adaptive_limits: bool,
    /// Urgency classes, fairness between accounts and early refusal of queries that would miss
    /// their deadline; first in, first out if false.
    pub ordered_admission: bool,
    /// A small share of the starts for less urgent classes, so that they do not starve.
    pub reserved_starts: bool,
    /// Discarding time-dependent state, such as latencies and ejections, after a process pause.
    pub pause_handling: bool,
    /// Restarting a query whose snapshot is no longer available.
    pub snapshot_restart: bool,
    /// Refusing quarantined requests.
    pub quarantine: bool,
}

impl ProtectionSet {
    /// Returns the protections of a policy. A baseline has only pause handling, snapshot restart and
    /// quarantine.
    pub fn for_policy(policy: PolicyKind) -> Self {
        let full = policy == PolicyKind::Full;
        Self {
            two_choices: full,
            hedging: full,
            ejection: full,
            adaptive_limits: full,
            ordered_admission: full,
            reserved_starts: full,
            pause_handling: true,
            snapshot_restart: true,
            quarantine: true,
        }
    }
}

/// Configuration of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineOptions {
    /// Policy that the protections were derived from.
    pub policy: PolicyKind,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Data centre of the daemon; empty if locality is ignored.
    pub data_centre: DataCentreName,
    /// Protections that are switched on.
    pub protections: ProtectionSet,
    /// Number of events between two audits of the whole state.
    pub audit_interval: u32,
}

/// Default number of events between two audits.
const AUDIT_INTERVAL: u32 = 65_536;

impl EngineOptions {
    /// Returns the default options of a policy, without a data centre.
    pub fn new(policy: PolicyKind, seed: u64) -> Self {
        Self {
            policy,
            seed,
            data_centre: DataCentreName::default(),
            protections: ProtectionSet::for_policy(policy),
            audit_interval: AUDIT_INTERVAL,
        }
    }

    /// Sets the data centre of the daemon.
    #[must_use]
    pub fn in_data_centre(mut self, data_centre: impl Into<DataCentreName>) -> Self {
        self.data_centre = data_centre.into();
        self
    }
}
