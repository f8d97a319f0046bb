//! Log lines and metrics of the relay: [`RelayReport`].
//!
//! The volume is bounded: lines about requests beyond [`MAX_LINES_PER_SECOND`] are dropped and
//! counted, and of successful requests only a sample is logged. See `docs/OPERATIONS.md`.

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

use yuccalift_core::control::StorePosition;
use yuccalift_core::ids::StoreEra;
use yuccalift_core::relay::route::ServiceName;
use yuccalift_core::relay::{RefusalCause, RouteTable};
use yuccalift_platform::DecodeError;
use yuccalift_platform::store::StoreError;

use super::refusal_counts::RefusalCounts;
use super::target_change_log::{ChangeLine, TargetChangeLog};
use crate::decision_log::millis;
use crate::events::LogEvent;
use crate::metrics::{DaemonMetric, MetricsClient};
use crate::rate_limit::RateLimit;

/// Maximum number of lines about requests per second: at 300 bytes each, 120 KB/s.
const MAX_LINES_PER_SECOND: u32 = 400;
/// One in this many successful requests is logged.
const GOOD_REQUEST_LOG_INTERVAL: u64 = 16;
/// Minimum interval between reports of dropped lines.
const DROP_REPORT_PERIOD: Duration = Duration::from_secs(1);

/// Outcome of a request, for the log and the metrics.
#[derive(Debug)]
pub(super) struct RequestEnd {
    request: Box<str>,
    /// Name of the route; empty if none was found.
    pub(super) route: Box<str>,
    /// Version of the routes that were applied; 0 if there were none.
    pub(super) version: u64,
    /// Latency up to which an answer counts as good.
    pub(super) latency_aim: Duration,
    /// HTTP status of the answer.
    pub(super) status: u16,
    /// Reason for the outcome, as logged.
    pub(super) cause: &'static str,
    /// Name of the service that a refusal is due to; empty if there is none.
    pub(super) service: ServiceName,
    /// Number of parts in a merged answer.
    pub(super) parts: u32,
    /// Number of parts missing from a merged answer.
    pub(super) missing: u32,
    /// Time from the request's arrival to its answer.
    pub(super) took: Duration,
}

impl RequestEnd {
    /// Creates the record of a request of which only the id is known.
    pub(super) fn new(request: &str) -> Self {
        Self {
            request: request.into(),
            route: Box::default(),
            version: 0,
            latency_aim: Duration::ZERO,
            status: 0,
            cause: "",
            service: ServiceName::default(),
            parts: 0,
            missing: 0,
            took: Duration::ZERO,
        }
    }

    fn is_good(&self) -> bool {
        self.status < 300 && self.missing == 0 && self.took <= self.latency_aim
    }
}

/// Writes log lines at a bounded rate, and updates metrics.
#[derive(Debug)]
pub(super) struct RelayReport {
    pub(super) metrics: MetricsClient,
    refusals: RefCell<RefusalCounts>,
    rate_limit: RefCell<RateLimit>,
    dropped: Cell<u64>,
    last_drop_report: Cell<Instant>,
    good_requests: Cell<u64>,
    store_lost_at: Cell<Option<Instant>>,
    /// Era of the store's latest answer; `None` before the first one.
    store_era: Cell<Option<StoreEra>>,
    pub(super) target_changes: RefCell<TargetChangeLog>,
}

impl RelayReport {
    /// Creates a report that has logged nothing yet.
    pub(super) fn new(now: Instant, metrics: MetricsClient) -> Self {
        Self {
            refusals: RefCell::new(RefusalCounts::new(metrics.clone())),
            metrics,
            rate_limit: RefCell::new(RateLimit::new(now, MAX_LINES_PER_SECOND)),
            dropped: Cell::new(0),
            last_drop_report: Cell::new(now),
            good_requests: Cell::new(0),
            store_lost_at: Cell::new(None),
            store_era: Cell::new(None),
            target_changes: RefCell::default(),
        }
    }

    /// Logs an event about a request unless the rate limit is reached.
    pub(super) fn write_limited(&self, event: &LogEvent<'_>) {
        let now = Instant::now();
        if !self.rate_limit.borrow_mut().try_take(now) {
            self.dropped.set(self.dropped.get() + 1);
            self.metrics.count(DaemonMetric::LinesDropped, 1);
            return;
        }
        if self.dropped.get() > 0
            && now.saturating_duration_since(self.last_drop_report.get()) >= DROP_REPORT_PERIOD
        {
            let lines = self.dropped.replace(0);
            self.last_drop_report.set(now);
            LogEvent::LinesDropped { lines }.emit();
        }
        event.emit();
    }

    /// Counts the end of a request, and logs it unless sampling or the rate limit drops it.
    pub(super) fn log_request_end(&self, end: &RequestEnd) {
        self.count_end(end);
        if end.is_good() {
            self.good_requests.set(self.good_requests.get() + 1);
            if !self
                .good_requests
                .get()
                .is_multiple_of(GOOD_REQUEST_LOG_INTERVAL)
            {
                return;
            }
        }
        self.write_limited(&LogEvent::RequestEnded {
            request: &end.request,
            route: &end.route,
            version: end.version,
            status: u64::from(end.status),
            cause: end.cause,
            parts: u64::from(end.parts),
            missing: u64::from(end.missing),
            took_ms: millis(end.took),
        });
    }

