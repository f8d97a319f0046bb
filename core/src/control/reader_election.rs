//! Who reads the platform: a few daemons of each data centre, chosen by each daemon for itself.
//!
//! Every daemon ranks the daemons it believes to be alive by a rendezvous hash. Where beliefs
//! differ, a few too many or too few read for a moment; the bound on the fleet keeps the sum under
//! the platform's limit even if every daemon sees only itself. See `docs/DESIGN.md`,
//! "Configuration".

use std::time::Duration;

use rand::Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::call_budget::poll_rate;
use super::fleet_bounds::FleetBounds;

/// How many daemons of a data centre read and watch.
pub const READERS_PER_DATA_CENTRE: usize = 2;
/// How many readers the whole fleet has at the most, however it is cut into parts.
pub const MAX_FLEET_READERS: u32 = 200;
/// Calls a second that the daemons of one view make together when nobody relays.
const VIEW_POLLS_PER_SECOND: f64 = 2.0;
const RANK_SEED: u64 = 0x7265_6164;

/// How many daemons of a view read: the usual number, or fewer where the view is so small that
/// the whole fleet, cut into such views, would have too many readers.
pub fn reader_count(view: usize, bounds: &FleetBounds) -> usize {
    let allowed = view as u64 * u64::from(MAX_FLEET_READERS) / u64::from(bounds.daemons.max(1));
    (allowed as usize).min(READERS_PER_DATA_CENTRE)
}

/// How many of `others` go before `host` in the choice of readers.
pub fn reader_rank<'a>(host: &str, others: impl Iterator<Item = &'a str>) -> usize {
    let own = rank_hash(host);
    others.filter(|other| rank_hash(other) > own).count()
}

/// How long a daemon that is not a reader waits between calls when nobody relays, so that the
/// calls of a view do not grow with it, and those of the fleet stay within the bound.
pub fn poll_interval(view: usize, bounds: &FleetBounds, rng: &mut impl Rng) -> Duration {
    let by_view = view as f64 / VIEW_POLLS_PER_SECOND;
    let by_bound = 1.0 / poll_rate(bounds);
    let mean = by_view.max(by_bound);
    Duration::from_secs_f64(mean * rng.random_range(0.5..1.5))
}

fn rank_hash(host: &str) -> u64 {
    xxh3_64_with_seed(host.as_bytes(), RANK_SEED)
}
