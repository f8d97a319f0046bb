//! `replica-loss`: under load, two replicas crash and the open connections of a third stop
//! responding.

use std::time::Duration;

use yuccalift_standins::LeafCommand;

use super::{default_load, default_shape, no_load};
use crate::experiment::case::{CaseSpec, FaultStep};
use crate::experiment::measure::{ReportField, RunRecord, is_answered, is_complete};
use crate::fleet::FleetShape;

/// Time of the faults.
const FAULT_AT: Duration = Duration::from_secs(3);
/// Longer than any run, so that the crashed replicas do not return.
const PERMANENT_DOWNTIME: Duration = Duration::from_secs(600);

pub(super) const CASE: CaseSpec = CaseSpec {
    name: "replica-loss",
    summary: "two replicas crash and the connections of a third target stop responding",
    compares_baseline: true,
    allows_refusals: false,
    seconds: 7,
    shape: default_shape,
    load: default_load,
    additional_load: no_load,
    faults,
    fields,
    plot: None,
};

/// Crashes a replica of each of the first two shards, and silences a replica of the third.
fn faults(shape: &FleetShape, _duration: Duration) -> Vec<FaultStep> {
    let replicas = shape.replicas as usize;
    let crash = LeafCommand::Crash {
        downtime: PERMANENT_DOWNTIME,
    };
    vec![
        FaultStep::leafs(FAULT_AT, [0, replicas], crash),
        FaultStep::leafs(FAULT_AT, [2 * replicas], LeafCommand::Silence),
    ]
}

fn fields(record: &RunRecord) -> Vec<ReportField> {
    let incomplete = record.searches().filter(|call| !is_complete(call));
    let end_times = incomplete.map(|call| call.due + record.effective_latency(call));
    let recovery_time = end_times.max().unwrap_or_default().saturating_sub(FAULT_AT);
    let errors = record.searches().filter(|call| !is_answered(call));
    vec![
        ReportField::new("whole_again_ms", recovery_time.as_secs_f64() * 1_000.0),
        ReportField::new("errors_shown", errors.count() as f64),
    ]
}
