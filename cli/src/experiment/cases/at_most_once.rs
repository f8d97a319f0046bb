//! `at-most-once`: orders are sent twice at once and again after losses, while targets crash,
//! connections go silent and daemons are replaced.

use std::time::Duration;

use yuccalift_core::Outcome;
use yuccalift_standins::{CallKind, CallResult, LeafCommand, LoadStream};

use super::{ORDERS, rate_from, searches, usual_load, usual_shape};
use crate::experiment::case::{CaseSpec, FaultAction, FaultStep};
use crate::experiment::measure::{CaseField, CaseView};
use crate::fleet::FleetShape;

/// Orders a second.
const RATE: f64 = 120.0;
/// Orders a second that are sent without a ticket.
const ONCE_RATE: f64 = 40.0;
/// How long a caller waits for its order.
const WAIT: Duration = Duration::from_secs(3);
/// How often a caller sends its order again when no answer came.
const RESENDS: u32 = 3;
/// Through how many daemons each order is sent at once.
const COPIES: u32 = 2;
/// When the first fault acts, and the time from one to the next.
const FAULT_PERIOD: Duration = Duration::from_secs(1);
/// Each fault concerns one target in so many.
const ONE_IN: usize = 9;
/// How long a crashed target is down.
const DOWNTIME: Duration = Duration::from_millis(500);

pub(super) const CASE: CaseSpec = CaseSpec {
    name: "at-most-once",
    about: "orders are sent twice and again, while targets, connections and daemons fail",
    compared: false,
    allows_refusals: true,
    seconds: 12,
    shape: usual_shape,
    load: usual_load,
    side_load,
    faults,
    fields,
    plot: None,
};

fn side_load(shape: &FleetShape, _duration: Duration) -> Vec<LoadStream> {
    let shards: Vec<u32> = (0..shape.shards).collect();
    let order = |kind: CallKind, rate: f64| LoadStream {
        kind,
        max_resends: RESENDS,
        ..searches(ORDERS, WAIT, vec![rate_from(Duration::ZERO, rate)])
    };
    let ticketed = CallKind::Execute {
        shards: shards.clone(),
        copies: COPIES,
    };
    vec![
        order(ticketed, RATE),
        order(CallKind::ExecuteWithoutTicket { shards }, ONCE_RATE),
    ]
}

/// Crashes and silences in turn, of other targets each time, and a daemon that is replaced.
fn faults(shape: &FleetShape, duration: Duration) -> Vec<FaultStep> {
    let leafs = shape.leafs() as usize;
    let rounds = (duration.as_secs() as usize).saturating_sub(2);
    let mut steps = Vec::new();
    for round in 1..=rounds {
        let concerned = (round % ONE_IN..leafs).step_by(ONE_IN);
        let command = match round % 2 {
            0 => LeafCommand::Silence,
            _ => LeafCommand::Crash { downtime: DOWNTIME },
        };
        steps.push(FaultStep::leafs(
            FAULT_PERIOD * round as u32,
            concerned,
            command,
        ));
    }
    steps.push(FaultStep {
        at: FAULT_PERIOD * rounds as u32 / 2,
        action: FaultAction::RestartDaemon(0),
    });
    steps
}

fn fields(view: &CaseView) -> Vec<CaseField> {
    let orders = |test: fn(&CallResult) -> bool| {
        let calls = view.calls_of(|stream| stream.kind != CallKind::Search);
        calls.filter(|call| test(&call.result)).count() as f64
    };
    let refused_as = |outcome: Outcome| {
        let calls = view.calls_of(|stream| stream.kind != CallKind::Search);
        let refused = calls.filter(|call| {
            matches!(&call.result, CallResult::Refused(refusal) if refusal.outcome == outcome)
        });
        refused.count() as f64
    };
    vec![
        CaseField::new("orders", orders(|_| true)),
        CaseField::new(
            "orders_ran",
            orders(|it| matches!(it, CallResult::Executed { .. })),
        ),
        CaseField::new("orders_not_run", refused_as(Outcome::NotRun)),
        CaseField::new("orders_unknown", refused_as(Outcome::Unknown)),
    ]
}
