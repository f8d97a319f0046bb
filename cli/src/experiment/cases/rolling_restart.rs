//! `rolling-restart`: every daemon is stopped gracefully and replaced, one after the other.

use std::time::Duration;

use super::{no_load, usual_load, usual_shape};
use crate::experiment::case::{CaseSpec, FaultAction, FaultStep};
use crate::experiment::measure::{CaseField, CaseView, is_answered};
use crate::fleet::FleetShape;

/// When the first daemon is stopped.
const FIRST_AT: Duration = Duration::from_secs(2);
/// The least time from the stop of one daemon to that of the next.
const PERIOD: Duration = Duration::from_secs(3);

pub(super) const CASE: CaseSpec = CaseSpec {
    name: "rolling-restart",
    about: "every daemon is stopped gracefully and replaced, one after the other",
    compared: false,
    allows_refusals: false,
    seconds: 13,
    shape: usual_shape,
    load: usual_load,
    side_load: no_load,
    faults,
    fields,
    plot: None,
};

fn faults(shape: &FleetShape, _duration: Duration) -> Vec<FaultStep> {
    let restarts = (0..shape.daemons).map(|position| FaultStep {
        at: FIRST_AT + PERIOD * position,
        action: FaultAction::RestartDaemon(position as usize),
    });
    restarts.collect()
}

fn fields(view: &CaseView) -> Vec<CaseField> {
    let calls = view.evidence.calls.iter();
    let cut = calls.filter(|call| call.lost_sends > 0 || !is_answered(call));
    vec![CaseField::new("cut_requests", cut.count() as f64)]
}
