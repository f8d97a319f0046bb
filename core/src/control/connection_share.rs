//! How many connections this daemon may hold to each target.
//!
//! The rule rests on the published [`FleetBounds`] and on nothing that a daemon believes of the
//! others, so the sum over all daemons stays within a target's limit while hosts are replaced and
//! while daemons cannot see each other. Where a whole connection for each daemon would be too
//! many, a hash of host and target decides which daemons may connect. See `docs/DESIGN.md`,
//! "Connection shares".

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::fleet_bounds::FleetBounds;
use crate::event::TargetShare;
use crate::ids::{DataCentreName, HostName};
use crate::shard_map::TargetEntry;

/// The greatest chance, for one target, that hashing admits more daemons than its limit.
const MAX_OVERFLOW_PROBABILITY: f64 = 1e-9;

/// Where a daemon stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DaemonLocation {
    /// Its host.
    pub host: HostName,
    /// Its data centre.
    pub data_centre: DataCentreName,
}

/// The connections that a daemon of the target's data centre and one of another may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShareSplit {
    /// For each daemon of the target's data centre.
    pub local: u32,
    /// For each daemon of any other data centre.
    pub remote: u32,
}

/// Splits a target's connections over all daemons that there may be.
///
/// Half of an even share goes to each daemon of another data centre, for when the own replicas
/// are lost; the daemons of the target's data centre share the rest.
///
/// # Panics
///
/// If the shares of all daemons together exceeded the limit, which would be a defect of the rule.
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

/// The share of every listed target, sorted by target; 0 where this daemon must not connect.
pub fn connection_shares(
    location: &DaemonLocation,
    bounds: &FleetBounds,
    targets: &[TargetEntry],
) -> Vec<TargetShare> {
    let mut shares: Vec<TargetShare> = targets
        .iter()
        .map(|entry| TargetShare {
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

/// How many daemons may be admitted on average, so that more than `limit` of them are admitted
/// with at most `MAX_OVERFLOW_PROBABILITY`, by Chernoff's bound on a sum of independent choices.
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
