//! The relay: forwards callers' plain HTTP requests along published routes.
//!
//! The search engine of [`crate::engine`] speaks the product's own protocol with targets that know
//! shards and index versions. The targets of the relay know neither: a request is an opaque HTTP
//! message, a route names the services that answer it, and a service is a set of interchangeable
//! targets. A route either forwards the whole request to one target, or sends it to one target of
//! each of several services and merges their records.
//!
//! Like the engine, the relay is a pure function of (state, time, event): it owns no clock, socket
//! or thread.
//!
//! - [`route`], [`target_record`]: routes published by operators, and records published by targets.
//! - [`event`], [`action`]: the inputs and outputs of the relay.
//! - `request`: the state of a request and of its legs, one leg for each service that it is sent
//!   to.
//! - `target`, `choice`: the state of each target, and the selection of a target.
//! - [`self_report`], [`target_hold`]: what targets say of themselves, and whether they may therefore
//!   get a request now.
//! - `evacuation`: the data centres whose targets get nothing.
//! - [`load_estimate`]: the load that targets report.
//! - `idle_links`: the idle connections to each target.
//! - `cold_targets`: the rate at which cold targets get requests.
//! - `dispatch`, `replies`, `hedging`, `finish`: the stages of request processing.
//! - [`admission`], `response_estimate`, `pacing`: overload control, before a request is sent and
//!   at slow targets.
//! - `reach`, `peer_forwarding`: what the daemon does while it reaches no target, but its peers do.
//! - `probing`: connection probes of targets that may be unreachable.
//! - `suspicion`: detection of requests that crash their targets.
//! - `budget`: the retry budget of each service.
//! - [`IdlePolicy`]: the lifetime of idle connections.
//! - [`LinkHistory`]: the requests that a connection has carried, and which others it may carry.
//! - [`merge`]: merging the records of several services.
//! - [`explanation`]: where a request would be sent now, and why.
//! - `verifier`: invariants that are checked after each event.
//!
//! See `docs/PLATFORM.md`.

pub mod action;
pub mod admission;
mod budget;
mod choice;
mod cold_targets;
mod directory;
mod dispatch;
mod evacuation;
pub mod event;
pub mod explanation;
mod finish;
mod hedging;
mod idle_links;
mod idle_policy;
mod latencies;
mod link_history;
pub mod load_estimate;
pub mod merge;
mod pacing;
mod peer_forwarding;
mod probing;
mod reach;
mod replies;
mod reply_body;
mod reports;
mod request;
mod response_estimate;
pub mod route;
pub mod self_report;
mod service;
mod submit;
mod suspicion;
mod target;
pub mod target_hold;
pub mod target_record;
mod timers;
mod verifier;

use std::sync::Arc;
use std::time::{Duration, Instant};

pub use action::{
    AttemptOrder, ForwardOrder, ProbeOrder, RefusalCause, RelayAction, RelayAnswer, RelayDecision,
    RelayRefusal,
};
pub use admission::AdmissionMode;
pub use event::{
    ForwardOutcome, PeerAddress, ProbeOutcome, RelayEvent, RelayRequest, RequestOrigin,
    TargetOutcome, TargetReply,
};
pub use explanation::RequestExplanation;
pub use idle_policy::IdlePolicy;
pub use link_history::LinkHistory;
pub use load_estimate::LoadTrustChange;
pub use reply_body::ReplyBody;
pub use route::{MergeRule, RepeatKind, RouteDestination, RouteEntry, RouteTable};
pub use self_report::{ReportedLoad, ReportedRate, SelfReport};
pub use target_hold::{ColdTolerance, HoldChange};
pub use target_record::{TargetPhase, TargetRecord};

use admission::AdmissionState;
use cold_targets::FormerCounts;
use evacuation::EvacuationSet;
use latencies::RouteLatencies;
use peer_forwarding::ForwardingState;
use reach::ReachState;
use request::RequestTable;
use service::ServiceTable;
use suspicion::SuspicionState;
use target::RelayTargets;
use timers::{TimerKind, TimerQueue};

use crate::ids::{DataCentreName, HostName};

