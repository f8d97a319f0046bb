//! `straggler`: one target in twenty is slowed tenfold by spells that no report shows.

use std::time::Duration;

use yuccalift_standins::LeafCommand;
use yuccalift_standins::leaf::{LoadReport, SlowPeriods};

use super::{no_fields, no_load, usual_load, usual_shape};
use crate::experiment::case::{CaseSpec, FaultStep};
use crate::fleet::FleetShape;

/// One target in so many has spells.
const ONE_IN: u32 = 20;
/// By how much a spell slows a target.
const FACTOR: f64 = 10.0;
/// How long a spell is.
const LENGTH: Duration = Duration::from_millis(1_500);
/// The time from one spell to the next.
const PERIOD: Duration = Duration::from_secs(3);
/// The load that a slowed target reports of itself.
const REPORTED_LOAD: f64 = 0.5;

pub(super) const CASE: CaseSpec = CaseSpec {
    name: "straggler",
    about: "one target in twenty is slowed tenfold by spells that no report shows",
    compared: true,
    allows_refusals: false,
    seconds: 7,
    shape: usual_shape,
    load: usual_load,
    side_load: no_load,
    faults,
    fields: no_fields,
    plot: None,
};

fn faults(shape: &FleetShape, _duration: Duration) -> Vec<FaultStep> {
    let slowed = (0..shape.leafs()).step_by(ONE_IN as usize);
    slowed
        .flat_map(|leaf| slow_spells(leaf, shape.leafs()))
        .collect()
}

/// The spells of one target, which begin at a time of its own.
fn slow_spells(leaf: u32, leafs: u32) -> Vec<FaultStep> {
    let spells = SlowPeriods {
        factor: FACTOR,
        first: PERIOD.mul_f64(f64::from(leaf) / f64::from(leafs)),
        length: LENGTH,
        period: PERIOD,
    };
    let report = LoadReport::Misleading(REPORTED_LOAD);
    [
        LeafCommand::SetSlowPeriods(Some(spells)),
        LeafCommand::SetLoadReport(report),
    ]
    .map(|command| FaultStep::leafs(Duration::ZERO, [leaf as usize], command))
    .into()
}
