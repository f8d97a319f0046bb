//! The relay: callers' plain HTTP requests, passed on by published routes.
//!
//! The search engine of [`crate::engine`] speaks the product's own protocol with targets that know
//! shards and index versions. The relay serves targets that know neither: a request is an opaque
//! HTTP message, a route names the services that answer it, and a service is a set of targets
//! that answer equally well. A route either passes the whole request to one target, or asks one
//! target of each of several services and merges their records.
//!
//! Like the engine it is a function of (state, time, event): it owns no clock, socket or thread.
//!
//! - [`route`], [`target_record`]: what the operators and the targets publish.
//! - [`event`], [`action`]: what the relay is told, and what it decides.
//! - `request`: one request and its legs, a leg for each service that it asks.
//! - `target`, `choice`: what is known of each target, and which one is asked.
//! - `dispatch`, `replies`, `hedging`, `finish`: the passes over a request.
//! - `probing`: whether targets can be reached.
//! - `suspicion`: requests that crash their targets.
//! - `budget`: how many second sends a service is given.
//! - [`IdlePolicy`]: how long idle connections are kept.
//! - [`merge`]: the greatest records of several parts.
//! - `verifier`: what must hold after each event.
//!
//! See `docs/PLATFORM.md`.

pub mod action;
mod budget;
mod choice;
mod directory;
mod dispatch;
pub mod event;
mod finish;
mod hedging;
mod idle_policy;
mod latencies;
pub mod merge;
mod probing;
mod replies;
mod request;
pub mod route;
mod service;
mod submit;
mod suspicion;
mod target;
pub mod target_record;
mod timers;
mod verifier;

use std::sync::Arc;
use std::time::{Duration, Instant};

pub use action::{
    AttemptOrder, ProbeOrder, RefusalCause, RelayAction, RelayAnswer, RelayDecision, RelayRefusal,
};
pub use event::{ProbeOutcome, RelayEvent, RelayRequest, TargetOutcome, TargetReply};
pub use idle_policy::IdlePolicy;
pub use route::{MergeRule, RepeatKind, RouteDestination, RouteEntry, RouteTable};
pub use target_record::{TargetPhase, TargetRecord};

use latencies::RouteLatencies;
use request::RequestTable;
use service::ServiceTable;
use suspicion::SuspicionState;
use target::RelayTargets;
use timers::{TimerKind, TimerQueue};

use crate::ids::DataCentreName;

/// The relay's own number of a request, counted up by the daemon.
pub type RequestKey = u64;
/// The relay's own number of an attempt at a target.
pub type AttemptKey = u64;
/// The relay's own number of one incarnation of a target.
pub type TargetKey = u32;

/// What a relay is set up with.
#[derive(Clone, Debug)]
pub struct RelayOptions {
    /// The data centre of this daemon, whose targets are nearer.
    pub data_centre: DataCentreName,
    /// What may change while it runs.
    pub tuning: RelayTuning,
}

/// What of a relay's options may change while it runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RelayTuning {
    /// The share of a service's requests that may be sent a second time, over all daemons.
    pub retry_share: f64,
    /// The window over which that share is counted.
    pub retry_window: Duration,
    /// How long a target goes on serving after it was said to leave.
    pub drain_time: Duration,
}

/// Every decision of the relay of one daemon.
#[derive(Debug)]
pub struct RelayEngine {
    options: RelayOptions,
    routes: Arc<RouteTable>,
    services: ServiceTable,
    targets: RelayTargets,
    requests: RequestTable,
    latencies: RouteLatencies,
    suspicion: SuspicionState,
    timers: TimerQueue,
    resumed_at: Option<Instant>,
    list_regained_at: Option<Instant>,
    split_counter: u64,
    daemon_count: u32,
}