/// Identifies a request within this daemon; assigned in ascending order by the daemon.
pub type RequestKey = u64;
/// Identifies an attempt to send a request to a target; assigned in ascending order.
pub type AttemptKey = u64;
/// Identifies one incarnation of a target within this daemon; assigned in ascending order.
pub type TargetKey = u32;

/// Configuration of a [`RelayEngine`].
#[derive(Clone, Debug)]
pub struct RelayOptions {
    /// Data centre of this daemon; targets in the same data centre are preferred.
    pub data_centre: DataCentreName,
    /// Host of this daemon; the order of equally good targets differs between hosts.
    pub host: HostName,
    /// Options that may change at run time.
    pub tuning: RelayTuning,
}

/// Relay options that may change at run time, by [`RelayEvent::TuningChanged`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RelayTuning {
    /// Maximum share of a service's requests, over all daemons, that may be hedged or retried.
    pub retry_share: f64,
    /// Length of the sliding window over which `retry_share` is measured.
    pub retry_window: Duration,
    /// How long a target keeps serving after it has announced that it is leaving.
    pub drain_time: Duration,
    /// Tolerances of the rate at which cold targets get requests; the rate is not limited if absent.
    pub cold: Option<ColdTolerance>,
    /// Whether requests are refused early while targets are under pressure.
    pub admission: AdmissionMode,
}

/// The state and all decisions of the relay of one daemon.
#[derive(Debug)]
pub struct RelayEngine {
    options: RelayOptions,
    routes: Arc<RouteTable>,
    services: ServiceTable,
    targets: RelayTargets,
    requests: RequestTable,
    latencies: RouteLatencies,
    admission: AdmissionState,
    suspicion: SuspicionState,
    evacuations: EvacuationSet,
    reach: ReachState,
    forwarding: ForwardingState,
    timers: TimerQueue,
    /// Time of the last [`RelayEvent::Paused`]; delays that began earlier are not reliable.
    resumed_at: Option<Instant>,
    /// Time of the last [`RelayEvent::ListRegained`].
    list_regained_at: Option<Instant>,
    /// Number of requests on routes with a weighted split.
    split_counter: u64,
    /// Estimated number of daemons; 0 while unknown.
    daemon_count: u32,
    former_counts: FormerCounts,
}

impl RelayEngine {
    /// Creates a relay without routes or targets.
    pub fn new(options: RelayOptions) -> Self {
        Self {
            options,
            routes: Arc::new(RouteTable::default()),
            services: ServiceTable::default(),
            targets: RelayTargets::default(),
            requests: RequestTable::default(),
            latencies: RouteLatencies::default(),
            admission: AdmissionState::default(),
            suspicion: SuspicionState::default(),
            evacuations: EvacuationSet::default(),
            reach: ReachState::default(),
            forwarding: ForwardingState::default(),
            timers: TimerQueue::default(),
            resumed_at: None,
            list_regained_at: None,
            split_counter: 0,
            daemon_count: 0,
            former_counts: FormerCounts::default(),
        }
    }

