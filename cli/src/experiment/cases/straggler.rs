//! `straggler`: one target in twenty is slowed tenfold by spells that no report shows.

use std::time::Duration;

use yuccalift_standins::LeafCommand;
use yuccalift_standins::leaf::{LoadReport, SlowSpells};

use super::{default_load, default_shape, no_fields, no_load};
use crate::experiment::case::{CaseSpec, FaultStep};
use crate::fleet::FleetShape;

/// One target in so many has spells.
const TARGET_STRIDE: u32 = 20;
/// By how much a spell slows a target.
const SLOWDOWN: f64 = 10.0;
/// How long a spell is.
const SLOW_TIME: Duration = Duration::from_millis(1_500);
/// The time from one spell to the next.
const SLOW_PERIOD: Duration = Duration::from_secs(3);
/// The load that a slowed target reports of itself.
const REPORTED_LOAD: f64 = 0.5;

pub(super) const CASE: CaseSpec = CaseSpec {
    name: "straggler",
    summary: "one target in twenty is slowed tenfold by spells that no report shows",
    compares_baseline: true,
    excuses_refusals: false,
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
        .flat_map(|leaf| slow_spells(leaf, shape.leafs()))
        .collect()
}

/// The spells of one target, which begin at a time of its own.
fn slow_spells(leaf: u32, leafs: u32) -> Vec<FaultStep> {
    let spells = SlowSpells {
        factor: SLOWDOWN,
        first: SLOW_PERIOD.mul_f64(f64::from(leaf) / f64::from(leafs)),
        length: SLOW_TIME,
        period: SLOW_PERIOD,
    };
    let report = LoadReport::Misleading(REPORTED_LOAD);
    [
        LeafCommand::Spells(Some(spells)),
        LeafCommand::Report(report),
    ]
    .map(|command| FaultStep::leafs(Duration::ZERO, [leaf as usize], command))
    .into()
}