    fn count_end(&self, end: &RequestEnd) {
        let metrics = &self.metrics;
        metrics.count(DaemonMetric::RelayRequests, 1);
        metrics.time(DaemonMetric::RelayTime, end.took);
        let kind = match end.status {
            200..300 => DaemonMetric::RelayAnswered,
            429 | 503 => DaemonMetric::RelayRefused,
            _ => DaemonMetric::RelayFailed,
        };
        metrics.count(kind, 1);
        if kind == DaemonMetric::RelayRefused {
            let mut refusals = self.refusals.borrow_mut();
            refusals.count(&end.route, &end.service, end.cause);
        }
        if end.cause == RefusalCause::Cold.as_str() {
            metrics.count(DaemonMetric::TargetsColdRefused, 1);
        }
        if end.cause == RefusalCause::Evacuated.as_str() {
            metrics.count(DaemonMetric::EvacuationRefused, 1);
        }
        if end.cause == RefusalCause::Overload.as_str() {
            metrics.count(DaemonMetric::RelayShed, 1);
        }
        if end.missing > 0 {
            metrics.count(DaemonMetric::RelayPartial, 1);
        }
    }

    pub(super) fn count_attempt(&self) {
        self.metrics.count(DaemonMetric::RelayAttempts, 1);
    }

    pub(super) fn count_store_call(&self) {
        self.metrics.count(DaemonMetric::StoreCalls, 1);
    }

    /// Sets the gauge of how old the knowledge of the store is.
    pub(super) fn set_knowledge_age(&self, age: Duration) {
        self.metrics.gauge(DaemonMetric::KnowledgeAge, millis(age));
    }

    /// Logs that a caller disconnected before its answer.
    pub(super) fn log_caller_left(&self, request: &str) {
        self.write_limited(&LogEvent::CallerLeft { request });
    }

    /// Returns when [`RelayReport::write_target_changes`] is due; `None` if no change waits.
    pub(super) fn target_changes_due(&self) -> Option<Instant> {
        self.target_changes.borrow().next_due()
    }

    /// Writes the lines of target changes whose interval is over.
    pub(super) fn write_target_changes(&self) {
        write_changes(&self.target_changes.borrow_mut().take_due(Instant::now()));
    }

    /// Writes the lines of all target changes, before the process ends.
    pub(super) fn write_all_target_changes(&self) {
        write_changes(&self.target_changes.borrow_mut().take_all());
    }

    pub(super) fn log_pause(gap: Duration) {
        LogEvent::LanePaused {
            gap_ms: millis(gap),
        }
        .emit();
    }

    /// Counts refused requests by the names of these routes from now on.
    pub(super) fn set_routes(&self, table: &RouteTable) {
        self.refusals.borrow_mut().set_routes(table);
    }

    /// Logs that a version of the routes has taken effect.
    pub(super) fn log_routes(table: &RouteTable, revision: u64) {
        LogEvent::RoutesInForce {
            version: table.version,
            routes: table.routes.len() as u64,
            services: table.services.len() as u64,
            revision,
        }
        .emit();
    }

    /// Logs that an entry of the store can't be decoded.
    pub(super) fn log_refused_entry(&self, key: &str, error: &DecodeError) {
        let fault = error.to_string();
        self.write_limited(&LogEvent::EntryRefused { key, fault: &fault });
    }

    /// Logs that something that a target says of itself can't be read.
    pub(super) fn log_refused_report(&self, target: &str, error: &DecodeError) {
        let fault = error.to_string();
        self.write_limited(&LogEvent::ReportRefused {
            target,
            fault: &fault,
        });
    }

    /// Counts a request that is forwarded to a peer.
    pub(super) fn count_forward(&self) {
        self.metrics.count(DaemonMetric::RelayForwards, 1);
    }

    /// Counts a request that a peer forwarded.
    pub(super) fn count_peer_request(&self) {
        self.metrics.count(DaemonMetric::RelayPeerRequests, 1);
    }

    /// Counts an answer whose target reported its load.
    pub(super) fn count_load_report(&self) {
        self.metrics.count(DaemonMetric::TargetLoads, 1);
    }

    /// Logs the first of a series of failed store reads.
    pub(super) fn record_store_failure(&self, error: &StoreError) {
        if self.store_lost_at.get().is_none() {
            self.store_lost_at.set(Some(Instant::now()));
            let fault = error.to_string();
            LogEvent::StoreLost { fault: &fault }.emit();
        }
    }

    /// Logs that the store can be read again after failed reads, and that it was restored from an
    /// older copy.
    pub(super) fn record_store_answer(&self, position: StorePosition) {
        let StorePosition { era, version } = position;
        self.metrics.gauge(DaemonMetric::StoreEra, era);
        self.metrics.gauge(DaemonMetric::StoreRevision, version);
        let former_era = self.store_era.replace(Some(era));
        if let Some(former_era) = former_era.filter(|former| *former != era) {
            LogEvent::StoreRestored {
                era,
                former_era,
                revision: version,
            }
            .emit();
        }
        if let Some(lost_at) = self.store_lost_at.take() {
            let outage_ms = millis(lost_at.elapsed());
            LogEvent::StoreRegained { outage_ms }.emit();
        }
    }
}

pub(super) fn write_changes(lines: &[ChangeLine]) {
    for line in lines {
        let state = line.state;
        match line.targets.as_slice() {
            [target] => LogEvent::TargetChanged { target, state }.emit(),
            targets => LogEvent::TargetsChanged {
                state,
                count: targets.len() as u64,
                targets: &targets.join(" "),
            }
            .emit(),
        }
    }
}
