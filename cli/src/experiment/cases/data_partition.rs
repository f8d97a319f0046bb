//! `data-partition`: the daemons are cut from the leafs of another data centre, and healed.
//!
//! The other data centre holds a replica of every shard, and alone the last shards. So most shards
//! stay whole by their near replicas, and answers must say that the last ones are missing.

use std::time::Duration;

use yuccalift_standins::{CallRecord, CallResult};

use super::{no_load, usual_load, usual_shape};
use crate::experiment::case::{CaseSpec, FaultAction, FaultStep};
use crate::experiment::measure::{CaseField, CaseView, is_whole};
use crate::fleet::FleetShape;

/// How many shards are only in the other data centre.
const FAR_SHARDS: u32 = 2;
/// When the data centres are cut.
const CUT_AT: Duration = Duration::from_secs(3);
/// When the cut heals.
const HEAL_AT: Duration = Duration::from_secs(7);

pub(super) const CASE: CaseSpec = CaseSpec {
    name: "data-partition",
    about: "the leafs of another data centre, alone with two shards, are cut off and healed",
    compared: false,
    allows_refusals: true,
    seconds: 12,
    shape,
    load: usual_load,
    side_load: no_load,
    faults,
    fields,
    plot: None,
};

fn shape() -> FleetShape {
    let usual = usual_shape();
    let first_far = (usual.shards - FAR_SHARDS) * usual.replicas;
    let is_far = |leaf: &u32| *leaf >= first_far || (leaf + 1).is_multiple_of(usual.replicas);
    FleetShape {
        far_leafs: (0..usual.leafs()).filter(is_far).collect(),
        ..usual
    }
}

fn faults(_shape: &FleetShape, _duration: Duration) -> Vec<FaultStep> {
    vec![
        FaultStep {
            at: CUT_AT,
            action: FaultAction::CutFar,
        },
        FaultStep {
            at: HEAL_AT,
            action: FaultAction::HealFar,
        },
    ]
}

fn fields(view: &CaseView) -> Vec<CaseField> {
    let during_cut = |call: &&CallRecord| (CUT_AT..HEAL_AT).contains(&call.due);
    let due = view.searches().filter(during_cut).count();
    let near = view.searches().filter(during_cut);
    let near = near.filter(|call| lacks_far_shards_alone(call)).count();
    let not_whole = view.searches().filter(|call| !is_whole(call));
    let ends = not_whole.map(|call| call.due + call.latency);
    let whole_again = ends.max().unwrap_or_default().saturating_sub(HEAL_AT);
    vec![
        CaseField::new("near_whole_share", near as f64 / due.max(1) as f64),
        CaseField::new("whole_again_ms", whole_again.as_secs_f64() * 1_000.0),
    ]
}

/// Whether a search was answered, and lacks no shard that has a near replica.
fn lacks_far_shards_alone(call: &CallRecord) -> bool {
    let CallResult::Answered(answer) = &call.result else {
        return false;
    };
    let first_far = answer.asked - FAR_SHARDS;
    let mut missing = answer.missing.iter();
    missing.all(|missing| missing.shard >= first_far)
}
