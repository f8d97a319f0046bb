//! `poison`: one request crashes each target that runs it, and its caller sends it again.

use std::time::Duration;

use yuccalift_standins::leaf::options::CRASH_MARKER;
use yuccalift_standins::{CallKind, LoadStream, StreamText};

use super::{URGENT, URGENT_WAIT, no_faults, rate_from, searches, usual_load, usual_shape};
use crate::experiment::case::CaseSpec;
use crate::experiment::measure::{CaseField, CaseView};
use crate::fleet::FleetShape;

/// When the request is first sent.
const FROM: Duration = Duration::from_secs(3);
/// How often it is sent a second.
const RATE: f64 = 2.0;

pub(super) const CASE: CaseSpec = CaseSpec {
    name: "poison",
    about: "one request crashes each target that runs it, and is sent again and again",
    compared: false,
    allows_refusals: true,
    seconds: 10,
    shape: usual_shape,
    load: usual_load,
    side_load,
    faults: no_faults,
    fields,
    plot: None,
};

fn side_load(_shape: &FleetShape, _duration: Duration) -> Vec<LoadStream> {
    let stream = searches(URGENT, URGENT_WAIT, vec![rate_from(FROM, RATE)]);
    vec![LoadStream {
        text: StreamText::Fixed(CRASH_MARKER.into()),
        ..stream
    }]
}

fn fields(view: &CaseView) -> Vec<CaseField> {
    let is_marked = |stream: &LoadStream| stream.text != StreamText::Unique;
    let mut marked: Vec<&str> = view
        .calls_of(is_marked)
        .map(|call| call.request.as_ref())
        .collect();
    marked.sort_unstable();
    let runs = view.evidence.leafs.iter().flat_map(|leaf| &leaf.runs);
    let lost = runs.filter(|run| marked.binary_search(&run.request.as_ref()).is_ok());
    let innocent = view
        .calls_of(|stream| stream.kind == CallKind::Search && stream.text == StreamText::Unique);
    vec![
        CaseField::new("targets_lost", lost.count() as f64),
        CaseField::new("innocent_share", view.served_share(innocent)),
    ]
}
