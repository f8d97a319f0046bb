//! `drain`: three targets are drained. One shows it in its status, one also refuses requests, and
//! one is only marked as leaving in the platform's host list.

use std::time::Duration;

use yuccalift_standins::LeafCommand;
use yuccalift_standins::leaf::DrainSignal;

use super::{default_load, default_shape, no_load};
use crate::experiment::case::{CaseSpec, FaultAction, FaultStep};
use crate::experiment::measure::{ReportField, RunRecord};
use crate::fleet::FleetShape;

/// Time at which the targets start to drain.
const DRAIN_AT: Duration = Duration::from_secs(3);

pub(super) const CASE: CaseSpec = CaseSpec {
    name: "drain",
    summary: "three targets drain: one reports it, one refuses requests, one is only marked in the host list",
    compares_baseline: false,
    allows_refusals: false,
    seconds: 10,
    shape: default_shape,
    load: default_load,
    additional_load: no_load,
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

fn fields(record: &RunRecord) -> Vec<ReportField> {
    let leafs = record.evidence.leafs.iter();
    let last = leafs
        .filter_map(|leaf| leaf.counts.work_after_drain_ms)
        .max();
    vec![ReportField::new(
        "last_new_work_ms",
        last.unwrap_or(0) as f64,
    )]
}
