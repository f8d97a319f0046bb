//! Published upper bound on the size of the fleet, from which connection and call limits derive.

use serde::{Deserialize, Serialize};

/// Assumed maximum number of daemons while no bound is known; exceeds the size in the design.
pub const ASSUMED_DAEMONS: u32 = 4_000;
/// Assumed maximum number of daemons per data centre while no bound is known.
pub const ASSUMED_DAEMONS_PER_DATA_CENTRE: u32 = 400;

/// Maximum number of daemons that operators ever run at once, including replacements that start
/// before their predecessors have stopped. Connection shares are computed from it, since no daemon
/// can count the daemons that it cannot reach.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetBounds {
    /// Maximum number of daemons in the whole fleet.
    pub daemons: u32,
    /// Maximum number of daemons in one data centre.
    pub daemons_per_data_centre: u32,
}

impl FleetBounds {
    /// Returns whether there is at least one daemon and no data centre exceeds the fleet.
    pub fn is_consistent(&self) -> bool {
        self.daemons_per_data_centre >= 1 && self.daemons_per_data_centre <= self.daemons
    }
}

impl Default for FleetBounds {
    fn default() -> Self {
        Self {
            daemons: ASSUMED_DAEMONS,
            daemons_per_data_centre: ASSUMED_DAEMONS_PER_DATA_CENTRE,
        }
    }
}
