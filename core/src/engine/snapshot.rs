//! Choice of the snapshot that a query is pinned to before its first request is sent.
//!
//! Among the index versions at which the most shards of the map can be served by a usable target,
//! the newest is chosen. It normally covers every shard that has a usable target. See
//! `docs/DESIGN.md`, "Snapshot".

use crate::engine::plan::{PlanSnapshot, ShardPlan};
use crate::engine::target::TargetTable;
use crate::ids::IndexVersion;

/// An index version and the number of shards that can be served at it.
#[derive(Clone, Copy, Debug)]
struct VersionCoverage {
    version: IndexVersion,
    covered: u32,
    last_position: u32,
}

/// Computes the snapshot for new queries of a plan; absent if no index version is known.
pub(crate) fn choose_snapshot(plan: &ShardPlan, targets: &TargetTable) -> Option<PlanSnapshot> {
    let mut versions: Vec<VersionCoverage> = Vec::new();
    for position in 0..plan.shard_count() {
        let usable = plan
            .replicas(position)
            .iter()
            .filter_map(|replica| targets.get(*replica))
            .filter(|state| state.is_usable());
        for state in usable {
            for version in &state.held_versions {
                count_shard(&mut versions, *version, position);
            }
        }
    }
    let best = versions
        .iter()
        .max_by_key(|entry| (entry.covered, entry.version))?;
    Some(PlanSnapshot {
        version: best.version,
        covered: best.covered,
        unreported: count_unreported(plan, targets, best.version),
    })
}

/// Counts the shards that no target is known to serve at a version, but that have a usable target
/// which has not reported its versions.
fn count_unreported(plan: &ShardPlan, targets: &TargetTable, version: IndexVersion) -> u32 {
    let unreported = (0..plan.shard_count()).filter(|position| {
        let mut usable = plan
            .replicas(*position)
            .iter()
            .filter_map(|replica| targets.get(*replica))
            .filter(|state| state.is_usable())
            .peekable();
        usable.peek().is_some()
            && usable.clone().all(|state| !state.holds(version))
            && usable.any(|state| !state.has_reported_versions)
    });
    unreported.count() as u32
}

/// Returns whether a usable target can serve a shard at a version.
pub(crate) fn can_serve(
    plan: &ShardPlan,
    targets: &TargetTable,
    position: u32,
    version: IndexVersion,
) -> bool {
    plan.replicas(position)
        .iter()
        .filter_map(|replica| targets.get(*replica))
        .any(|state| state.is_usable() && state.holds(version))
}

fn count_shard(versions: &mut Vec<VersionCoverage>, version: IndexVersion, position: u32) {
    match versions.binary_search_by_key(&version, |entry| entry.version) {
        Ok(index) => {
            let entry = &mut versions[index];
            // A shard counts once, even if several of its replicas hold the version.
            if entry.last_position != position {
                entry.covered += 1;
                entry.last_position = position;
            }
        }
        Err(index) => versions.insert(
            index,
            VersionCoverage {
                version,
                covered: 1,
                last_position: position,
            },
        ),
    }
}
