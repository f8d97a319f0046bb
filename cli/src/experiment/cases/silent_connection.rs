//! `silent-connection`: open connections of some targets stop responding permanently, while new
//! connections work.

use std::time::Duration;

use yuccalift_standins::LeafCommand;

use super::{default_load, default_shape, no_load};
use crate::experiment::case::{CaseSpec, FaultStep};
use crate::experiment::measure::{ReportField, RunRecord};
use crate::fleet::FleetShape;

/// Time at which the connections stop responding.
const SILENT_AT: Duration = Duration::from_secs(3);
/// One target in this many is affected.
const TARGET_STRIDE: usize = 10;

pub(super) const CASE: CaseSpec = CaseSpec {
    name: "silent-connection",
    summary: "the open connections of one target in ten stop responding; new ones work",
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
    let leafs = (0..shape.leafs() as usize).step_by(TARGET_STRIDE);
    vec![FaultStep::leafs(SILENT_AT, leafs, LeafCommand::Silence)]
}

fn fields(record: &RunRecord) -> Vec<ReportField> {
    let connections = record.evidence.leafs.iter().map(|leaf| leaf.connections);
    let slowest = connections.clone().map(|counts| counts.retire_max_ms).max();
    let silent_connections: u32 = connections.map(|counts| counts.silent).sum();
    vec![
        ReportField::new("retire_max_ms", slowest.unwrap_or(0) as f64),
        ReportField::new("silent_kept", f64::from(silent_connections)),
    ]
}
