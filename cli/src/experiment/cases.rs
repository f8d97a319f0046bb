//! The cases, one module each, with the definitions that they share.

use std::time::Duration;

use yuccalift_core::PolicyKind;
use yuccalift_standins::{CallKind, LeafOptions, LoadStream, RateStep, StreamText};

use crate::experiment::case::{CaseSpec, FaultStep};
use crate::experiment::measure::{ReportField, RunRecord};
use crate::fleet::{COLLECTION, FleetShape};

mod at_most_once;
mod crest;
mod data_partition;
mod drain;
mod platform_outage;
mod poison;
mod replica_loss;
mod rolling_restart;
mod silent_connection;
mod snapshot_change;
mod steady;
mod straggler;

/// All cases, in the order in which they are listed.
pub const ALL: &[&CaseSpec] = &[
    &steady::CASE,
    &straggler::CASE,
    &crest::CASE,
    &replica_loss::CASE,
    &drain::CASE,
    &rolling_restart::CASE,
    &silent_connection::CASE,
    &poison::CASE,
    &snapshot_change::CASE,
    &at_most_once::CASE,
    &platform_outage::CASE,
    &data_partition::CASE,
];

/// Account of urgent searches.
const URGENT_ACCOUNT: &str = "race-desk";
/// Account of searches that can wait in the queue.
const PATIENT_ACCOUNT: &str = "ledger-view";
/// Account of non-idempotent requests.
const ORDER_ACCOUNT: &str = "clash-check";

/// Templates and accounts that every case publishes.
const ACCOUNTS: &str = "\
templates:
  desk:
    collections: [tags]
    urgency: urgent
    patience: 500ms
    deadline: 2s
    repeat: hedge
  ledger:
    collections: [tags]
    urgency: patient
    patience: 20s
    deadline: 25s
    repeat: retry
    queue_limit: 10000
  order:
    collections: [tags]
    urgency: urgent
    patience: 1s
    deadline: 3s
    repeat: never
accounts:
  race-desk:
    template: desk
  ledger-view:
    template: ledger
  clash-check:
    template: order
";

/// Maximum time that the caller of an urgent search waits.
const URGENT_TIMEOUT: Duration = Duration::from_secs(2);
/// Median service time of leafs; long enough that one machine sustains the load of 90 leafs.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// Share of the leafs' capacity that the default load uses. If one of three replicas of a shard is
/// lost, the other two run at three fifths of their capacity.
const LOAD_SHARE: f64 = 0.4;

/// Returns the default fleet: 30 shards with three replicas each (90 leafs) and three daemons.
fn default_shape() -> FleetShape {
    FleetShape {
        shards: 30,
        replicas: 3,
        daemons: 3,
        remote_leafs: Vec::new(),
        leaf: LeafOptions {
            slots: 3,
            connections: 30,
            service_time: SERVICE_TIME,
            ..LeafOptions::default()
        },
        accounts: ACCOUNTS,
        policy: PolicyKind::Full,
        seed: 0,
    }
}

/// Returns urgent searches at a constant rate that uses [`LOAD_SHARE`] of the leafs' capacity.
fn default_load(shape: &FleetShape, _duration: Duration) -> Vec<LoadStream> {
    let rate = shape.searches_per_second() * LOAD_SHARE;
    vec![search_stream(
        URGENT_ACCOUNT,
        URGENT_TIMEOUT,
        vec![rate_from(Duration::ZERO, rate)],
    )]
}

fn search_stream(account: &str, wait: Duration, rates: Vec<RateStep>) -> LoadStream {
    LoadStream {
        account: account.into(),
        collection: COLLECTION.into(),
        kind: CallKind::Search,
        text: StreamText::Unique,
        rates,
        wait,
        max_resends: 0,
    }
}

fn rate_from(from: Duration, per_second: f64) -> RateStep {
    RateStep { from, per_second }
}

fn no_load(_shape: &FleetShape, _duration: Duration) -> Vec<LoadStream> {
    Vec::new()
}

fn no_faults(_shape: &FleetShape, _duration: Duration) -> Vec<FaultStep> {
    Vec::new()
}

fn no_fields(_record: &RunRecord) -> Vec<ReportField> {
    Vec::new()
}