impl RelayEngine {
    /// Makes a relay that knows no route and no target.
    pub fn new(options: RelayOptions) -> Self {
        Self {
            options,
            routes: Arc::new(RouteTable::default()),
            services: ServiceTable::default(),
            targets: RelayTargets::default(),
            requests: RequestTable::default(),
            latencies: RouteLatencies::default(),
            suspicion: SuspicionState::default(),
            timers: TimerQueue::default(),
            resumed_at: None,
            list_regained_at: None,
            split_counter: 0,
            daemon_count: 0,
        }
    }

    /// Takes an event and appends what follows from it to `actions`, in the order to carry out.
    ///
    /// Each [`RelayAction::Send`] is followed by just one [`RelayEvent::AttemptEnded`], also after
    /// [`RelayAction::Cancel`].
    pub fn handle(&mut self, now: Instant, event: RelayEvent, actions: &mut Vec<RelayAction>) {
        match event {
            RelayEvent::RoutesChanged(table) => self.set_routes(table),
            RelayEvent::TargetListed(record) => self.handle_target_listed(now, record, actions),
            RelayEvent::TargetUnlisted { name } => self.handle_target_unlisted(now, &name, actions),
            RelayEvent::Submit(request) => self.submit(now, request, actions),
            RelayEvent::CallerGone { request } => self.handle_caller_gone(now, request, actions),
            RelayEvent::AttemptEnded { attempt, outcome } => {
                self.handle_attempt_ended(now, attempt, outcome, actions);
            }
            RelayEvent::Probed { target, outcome } => {
                self.handle_probe_result(now, target, outcome, actions);
                self.resolve_loss(now, target, outcome, actions);
            }
            RelayEvent::Noticed(notice) => self.handle_notice(now, &notice),
            RelayEvent::NoticeEnded(fingerprint) => self.handle_notice_ended(now, fingerprint),
            RelayEvent::DaemonCountChanged(daemons) => {
                self.daemon_count = daemons;
                self.services.set_connection_limits(&self.routes, daemons);
            }
            RelayEvent::ListRegained => self.list_regained_at = Some(now),
            RelayEvent::TuningChanged(tuning) => self.options.tuning = tuning,
            RelayEvent::Paused => self.resumed_at = Some(now),
            RelayEvent::Tick => {}
        }
        self.run_timers(now, actions);
        verifier::check(self);
    }

    /// When the relay wants the next [`RelayEvent::Tick`], if at all.
    pub fn next_wake(&self) -> Option<Instant> {
        let hold = self.suspicion.table.next_expiry();
        self.timers.next().into_iter().chain(hold).min()
    }

    /// The routes in force.
    pub fn routes(&self) -> &Arc<RouteTable> {
        &self.routes
    }

    /// How many requests are in work.
    pub fn active_requests(&self) -> usize {
        self.requests.len()
    }

    fn set_routes(&mut self, table: Arc<RouteTable>) {
        if table.version <= self.routes.version && self.routes.version > 0 {
            return;
        }
        self.services
            .set_connection_limits(&table, self.daemon_count);
        self.latencies.retain(&table);
        self.routes = table;
    }

    fn run_timers(&mut self, now: Instant, actions: &mut Vec<RelayAction>) {
        self.suspicion.table.expire(now);
        while let Some(kind) = self.timers.pop_due(now) {
            match kind {
                TimerKind::SlowLegCheck { request } => self.check_slow_legs(now, request, actions),
                TimerKind::PartialAnswer { request } => {
                    self.allow_partial_answer(now, request, actions)
                }
                TimerKind::CapacityWait { request } => {
                    self.end_capacity_wait(now, request, actions)
                }
                TimerKind::Deadline { request } => self.end_deadline(now, request, actions),
                TimerKind::SurplusAttempt { attempt } => {
                    self.cancel_surplus_attempt(attempt, actions)
                }
                TimerKind::Retry { request, leg_index } => {
                    self.retry_leg(now, request, leg_index, actions)
                }
                TimerKind::Probe { target } => self.probe_if_due(now, target, actions),
                TimerKind::Departure { target } => self.end_departure(now, target, actions),
            }
        }
    }
}
