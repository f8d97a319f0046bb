//! `drain`: three targets leave, each known by another sign.

use std::time::Duration;

use yuccalift_standins::LeafCommand;
use yuccalift_standins::leaf::DrainSignal;

use super::{no_load, usual_load, usual_shape};
use crate::experiment::case::{CaseSpec, FaultAction, FaultStep};
use crate::experiment::measure::{CaseField, CaseView};
use crate::fleet::FleetShape;

/// When the targets begin to drain.
const DRAIN_AT: Duration = Duration::from_secs(3);

pub(super) const CASE: CaseSpec = CaseSpec {
    name: "drain",
    about: "three targets leave: one says so, one refuses, one is only in the host list",
    compared: false,
    allows_refusals: false,
    seconds: 10,
    shape: usual_shape,
    load: usual_load,
    side_load: no_load,
    faults,
    fields,
    plot: None,
};

fn faults(shape: &FleetShape, _duration: Duration) -> Vec<FaultStep> {
    let replicas = shape.replicas as usize;
    let drain = |leaf: usize, signal: DrainSignal| {
        FaultStep::leafs(DRAIN_AT, [leaf], LeafCommand::Drain(signal))
    };
    vec![
        drain(0, DrainSignal::Status),
        drain(replicas, DrainSignal::Refusal),
        drain(2 * replicas, DrainSignal::None),
        FaultStep {
            at: DRAIN_AT,
            action: FaultAction::MarkLeaving(vec![2 * replicas]),
        },
    ]
}

fn fields(view: &CaseView) -> Vec<CaseField> {
    let leafs = view.evidence.leafs.iter();
    let last = leafs
        .filter_map(|leaf| leaf.counts.work_after_drain_ms)
        .max();
    vec![CaseField::new("last_new_work_ms", last.unwrap_or(0) as f64)]
}
