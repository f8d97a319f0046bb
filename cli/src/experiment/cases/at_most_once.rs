//! `at-most-once`: orders (non-idempotent requests) are sent in two copies at once and again after
//! losses, while targets crash, connections stop responding and a daemon is replaced.

use std::time::Duration;

use yuccalift_core::Outcome;
use yuccalift_standins::{CallKind, CallResult, LeafCommand, LoadStream};

use super::{ORDER_ACCOUNT, default_load, default_shape, rate_from, search_stream};
use crate::experiment::case::{CaseSpec, FaultAction, FaultStep};
use crate::experiment::measure::{ReportField, RunRecord};
use crate::fleet::FleetShape;

/// Orders per second that are sent with a ticket.
const TICKETED_RATE: f64 = 120.0;
/// Orders per second that are sent without a ticket.
const UNTICKETED_RATE: f64 = 40.0;
/// Maximum time that a caller waits for an order.
const CALLER_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of times that a caller resends an order that was not answered.
const MAX_RESENDS: u32 = 3;
/// Number of daemons to which each order is sent at the same time.
const ORDER_COPIES: u32 = 2;
/// Time of the first fault, and between two faults.
const FAULT_PERIOD: Duration = Duration::from_secs(1);
/// Each fault affects one target in this many.
const TARGET_STRIDE: usize = 9;
/// Time that a crashed target is unavailable.
const DOWNTIME: Duration = Duration::from_millis(500);

pub(super) const CASE: CaseSpec = CaseSpec {
    name: "at-most-once",
    summary: "orders are sent in two copies and resent, while targets, connections and a daemon fail",
    compares_baseline: false,
    allows_refusals: true,
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
    let order_stream = |kind: CallKind, rate: f64| LoadStream {
        kind,
        max_resends: MAX_RESENDS,
        ..search_stream(
            ORDER_ACCOUNT,
            CALLER_TIMEOUT,
            vec![rate_from(Duration::ZERO, rate)],
        )
    };
    let ticketed = CallKind::Execute {
        shards: shards.clone(),
        copies: ORDER_COPIES,
    };
    vec![
        order_stream(ticketed, TICKETED_RATE),
        order_stream(CallKind::ExecuteWithoutTicket { shards }, UNTICKETED_RATE),
    ]
}

/// Alternately crashes targets and silences connections, in each round of other targets, and
/// replaces a daemon halfway.
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
    let count_orders = |predicate: fn(&CallResult) -> bool| {
        let calls = record.calls_of(|stream| stream.kind != CallKind::Search);
        calls.filter(|call| predicate(&call.result)).count() as f64
    };
    let count_refusals = |outcome: Outcome| {
        let calls = record.calls_of(|stream| stream.kind != CallKind::Search);
        let refused = calls.filter(|call| {
            matches!(&call.result, CallResult::Refused(refusal) if refusal.outcome == outcome)
        });
        refused.count() as f64
    };
    vec![
        ReportField::new("orders", count_orders(|_| true)),
        ReportField::new(
            "orders_ran",
            count_orders(|result| matches!(result, CallResult::Executed { .. })),
        ),
        ReportField::new("orders_not_run", count_refusals(Outcome::NotRun)),
        ReportField::new("orders_unknown", count_refusals(Outcome::Unknown)),
    ]
}
