//! How an engine is set up: [`EngineOptions`], [`PolicyKind`] and [`ProtectionSet`].

use crate::ids::DataCentreName;

/// Which set of decisions an engine makes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyKind {
    /// All decisions of the product.
    Full,
    /// Round robin, no hedging, fixed limits; the measure that `Full` is compared with.
    Baseline,
}

/// Which protections are on. The honesty of answers and refusals is not among them: it always is.
///
/// The daemon takes the set of its policy; tests switch single protections off, to see the
/// failure that each is there for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each protection is on or off independently of the others"
)]
pub struct ProtectionSet {
    /// Power of two choices; round robin otherwise.
    pub two_choices: bool,
    /// Hedging of slow shard requests.
    pub hedging: bool,
    /// Ejection of slow targets.
    pub ejection: bool,
    /// Adaptive concurrency limits; the connection share alone otherwise.
    pub adaptive_limits: bool,
    /// Classes, fairness between accounts and refusal of hopeless work; first in first out
    /// otherwise.
    pub ordered_admission: bool,
    /// The small share of starts that keeps less urgent classes from starving.
    pub reserved_starts: bool,
    /// Dropping beliefs with an age after a pause.
    pub pause_checks: bool,
    /// Restarting a query whose snapshot is gone.
    pub snapshot_restart: bool,
    /// Holding back quarantined requests.
    pub quarantine: bool,
}

impl ProtectionSet {
    /// The set of a policy.
    pub fn of(policy: PolicyKind) -> Self {
        let full = policy == PolicyKind::Full;
        Self {
            two_choices: full,
            hedging: full,
            ejection: full,
            adaptive_limits: full,
            ordered_admission: full,
            reserved_starts: full,
            pause_checks: true,
            snapshot_restart: true,
            quarantine: true,
        }
    }
}

/// How an engine is set up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineOptions {
    /// The set of decisions.
    pub policy: PolicyKind,
    /// The seed of every random choice.
    pub seed: u64,
    /// The data centre that the daemon stands in; empty if locality plays no part.
    pub data_centre: DataCentreName,
    /// Which protections are on.
    pub protections: ProtectionSet,
    /// After how many events the whole state is audited.
    pub audit_interval: u32,
}

/// After how many events the whole state is audited, in a daemon.
const AUDIT_INTERVAL: u32 = 65_536;

impl EngineOptions {
    /// The options of a daemon with a policy; all else can be set on the value.
    pub fn new(policy: PolicyKind, seed: u64) -> Self {
        Self {
            policy,
            seed,
            data_centre: DataCentreName::default(),
            protections: ProtectionSet::of(policy),
            audit_interval: AUDIT_INTERVAL,
        }
    }

    /// Names the data centre that the daemon stands in.
    #[must_use]
    pub fn in_data_centre(mut self, data_centre: impl Into<DataCentreName>) -> Self {
        self.data_centre = data_centre.into();
        self
    }
}
