//! Election of the readers: the few daemons of each data centre that read the platform.
//!
//! Every daemon ranks the daemons that it knows to be alive by rendezvous hashing, without any
//! coordination. While their views differ, there may briefly be too many or too few readers. The
//! fleet bounds keep the total rate below the platform's limit even if every daemon sees only
//! itself. See `docs/DESIGN.md`, "Configuration".

use std::time::Duration;

use rand::Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::call_budget::{PlatformCallRate, poll_rate};
use super::fleet_bounds::FleetBounds;

/// Number of readers in each data centre.
pub const READERS_PER_DATA_CENTRE: usize = 2;
/// Calls per second of the platform for each reader that the whole fleet may have, however it is
/// partitioned. A reader makes fewer calls, so that readers never use up the platform's rate.
const CALLS_PER_READER: PlatformCallRate = 10;
/// Calls per second by all daemons of one view together while no reader distributes changes.
const VIEW_POLLS_PER_SECOND: f64 = 2.0;
const RANK_SEED: u64 = 0x7265_6164;

/// Returns the maximum number of readers in the whole fleet, in proportion to the platform's rate.
pub fn max_fleet_readers(platform_calls: PlatformCallRate) -> u32 {
    platform_calls / CALLS_PER_READER
}

/// Returns the number of readers in a view of `view` daemons: [`READERS_PER_DATA_CENTRE`], or fewer
/// if the fleet, partitioned into views of this size, would exceed [`max_fleet_readers`].
pub fn reader_count(view: usize, bounds: &FleetBounds, platform_calls: PlatformCallRate) -> usize {
    let max_readers = u64::from(max_fleet_readers(platform_calls));
    let allowed = view as u64 * max_readers / u64::from(bounds.daemons.max(1));
    (allowed as usize).min(READERS_PER_DATA_CENTRE)
}

/// Returns the number of `others` that rank before `host` in the election.
pub fn reader_rank<'a>(host: &str, others: impl Iterator<Item = &'a str>) -> usize {
    let own = rank_hash(host);
    others.filter(|other| rank_hash(other) > own).count()
}

/// Returns how long a daemon that is not a reader waits between calls while no reader distributes
/// changes. The total rate of a view does not grow with its size, and the total rate of the fleet
/// stays within its bound.
pub fn poll_interval(
    view: usize,
    bounds: &FleetBounds,
    platform_calls: PlatformCallRate,
    rng: &mut impl Rng,
) -> Duration {
    let by_view = view as f64 / VIEW_POLLS_PER_SECOND;
    let by_bound = 1.0 / poll_rate(bounds, platform_calls);
    let mean = by_view.max(by_bound);
    Duration::from_secs_f64(mean * rng.random_range(0.5..1.5))
}

fn rank_hash(host: &str) -> u64 {
    xxh3_64_with_seed(host.as_bytes(), RANK_SEED)
}
