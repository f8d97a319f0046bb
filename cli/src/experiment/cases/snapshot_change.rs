//! `snapshot-change`: under load, targets change to a new index version; then a shard is split and
//! one is moved.

use std::time::Duration;

use yuccalift_core::{ShardEntry, ShardMap};
use yuccalift_standins::{LeafCommand, LoadStream};

use super::{
    URGENT_ACCOUNT, URGENT_TIMEOUT, default_shape, no_fields, no_load, rate_from, search_stream,
};
use crate::experiment::case::{CaseSpec, FaultAction, FaultStep};
use crate::fleet::FleetShape;

/// Share of the leafs' capacity that the load uses. It is lower than the default because the
/// targets that receive a second shard have twice the work.
const LOAD_SHARE: f64 = 0.3;
/// Time at which the first target holds the new version in addition to the old one.
const LOAD_VERSION_AT: Duration = Duration::from_secs(2);
/// Time at which the first target drops the old version.
const DROP_VERSION_AT: Duration = Duration::from_secs(5);
/// Time from the change of the first target to that of the last one.
const ROLLOUT_TIME: Duration = Duration::from_secs(2);
/// Time at which targets load the moved and the split shard in addition to their own.
const HOST_SHARDS_AT: Duration = Duration::from_millis(7_500);
/// Time at which the changed shard map is published.
const PUBLISH_MAP_AT: Duration = Duration::from_secs(8);
/// Time at which the previous targets of the moved shard drop it.
const DROP_SHARDS_AT: Duration = Duration::from_secs(11);

pub(super) const CASE: CaseSpec = CaseSpec {
    name: "snapshot-change",
    summary: "targets change index versions one by one; then a shard is split and one is moved",
    compares_baseline: false,
    allows_refusals: false,
    seconds: 13,
    shape: default_shape,
    load,
    additional_load: no_load,
    faults,
    fields: no_fields,
    plot: None,
};

fn load(shape: &FleetShape, _duration: Duration) -> Vec<LoadStream> {
    let rate = shape.searches_per_second() * LOAD_SHARE;
    vec![search_stream(
        URGENT_ACCOUNT,
        URGENT_TIMEOUT,
        vec![rate_from(Duration::ZERO, rate)],
    )]
}

/// Moves shard 0 to the targets of shard 1, and adds a new shard on the targets of shard 2.
fn faults(shape: &FleetShape, _duration: Duration) -> Vec<FaultStep> {
    let leafs = shape.leafs() as usize;
    let replicas = shape.replicas as usize;
    let mut steps = Vec::new();
    for leaf in 0..leafs {
        let delay = ROLLOUT_TIME.mul_f64(leaf as f64 / leafs as f64);
        let hold_versions = |at: Duration, versions: Vec<u64>| {
            FaultStep::leafs(at + delay, [leaf], LeafCommand::SetVersions(versions))
        };
        steps.push(hold_versions(LOAD_VERSION_AT, vec![1, 2]));
        steps.push(hold_versions(DROP_VERSION_AT, vec![2]));
    }
    let host_shards = |at: Duration, group: usize, shards: Vec<u32>| {
        let group = group * replicas..(group + 1) * replicas;
        FaultStep::leafs(at, group, LeafCommand::SetShards(shards))
    };
    steps.push(host_shards(HOST_SHARDS_AT, 1, vec![0, 1]));
    steps.push(host_shards(HOST_SHARDS_AT, 2, vec![2, shape.shards]));
    steps.push(FaultStep {
        at: PUBLISH_MAP_AT,
        action: FaultAction::ChangeMap(split_and_move),
    });
    steps.push(host_shards(DROP_SHARDS_AT, 0, Vec::new()));
    steps
}

fn split_and_move(mut map: ShardMap) -> ShardMap {
    map.epoch += 1;
    let moved = map.shards[1].replicas.clone();
    map.shards[0].replicas = moved;
    map.shards.push(ShardEntry {
        shard: map.shards.len() as u32,
        replicas: map.shards[2].replicas.clone(),
    });
    map
}