    /// Processes an event and appends the resulting actions to `actions`, in the order in which
    /// they must be carried out.
    ///
    /// Each [`RelayAction::Send`] must be followed by exactly one [`RelayEvent::AttemptEnded`],
    /// also after [`RelayAction::Cancel`].
    pub fn handle(&mut self, now: Instant, event: RelayEvent, actions: &mut Vec<RelayAction>) {
        match event {
            RelayEvent::RoutesChanged(table) => self.set_routes(table),
            RelayEvent::TargetListed(record) => self.handle_target_listed(now, record, actions),
            RelayEvent::TargetUnlisted { name } => self.handle_target_unlisted(now, &name, actions),
            RelayEvent::EvacuationChanged {
                data_centre,
                active,
            } => self.handle_evacuation(now, &data_centre, active, actions),
            RelayEvent::Submit(request) => self.submit(now, request, actions),
            RelayEvent::CallerDisconnected { request } => {
                self.handle_disconnect(now, request, actions);
            }
            RelayEvent::AttemptEnded {
                attempt,
                outcome,
                report,
            } => {
                self.record_report(now, attempt, &outcome, report, actions);
                self.handle_attempt_ended(now, attempt, outcome, actions);
            }
            RelayEvent::LinkIdle { target, expires } => {
                if let Some(target) = self.targets.get_mut(target) {
                    target.idle_links.add(now, expires);
                }
            }
            RelayEvent::Probed { target, outcome } => {
                self.handle_probe_result(now, target, outcome, actions);
                self.resolve_loss(now, target, outcome, actions);
            }
            RelayEvent::LinkOpened => self.record_link_opened(now, actions),
            RelayEvent::PeersChanged(peers) => self.forwarding.set_peers(peers),
            RelayEvent::ForwardEnded { request, outcome } => {
                self.handle_forward_ended(now, request, outcome, actions);
            }
            RelayEvent::Notice(notice) => self.handle_notice(now, &notice),
            RelayEvent::NoticeEnded(fingerprint) => self.handle_notice_ended(now, fingerprint),
            RelayEvent::DaemonCountChanged(daemons) => {
                let former = std::mem::replace(&mut self.daemon_count, daemons);
                self.former_counts.record(now, former, daemons);
                self.services.set_connection_limits(&self.routes, daemons);
            }
            RelayEvent::Ending => self.end_all_requests(now, actions),
            RelayEvent::ListRegained => self.list_regained_at = Some(now),
            RelayEvent::TuningChanged(tuning) => self.options.tuning = tuning,
            RelayEvent::Paused => self.resumed_at = Some(now),
            RelayEvent::Tick => {}
        }
        self.run_timers(now, actions);
        verifier::check(self);
    }

    /// Returns the time at which the next [`RelayEvent::Tick`] is due; `None` if no timer is set.
    pub fn next_wake(&self) -> Option<Instant> {
        let next_expiry = self.suspicion.table.next_expiry();
        self.timers.next().into_iter().chain(next_expiry).min()
    }

    /// Returns the routes in effect.
    pub fn routes(&self) -> &Arc<RouteTable> {
        &self.routes
    }

    /// Returns the number of requests that have been neither answered nor refused.
    pub fn active_requests(&self) -> usize {
        self.requests.len() + self.forwarded_requests()
    }

    fn set_routes(&mut self, table: Arc<RouteTable>) {
        if table.version <= self.routes.version && self.routes.version > 0 {
            return;
        }
        self.services
            .set_connection_limits(&table, self.daemon_count);
        self.latencies.retain(&table);
        self.admission.retain(&table);
        self.routes = table;
    }

    fn run_timers(&mut self, now: Instant, actions: &mut Vec<RelayAction>) {
        self.suspicion.table.expire(now);
        while let Some(kind) = self.timers.pop_due(now) {
            match kind {
                TimerKind::SlowLegCheck { request } => self.check_slow_legs(now, request, actions),
                TimerKind::PartialAnswer { request } => {
                    self.allow_partial_answer(now, request, actions);
                }
                TimerKind::CapacityWait { request } => {
                    self.end_capacity_wait(now, request, actions);
                }
                TimerKind::Deadline { request } => self.end_deadline(now, request, actions),
                TimerKind::SurplusAttempt { attempt } => {
                    self.cancel_surplus_attempt(attempt, actions);
                }
                TimerKind::Retry { request, leg_index } => {
                    self.retry_leg(now, request, leg_index, actions);
                }
                TimerKind::Paced { target } => self.dispatch_parked_to(now, target, actions),
                TimerKind::Probe { target } => self.probe_if_due(now, target, actions),
                TimerKind::ReachCheck => self.check_reach(now, actions),
                TimerKind::VerdictWait { request } => self.end_verdict_wait(now, request, actions),
                TimerKind::ForwardDeadline { request } => {
                    self.drop_forwarded(request, Some(RelayRefusal::TimedOut), actions);
                }
                TimerKind::EvacuationCheck => self.end_unconfirmed_evacuations(now, actions),
                TimerKind::Departure { target } => self.end_departure(now, target, actions),
            }
        }
    }
}
