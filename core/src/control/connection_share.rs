//! Connection shares: the number of connections that this daemon may hold to each target.
//!
//! Shares depend only on the published [`FleetBounds`] and not on a daemon's view of the fleet.
//! The sum over all daemons therefore stays within a target's limit while hosts are replaced and
//! during network partitions. Where a target accepts fewer connections than there may be daemons, a
//! hash of host and target selects the daemons that may connect. See `docs/DESIGN.md`,
//! "Connection shares".

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::fleet_bounds::FleetBounds;
use crate::event::ConnectionShare;
use crate::ids::{DataCentreName, HostName};
use crate::shard_map::TargetEntry;

/// Maximum probability, per target, that hashing admits more daemons than the target's limit.
const MAX_OVERFLOW_PROBABILITY: f64 = 1e-9;

/// Location of a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DaemonLocation {
    /// Host that the daemon runs on.
    pub host: HostName,
    /// Data centre of the host.
    pub data_centre: DataCentreName,
}

/// A target's connection limit, split between local and remote daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShareSplit {
    /// Connections of each daemon in the target's data centre.
    pub local: u32,
    /// Connections of each daemon in any other data centre.
    pub remote: u32,
}

/// Splits a target's connection limit over the maximum number of daemons.
///
/// Each daemon of another data centre gets half of an even share, for use when its local replicas
/// are lost. The daemons of the target's data centre get equal parts of the rest.
///
/// # Panics
///
/// If the shares of all daemons together exceed the limit, which would be a bug in the split.
pub fn split_connections(connections: u32, bounds: &FleetBounds) -> ShareSplit {
    let all = bounds.daemons.max(1);
    let local = bounds.daemons_per_data_centre.clamp(1, all);
    let remote_share = connections / (2 * all);
    let left = connections - (all - local) * remote_share;
    let local_share = left / local;
    assert!(
        local * local_share + (all - local) * remote_share <= connections,
        "invariant: the shares of a target's connections never exceed its limit"
    );
    ShareSplit {
        local: local_share,
        remote: remote_share,
    }
}

/// Returns the share of every listed target, sorted by target; 0 if this daemon must not connect.
pub fn connection_shares(
    location: &DaemonLocation,
    bounds: &FleetBounds,
    targets: &[TargetEntry],
) -> Vec<ConnectionShare> {
    let mut shares: Vec<ConnectionShare> = targets
        .iter()
        .map(|entry| ConnectionShare {
            target: entry.target,
            connections: share(location, bounds, entry),
        })
        .collect();
    shares.sort_unstable_by_key(|share| share.target);
    shares.dedup_by(|next, kept| {
        let same = next.target == kept.target;
        if same {
            kept.connections = kept.connections.min(next.connections);
        }
        same
    });
    shares
}

fn share(location: &DaemonLocation, bounds: &FleetBounds, entry: &TargetEntry) -> u32 {
    let split = split_connections(entry.connections, bounds);
    if location.data_centre != entry.data_centre {
        return split.remote;
    }
    if split.local > 0 {
        return split.local;
    }
    let chosen =
        mean_admitted_daemons(entry.connections) / f64::from(bounds.daemons_per_data_centre);
    u32::from(unit_hash(&location.host, entry) < chosen)
}

/// Returns the mean number of daemons to admit so that the probability of admitting more than
/// `limit` is at most `MAX_OVERFLOW_PROBABILITY`, by the Chernoff bound on a sum of independent
/// choices.
pub fn mean_admitted_daemons(limit: u32) -> f64 {
    let above = f64::from(limit) + 1.0;
    let (mut low, mut high) = (0.0_f64, above);
    for _ in 0..64 {
        let mean = f64::midpoint(low, high);
        let log_probability = above - mean - above * (above / mean).ln();
        if log_probability <= MAX_OVERFLOW_PROBABILITY.ln() {
            low = mean;
        } else {
            high = mean;
        }
    }
    low
}

fn unit_hash(host: &str, entry: &TargetEntry) -> f64 {
    let hash = xxh3_64_with_seed(host.as_bytes(), u64::from(entry.target));
    hash as f64 / u64::MAX as f64
}
