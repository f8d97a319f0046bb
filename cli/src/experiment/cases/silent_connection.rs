//! `silent-connection`: open connections of some targets go silent for good; new ones work.

use std::time::Duration;

use yuccalift_standins::LeafCommand;

use super::{no_load, usual_load, usual_shape};
use crate::experiment::case::{CaseSpec, FaultStep};
use crate::experiment::measure::{CaseField, CaseView};
use crate::fleet::FleetShape;

/// When connections go silent.
const SILENT_AT: Duration = Duration::from_secs(3);
/// One target in so many is concerned.
const ONE_IN: usize = 10;

pub(super) const CASE: CaseSpec = CaseSpec {
    name: "silent-connection",
    about: "the open connections of one target in ten go silent; new ones work",
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
    let leafs = (0..shape.leafs() as usize).step_by(ONE_IN);
    vec![FaultStep::leafs(SILENT_AT, leafs, LeafCommand::Silence)]
}

fn fields(view: &CaseView) -> Vec<CaseField> {
    let connections = view.evidence.leafs.iter().map(|leaf| leaf.connections);
    let slowest = connections.clone().map(|counts| counts.retire_max_ms).max();
    let kept: u32 = connections.map(|counts| counts.silent).sum();
    vec![
        CaseField::new("retire_max_ms", slowest.unwrap_or(0) as f64),
        CaseField::new("silent_kept", f64::from(kept)),
    ]
}
