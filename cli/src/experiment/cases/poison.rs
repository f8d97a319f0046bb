//! `poison`: one request crashes each target that executes it, and its caller keeps sending it.

use std::time::Duration;

use yuccalift_standins::leaf::options::CRASH_MARKER;
use yuccalift_standins::{CallKind, LoadStream, StreamText};

use super::{
    URGENT_ACCOUNT, URGENT_TIMEOUT, default_load, default_shape, no_faults, rate_from,
    search_stream,
};
use crate::experiment::case::CaseSpec;
use crate::experiment::measure::{ReportField, RunRecord};
use crate::fleet::FleetShape;

/// Time at which the request is first sent.
const FIRST_SEND_AT: Duration = Duration::from_secs(3);
/// Number of times per second that the request is sent.
const RATE: f64 = 2.0;

pub(super) const CASE: CaseSpec = CaseSpec {
    name: "poison",
    summary: "one request crashes each target that executes it, and is sent repeatedly",
    compares_baseline: false,
    allows_refusals: true,
    seconds: 10,
    shape: default_shape,
    load: default_load,
    additional_load,
    faults: no_faults,
    fields,
    plot: None,
};

fn additional_load(_shape: &FleetShape, _duration: Duration) -> Vec<LoadStream> {
    let stream = search_stream(
        URGENT_ACCOUNT,
        URGENT_TIMEOUT,
        vec![rate_from(FIRST_SEND_AT, RATE)],
    );
    vec![LoadStream {
        text: StreamText::Fixed(CRASH_MARKER.into()),
        ..stream
    }]
}

fn fields(record: &RunRecord) -> Vec<ReportField> {
    let sends_crashing_request = |stream: &LoadStream| stream.text != StreamText::Unique;
    let mut crashing_requests: Vec<&str> = record
        .calls_of(sends_crashing_request)
        .map(|call| call.request.as_ref())
        .collect();
    crashing_requests.sort_unstable();
    let runs = record.evidence.leafs.iter().flat_map(|leaf| &leaf.runs);
    let crashes = runs.filter(|run| {
        crashing_requests
            .binary_search(&run.request.as_ref())
            .is_ok()
    });
    let other_searches = record
        .calls_of(|stream| stream.kind == CallKind::Search && stream.text == StreamText::Unique);
    vec![
        ReportField::new("targets_lost", crashes.count() as f64),
        ReportField::new("innocent_share", record.served_share(other_searches)),
    ]
}
