//! The published bound on the fleet's size, on which every safe count rests.

use serde::{Deserialize, Serialize};

/// How many daemons are assumed while no bound is known; above the size that is designed for.
pub const ASSUMED_DAEMONS: u32 = 4_000;
/// How many daemons of one data centre are assumed while no bound is known.
pub const ASSUMED_DAEMONS_PER_DATA_CENTRE: u32 = 400;

/// The most daemons that the operators ever run at once, hosts that come before others have gone
/// included; connection shares rest on it, since no daemon can count those it cannot see.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetBounds {
    /// The most daemons of the whole fleet.
    pub daemons: u32,
    /// The most daemons of one data centre.
    pub daemons_per_data_centre: u32,
}

impl FleetBounds {
    /// Whether the two bounds agree: at least one daemon, and no data centre above the fleet.
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
