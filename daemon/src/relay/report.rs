//! The lines of the log that the relay writes: [`RelayReport`].
//!
//! The volume is bounded: lines about requests beyond [`MAX_LINES_PER_SECOND`] a second are left out and
//! counted, and of requests that ended well only some are written. See `docs/OPERATIONS.md`.

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

use yuccalift_core::relay::action::SendCause;
use yuccalift_core::relay::{RelayDecision, RequestKey, RouteTable};
use yuccalift_platform::DecodeError;
use yuccalift_platform::store::StoreError;

use crate::decision_log::millis;
use crate::events::LogEvent;
use crate::metrics::{DaemonMetric, MetricsClient};
use crate::rate_limit::RateLimit;

/// The most lines about requests in a second: at 300 bytes each, 120 KB/s.
const MAX_LINES_PER_SECOND: u32 = 400;
/// Of the requests that ended well, one in so many is written.
const GOOD_REQUEST_LOG_INTERVAL: u64 = 16;
/// How often left out lines are told of.
const DROP_REPORT_PERIOD: Duration = Duration::from_secs(1);

/// How a request ended.
#[derive(Debug)]
pub(super) struct RequestEnd {
    request: Box<str>,
    /// The route's name.
    pub(super) route: Box<str>,
    /// The version of the routes that it went by.
    pub(super) version: u64,
    /// The time within which an answer is of full use.
    pub(super) latency_aim: Duration,
    /// The status that the caller got.
    pub(super) status: u16,
    /// Why it ended so.
    pub(super) cause: &'static str,
    /// How many parts are in the answer.
    pub(super) parts: u32,
    /// How many are not.
    pub(super) missing: u32,
    /// How long it took.
    pub(super) took: Duration,
}

impl RequestEnd {
    /// A request that nothing is known of but its name.
    pub(super) fn new(request: &str) -> Self {
        Self {
            request: request.into(),
            route: Box::default(),
            version: 0,
            latency_aim: Duration::ZERO,
            status: 0,
            cause: "",
            parts: 0,
            missing: 0,
            took: Duration::ZERO,
        }
    }

    fn is_good(&self) -> bool {
        self.status < 300 && self.missing == 0 && self.took <= self.latency_aim
    }
}

/// Writes lines, and counts those that it leaves out.
#[derive(Debug)]
pub(super) struct RelayReport {
    metrics: MetricsClient,
    limit: RefCell<RateLimit>,
    dropped: Cell<u64>,
    last_drop_report: Cell<Instant>,
    good_requests: Cell<u64>,
    store_lost: Cell<Option<Instant>>,
}

impl RelayReport {
    /// A report that has written nothing.
    pub(super) fn new(now: Instant, metrics: MetricsClient) -> Self {
        Self {
            metrics,
            limit: RefCell::new(RateLimit::new(now, MAX_LINES_PER_SECOND)),
            dropped: Cell::new(0),
            last_drop_report: Cell::new(now),
            good_requests: Cell::new(0),
            store_lost: Cell::new(None),
        }
    }

    /// Writes a line about a request, if there is room.
    fn write_limited(&self, event: &LogEvent<'_>) {
        let now = Instant::now();
        if !self.limit.borrow_mut().try_take(now) {
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

    /// Writes the end of a request; `name` of its caller's.
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
        if end.missing > 0 {
            metrics.count(DaemonMetric::RelayPartial, 1);
        }
    }

    /// Counts an attempt.
    pub(super) fn count_attempt(&self) {
        self.metrics.count(DaemonMetric::RelayAttempts, 1);
    }

    /// Counts a call to the store.
    pub(super) fn count_store_call(&self) {
        self.metrics.count(DaemonMetric::StoreCalls, 1);
    }

    /// Writes that a caller left before its answer.
    pub(super) fn log_caller_left(&self, request: &str) {
        self.write_limited(&LogEvent::CallerLeft { request });
    }

    /// Writes a decision of the engine; `name` gives a request's name.
    pub(super) fn log_decision(
        &self,
        decision: &RelayDecision,
        name: impl Fn(RequestKey) -> Box<str>,
    ) {
        match decision {
            RelayDecision::SentOnce {
                request,
                target,
                time_left,
            } => self.write_limited(&LogEvent::OrderSent {
                request: &name(*request),
                target,
                time_left_ms: millis(*time_left),
            }),
            RelayDecision::SentAgain {
                request,
                target,
                cause,
                after,
            } => {
                self.count_repeated_attempt(*cause);
                self.write_limited(&LogEvent::AttemptRepeated {
                    request: &name(*request),
                    target,
                    cause: cause_name(*cause),
                    after_ms: millis(*after),
                });
            }
            RelayDecision::AttemptFailed {
                request,
                target,
                outcome,
                took,
            } => self.write_limited(&LogEvent::AttemptFailed {
                request: &name(*request),
                target,
                outcome,
                took_ms: millis(*took),
            }),
            RelayDecision::Missed {
                request,
                service,
                reason,
            } => self.write_limited(&LogEvent::ServiceMissed {
                request: &name(*request),
                service,
                reason,
            }),
            RelayDecision::Suspended { target, period } => {
                self.metrics.count(DaemonMetric::TargetsSuspended, 1);
                LogEvent::TargetSuspended {
                    target,
                    period_ms: millis(*period),
                }
                .emit();
            }
            RelayDecision::Resumed { target } => LogEvent::TargetResumed { target }.emit(),
            RelayDecision::TargetChanged { target, state } => {
                LogEvent::TargetChanged { target, state }.emit();
            }
        }
    }

    fn count_repeated_attempt(&self, cause: SendCause) {
        let metric = match cause {
            SendCause::First => return,
            SendCause::Hedge => DaemonMetric::RelayHedges,
            SendCause::Retry => DaemonMetric::RelayRetries,
        };
        self.metrics.count(metric, 1);
    }

    /// Writes that the process was paused.
    pub(super) fn log_pause(gap: Duration) {
        LogEvent::LanePaused {
            gap_ms: millis(gap),
        }
        .emit();
    }

    /// Writes that a version of the routes is in force.
    pub(super) fn log_routes(table: &RouteTable, revision: u64) {
        LogEvent::RoutesInForce {
            version: table.version,
            routes: table.routes.len() as u64,
            services: table.services.len() as u64,
            revision,
        }
        .emit();
    }

    /// Writes that an entry of the store can't be used.
    pub(super) fn log_refused_entry(&self, key: &str, error: &DecodeError) {
        let fault = error.to_string();
        self.write_limited(&LogEvent::EntryRefused { key, fault: &fault });
    }

    /// Writes that the store can't be read, the first time.
    pub(super) fn record_store_failure(&self, error: &StoreError) {
        if self.store_lost.get().is_none() {
            self.store_lost.set(Some(Instant::now()));
            let fault = error.to_string();
            LogEvent::StoreLost { fault: &fault }.emit();
        }
    }

    /// Writes that the store can be read again, if it could not.
    pub(super) fn record_store_answer(&self) {
        if let Some(since) = self.store_lost.take() {
            let outage_ms = millis(since.elapsed());
            LogEvent::StoreRegained { outage_ms }.emit();
        }
    }
}

fn cause_name(cause: SendCause) -> &'static str {
    match cause {
        SendCause::First => "first",
        SendCause::Hedge => "hedge",
        SendCause::Retry => "retry",
    }
}
