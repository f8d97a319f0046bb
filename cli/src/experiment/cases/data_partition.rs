//! `data-partition`: the daemons are partitioned from the leafs of another data centre, and
//! reconnected.
//!
//! The remote data centre holds a replica of every shard, and all replicas of the last shards.
//! During the partition local replicas answer for most shards, and answers must report that the
//! last shards are missing.

use std::time::Duration;

use yuccalift_standins::{CallRecord, CallResult};

use super::{default_load, default_shape, no_load};
use crate::experiment::case::{CaseSpec, FaultAction, FaultStep};
use crate::experiment::measure::{ReportField, RunRecord, is_complete};
use crate::fleet::FleetShape;

/// Number of shards that only the remote data centre holds.
const REMOTE_SHARDS: u32 = 2;
/// Time at which the partition starts.
const PARTITION_AT: Duration = Duration::from_secs(3);
/// Time at which the partition ends.
const HEAL_AT: Duration = Duration::from_secs(7);

pub(super) const CASE: CaseSpec = CaseSpec {
    name: "data-partition",
    summary: "the leafs of a remote data centre, which alone holds two shards, are cut off and reconnected",
    compares_baseline: false,
    allows_refusals: true,
    seconds: 12,
    shape,
    load: default_load,
    additional_load: no_load,
    faults,
    fields,
    plot: None,
};

fn shape() -> FleetShape {
    let default = default_shape();
    let first_remote = (default.shards - REMOTE_SHARDS) * default.replicas;
    let is_remote =
        |leaf: &u32| *leaf >= first_remote || (leaf + 1).is_multiple_of(default.replicas);
    FleetShape {
        remote_leafs: (0..default.leafs()).filter(is_remote).collect(),
        ..default
    }
}

fn faults(_shape: &FleetShape, _duration: Duration) -> Vec<FaultStep> {
    vec![
        FaultStep {
            at: PARTITION_AT,
            action: FaultAction::PartitionRemote,
        },
        FaultStep {
            at: HEAL_AT,
            action: FaultAction::HealRemote,
        },
    ]
}

fn fields(record: &RunRecord) -> Vec<ReportField> {
    let during_partition = |call: &&CallRecord| (PARTITION_AT..HEAL_AT).contains(&call.due);
    let total = record.searches().filter(during_partition).count();
    let locally_complete = record.searches().filter(during_partition);
    let locally_complete = locally_complete
        .filter(|call| lacks_only_remote_shards(call))
        .count();
    let incomplete = record.searches().filter(|call| !is_complete(call));
    let end_times = incomplete.map(|call| call.due + call.latency);
    let recovery_time = end_times.max().unwrap_or_default().saturating_sub(HEAL_AT);
    vec![
        ReportField::new(
            "near_whole_share",
            locally_complete as f64 / total.max(1) as f64,
        ),
        ReportField::new("whole_again_ms", recovery_time.as_secs_f64() * 1_000.0),
    ]
}

/// Returns whether a search was answered by every shard that has a local replica.
fn lacks_only_remote_shards(call: &CallRecord) -> bool {
    let CallResult::Answered(answer) = &call.result else {
        return false;
    };
    let first_remote = answer.asked - REMOTE_SHARDS;
    let mut missing = answer.missing.iter();
    missing.all(|missing| missing.shard >= first_remote)
}
