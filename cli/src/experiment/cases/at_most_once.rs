//! `at-most-once`: orders are sent twice at once and again after losses, while targets crash,
//! connections go silent and daemons are replaced.

use std::time::Duration;

use yuccalift_core::Outcome;
use yuccalift_standins::{CallKind, CallResult, LeafCommand, LoadStream};

use super::{ORDER_ACCOUNT, default_load, default_shape, rate_from, search_stream};
use crate::experiment::case::{CaseSpec, FaultAction, FaultStep};
use crate::experiment::measure::{ReportField, RunRecord};
use crate::fleet::FleetShape;

/// Orders a second.
const RATE: f64 = 120.0;
/// Orders a second that are sent without a ticket.
const UNTICKETED_RATE: f64 = 40.0;
/// How long a caller waits for its order.
const CALLER_TIMEOUT: Duration = Duration::from_secs(3);
/// How often a caller sends its order again when no answer came.
const RESENDS: u32 = 3;
/// Through how many daemons each order is sent at once.
const COPIES: u32 = 2;
/// When the first fault acts, and the time from one to the next.
const FAULT_PERIOD: Duration = Duration::from_secs(1);
/// Each fault concerns one target in so many.
const TARGET_STRIDE: usize = 9;
/// How long a crashed target is down.
const DOWNTIME: Duration = Duration::from_millis(500);

pub(super) const CASE: CaseSpec = CaseSpec {
    name: "at-most-once",
    summary: "orders are sent twice and again, while targets, connections and daemons fail",
    compares_baseline: false,
    excuses_refusals: true,
    seconds: 12,
    shape: default_shape,
    load: default_load,
    additional_load,
    faults,
    fields,
    plot: None,
};

fn additional_load(shape: &FleetShape, _duration: Duration) -> Vec<LoadStream> {
    let shards: Vec<u32> = (0..shape.shards).collect();
    let order = |kind: CallKind, rate: f64| LoadStream {
        kind,
        resends: RESENDS,
        ..search_stream(
            ORDER_ACCOUNT,
            CALLER_TIMEOUT,
            vec![rate_from(Duration::ZERO, rate)],
        )
    };
    let ticketed = CallKind::Execute {
        shards: shards.clone(),
        copies: COPIES,
    };
    vec![
        order(ticketed, RATE),
        order(CallKind::ExecuteOnce { shards }, UNTICKETED_RATE),
    ]
}

/// Crashes and silences in turn, of other targets each time, and a daemon that is replaced.
fn faults(shape: &FleetShape, duration: Duration) -> Vec<FaultStep> {
    let leafs = shape.leafs() as usize;
    let rounds = (duration.as_secs() as usize).saturating_sub(2);
    let mut steps = Vec::new();
    for round in 1..=rounds {
        let affected = (round % TARGET_STRIDE..leafs).step_by(TARGET_STRIDE);
        let command = match round % 2 {
            0 => LeafCommand::Silence,
            _ => LeafCommand::Crash { downtime: DOWNTIME },
        };
        steps.push(FaultStep::leafs(
            FAULT_PERIOD * round as u32,
            affected,
            command,
        ));
    }
    steps.push(FaultStep {
        at: FAULT_PERIOD * rounds as u32 / 2,
        action: FaultAction::RestartDaemon(0),
    });
    steps
}

fn fields(record: &RunRecord) -> Vec<ReportField> {
    let orders = |predicate: fn(&CallResult) -> bool| {
        let calls = record.calls_of(|stream| stream.kind != CallKind::Search);
        calls.filter(|call| predicate(&call.result)).count() as f64
    };
    let refused_as = |outcome: Outcome| {
        let calls = record.calls_of(|stream| stream.kind != CallKind::Search);
        let refused = calls.filter(|call| {
            matches!(&call.result, CallResult::Refused(refusal) if refusal.outcome == outcome)
        });
        refused.count() as f64
    };
    vec![
        ReportField::new("orders", orders(|_| true)),
        ReportField::new(
            "orders_ran",
            orders(|result| matches!(result, CallResult::Executed { .. })),
        ),
        ReportField::new("orders_not_run", refused_as(Outcome::NotRun)),
        ReportField::new("orders_unknown", refused_as(Outcome::Unknown)),
    ]
}
