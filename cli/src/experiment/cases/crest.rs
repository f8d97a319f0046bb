//! `crest`: demand rises to four times the capacity for a few seconds.

use std::time::Duration;

use yuccalift_standins::{LeafOptions, LoadStream};

use super::{
    PATIENT_ACCOUNT, URGENT_ACCOUNT, default_shape, no_faults, no_load, rate_from, search_stream,
};
use crate::experiment::case::CaseSpec;
use crate::experiment::measure::{ReportField, RunRecord};
use crate::experiment::plot::PlotLine;
use crate::fleet::FleetShape;

/// Demand during the peak, as a multiple of the capacity.
const PEAK_DEMAND: f64 = 4.0;
/// Demand before and after the peak, as a multiple of the capacity.
const BASE_DEMAND: f64 = 0.3;
/// Urgent demand during the peak, as a multiple of the capacity; below 1, so it can be served.
const URGENT_PEAK_DEMAND: f64 = 0.6;
/// Urgent demand before and after the peak, as a multiple of the capacity.
const URGENT_BASE_DEMAND: f64 = 0.15;
/// Time at which the peak starts.
const PEAK_START: Duration = Duration::from_secs(2);
/// Time at which the peak ends.
const PEAK_END: Duration = Duration::from_secs(4);
/// Maximum time that an urgent caller waits.
const URGENT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum time that a patient caller waits.
const PATIENT_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two points of the plot.
const PLOT_STEP: Duration = Duration::from_millis(500);

pub(super) const CASE: CaseSpec = CaseSpec {
    name: "crest",
    summary: "demand rises to four times the capacity; its urgent part alone is below the capacity",
    compares_baseline: true,
    allows_refusals: true,
    seconds: 6,
    shape,
    load,
    additional_load: no_load,
    faults: no_faults,
    fields,
    plot: Some(plot),
};

/// Returns a fleet with fewer and slower leafs than the default, so that one machine can generate
/// four times their capacity.
fn shape() -> FleetShape {
    let default = default_shape();
    FleetShape {
        shards: 12,
        leaf: LeafOptions {
            service_time: Duration::from_millis(40),
            ..default.leaf.clone()
        },
        ..default
    }
}

fn load(shape: &FleetShape, _duration: Duration) -> Vec<LoadStream> {
    let capacity = shape.searches_per_second();
    let rates = |base: f64, peak: f64| {
        vec![
            rate_from(Duration::ZERO, base * capacity),
            rate_from(PEAK_START, peak * capacity),
            rate_from(PEAK_END, base * capacity),
        ]
    };
    let patient = rates(
        BASE_DEMAND - URGENT_BASE_DEMAND,
        PEAK_DEMAND - URGENT_PEAK_DEMAND,
    );
    vec![
        search_stream(
            URGENT_ACCOUNT,
            URGENT_TIMEOUT,
            rates(URGENT_BASE_DEMAND, URGENT_PEAK_DEMAND),
        ),
        search_stream(PATIENT_ACCOUNT, PATIENT_TIMEOUT, patient),
    ]
}

fn fields(record: &RunRecord) -> Vec<ReportField> {
    let share_at_peak = |account: &'static str| {
        let calls = record.calls_of(move |stream| stream.account.as_ref() == account);
        record.served_share(calls.filter(|call| (PEAK_START..PEAK_END).contains(&call.due)))
    };
    vec![
        ReportField::new("urgent_share", share_at_peak(URGENT_ACCOUNT)),
        ReportField::new("patient_share", share_at_peak(PATIENT_ACCOUNT)),
    ]
}

fn plot(policy: &str, records: &[&RunRecord]) -> Vec<PlotLine> {
    let line = |account: &str| {
        PlotLine::from_served_share(format!("{account}, {policy}"), records, account, PLOT_STEP)
    };
    vec![line(URGENT_ACCOUNT), line(PATIENT_ACCOUNT)]
}
