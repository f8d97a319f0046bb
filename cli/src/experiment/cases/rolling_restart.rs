//! `rolling-restart`: the daemons are stopped gracefully and replaced, one after the other.

use std::time::Duration;

use super::{default_load, default_shape, no_load};
use crate::experiment::case::{CaseSpec, FaultAction, FaultStep};
use crate::experiment::measure::{ReportField, RunRecord, is_answered};
use crate::fleet::FleetShape;

/// Time at which the first daemon is stopped.
const FIRST_AT: Duration = Duration::from_secs(2);
/// Minimum time between the stops of two daemons.
const RESTART_PERIOD: Duration = Duration::from_secs(3);

pub(super) const CASE: CaseSpec = CaseSpec {
    name: "rolling-restart",
    summary: "every daemon is stopped gracefully and replaced, one after the other",
    compares_baseline: false,
    allows_refusals: false,
    seconds: 13,
    shape: default_shape,
    load: default_load,
    additional_load: no_load,
    faults,
    fields,
    plot: None,
};

fn faults(shape: &FleetShape, _duration: Duration) -> Vec<FaultStep> {
    let restarts = (0..shape.daemons).map(|position| FaultStep {
        at: FIRST_AT + RESTART_PERIOD * position,
        action: FaultAction::RestartDaemon(position as usize),
    });
    restarts.collect()
}

fn fields(record: &RunRecord) -> Vec<ReportField> {
    let calls = record.evidence.calls.iter();
    let interrupted = calls.filter(|call| call.lost_sends > 0 || !is_answered(call));
    vec![ReportField::new("cut_requests", interrupted.count() as f64)]
}
