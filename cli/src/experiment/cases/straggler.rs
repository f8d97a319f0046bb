//! `straggler`: one target in twenty has periods in which it is ten times slower but reports a
//! normal load.

use std::time::Duration;

use yuccalift_standins::LeafCommand;
use yuccalift_standins::leaf::{LoadReport, SlowPeriods};

use super::{default_load, default_shape, no_fields, no_load};
use crate::experiment::case::{CaseSpec, FaultStep};
use crate::fleet::FleetShape;

/// One target in this many has slow periods.
const TARGET_STRIDE: u32 = 20;
/// Factor by which service times grow in a slow period.
const SLOWDOWN: f64 = 10.0;
/// Duration of a slow period.
const SLOW_TIME: Duration = Duration::from_millis(1_500);
/// Time between the starts of two slow periods.
const SLOW_PERIOD: Duration = Duration::from_secs(3);
/// Load that a slow target reports, regardless of its real load.
const REPORTED_LOAD: f64 = 0.5;

pub(super) const CASE: CaseSpec = CaseSpec {
    name: "straggler",
    summary: "one target in twenty is ten times slower in periods that its reports do not show",
    compares_baseline: true,
    allows_refusals: false,
    seconds: 7,
    shape: default_shape,
    load: default_load,
    additional_load: no_load,
    faults,
    fields: no_fields,
    plot: None,
};

fn faults(shape: &FleetShape, _duration: Duration) -> Vec<FaultStep> {
    let slowed = (0..shape.leafs()).step_by(TARGET_STRIDE as usize);
    slowed
        .flat_map(|leaf| slow_period_commands(leaf, shape.leafs()))
        .collect()
}

/// Returns the commands for the slow periods of a target. Their start depends on its index, so that
/// targets are not all slow at the same time.
fn slow_period_commands(leaf: u32, leafs: u32) -> Vec<FaultStep> {
    let slow_periods = SlowPeriods {
        factor: SLOWDOWN,
        first: SLOW_PERIOD.mul_f64(f64::from(leaf) / f64::from(leafs)),
        length: SLOW_TIME,
        period: SLOW_PERIOD,
    };
    let report = LoadReport::Misleading(REPORTED_LOAD);
    [
        LeafCommand::SetSlowPeriods(Some(slow_periods)),
        LeafCommand::SetLoadReport(report),
    ]
    .map(|command| FaultStep::leafs(Duration::ZERO, [leaf as usize], command))
    .into()
}
