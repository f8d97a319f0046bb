//! Position in the platform's history of changes: [`StorePosition`].
//!
//! A platform that is restored from an older copy forgets its latest changes and assigns their
//! versions again. A version therefore tells the order of two changes only within an era, and only
//! positions are compared between daemons. See `docs/DESIGN.md`, "Configuration".

use crate::ids::{ConfigVersion, StoreEra};

/// Version of the configuration, and the era in which the platform assigned it.
///
/// Positions are ordered by era first: whatever a restored platform says is later than all that it
/// said before, also where its version is lower.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StorePosition {
    /// Number of times that the platform was restored; 0 if it does not say.
    pub era: StoreEra,
    /// Version within the era.
    pub version: ConfigVersion,
}

impl StorePosition {
    /// The greatest position.
    pub const MAX: Self = Self {
        era: StoreEra::MAX,
        version: ConfigVersion::MAX,
    };

    /// Returns whether any version is known.
    pub fn is_known(self) -> bool {
        self.version > 0
    }

    /// Returns the version that has been reached in an era; 0 if the position is in another one.
    pub(super) fn version_in(self, era: StoreEra) -> ConfigVersion {
        if self.era == era { self.version } else { 0 }
    }
}

impl From<ConfigVersion> for StorePosition {
    /// Returns a position in the first era, as for a platform without eras.
    fn from(version: ConfigVersion) -> Self {
        Self { era: 0, version }
    }
}
