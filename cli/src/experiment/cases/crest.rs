//! `crest`: demand swings to four times the capacity for some seconds.

use std::time::Duration;

use yuccalift_standins::{LeafOptions, LoadStream};

use super::{PATIENT, URGENT, no_faults, no_load, rate_from, searches, usual_shape};
use crate::experiment::case::CaseSpec;
use crate::experiment::measure::{CaseField, CaseView};
use crate::experiment::plot::PlotLine;
use crate::fleet::FleetShape;

/// Demand at the crest, in capacities.
const CREST: f64 = 4.0;
/// Demand before and after the crest, in capacities.
const CALM: f64 = 0.3;
/// The urgent part of the demand at the crest, in capacities; alone it would fit.
const URGENT_CREST: f64 = 0.6;
/// The urgent part of the demand before and after the crest, in capacities.
const URGENT_CALM: f64 = 0.15;
/// When the crest begins.
const CREST_FROM: Duration = Duration::from_secs(2);
/// When it ends.
const CREST_UNTIL: Duration = Duration::from_secs(4);
/// How long an urgent caller waits.
const URGENT_WAIT: Duration = Duration::from_millis(500);
/// How long a patient caller waits.
const PATIENT_WAIT: Duration = Duration::from_secs(20);
/// The time from one point of the plot to the next.
const PLOT_STEP: Duration = Duration::from_millis(500);

pub(super) const CASE: CaseSpec = CaseSpec {
    name: "crest",
    about: "demand swings to four times the capacity; its urgent part alone would fit",
    compared: true,
    allows_refusals: true,
    seconds: 6,
    shape,
    load,
    side_load: no_load,
    faults: no_faults,
    fields,
    plot: Some(plot),
};

/// Fewer and slower leafs than usual, so that four times their capacity is no load for the
/// machine.
fn shape() -> FleetShape {
    let usual = usual_shape();
    FleetShape {
        shards: 12,
        leaf: LeafOptions {
            service_time: Duration::from_millis(40),
            ..usual.leaf.clone()
        },
        ..usual
    }
}

fn load(shape: &FleetShape, _duration: Duration) -> Vec<LoadStream> {
    let capacity = shape.searches_per_second();
    let swing = |calm: f64, crest: f64| {
        vec![
            rate_from(Duration::ZERO, calm * capacity),
            rate_from(CREST_FROM, crest * capacity),
            rate_from(CREST_UNTIL, calm * capacity),
        ]
    };
    let patient = swing(CALM - URGENT_CALM, CREST - URGENT_CREST);
    vec![
        searches(URGENT, URGENT_WAIT, swing(URGENT_CALM, URGENT_CREST)),
        searches(PATIENT, PATIENT_WAIT, patient),
    ]
}

fn fields(view: &CaseView) -> Vec<CaseField> {
    let at_crest = |account: &'static str| {
        let calls = view.calls_of(move |stream| stream.account.as_ref() == account);
        view.served_share(calls.filter(|call| (CREST_FROM..CREST_UNTIL).contains(&call.due)))
    };
    vec![
        CaseField::new("urgent_share", at_crest(URGENT)),
        CaseField::new("patient_share", at_crest(PATIENT)),
    ]
}

fn plot(policy: &str, views: &[&CaseView]) -> Vec<PlotLine> {
    let line = |account: &str| {
        PlotLine::of_service(format!("{account}, {policy}"), views, account, PLOT_STEP)
    };
    vec![line(URGENT), line(PATIENT)]
}
