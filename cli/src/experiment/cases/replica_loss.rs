//! `replica-loss`: two replicas are killed and a target's connections go silent under load.

use std::time::Duration;

use yuccalift_standins::LeafCommand;

use super::{no_load, usual_load, usual_shape};
use crate::experiment::case::{CaseSpec, FaultStep};
use crate::experiment::measure::{CaseField, CaseView, is_answered, is_whole};
use crate::fleet::FleetShape;

/// When the faults act.
const FAULT_AT: Duration = Duration::from_secs(3);
/// Longer than any run: the replicas do not come back.
const GONE: Duration = Duration::from_secs(600);

pub(super) const CASE: CaseSpec = CaseSpec {
    name: "replica-loss",
    about: "two replicas are killed and a target's connections go silent",
    compared: true,
    allows_refusals: false,
    seconds: 7,
    shape: usual_shape,
    load: usual_load,
    side_load: no_load,
    faults,
    fields,
    plot: None,
};

/// Kills a replica of each of the first two shards, and silences one of the third.
fn faults(shape: &FleetShape, _duration: Duration) -> Vec<FaultStep> {
    let replicas = shape.replicas as usize;
    let crash = LeafCommand::Crash { downtime: GONE };
    vec![
        FaultStep::leafs(FAULT_AT, [0, replicas], crash),
        FaultStep::leafs(FAULT_AT, [2 * replicas], LeafCommand::Silence),
    ]
}

fn fields(view: &CaseView) -> Vec<CaseField> {
    let not_whole = view.searches().filter(|call| !is_whole(call));
    let ends = not_whole.map(|call| call.due + view.counted_latency(call));
    let whole_again = ends.max().unwrap_or_default().saturating_sub(FAULT_AT);
    let errors = view.searches().filter(|call| !is_answered(call));
    vec![
        CaseField::new("whole_again_ms", whole_again.as_secs_f64() * 1_000.0),
        CaseField::new("errors_shown", errors.count() as f64),
    ]
}
