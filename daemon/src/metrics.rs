//! Metrics of the daemon, sent as `StatsD` over UDP if the settings name an address.
//!
//! One macro defines each metric's name, kind and unit; a test compares `docs/METRICS.md` with it.
//! Sending a metric never delays a request: a metric that cannot be sent is dropped.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use cadence::{
    BufferedUdpMetricSink, Counted, Gauged, MetricError, QueuingMetricSink, StatsdClient, Timed,
};
use yuccalift_kernel::ServiceGuard;

use crate::text_metrics::TextMetrics;

/// Registry name of the [`MetricsClient`].
pub const METRICS_SERVICE: &str = "metrics";

/// Prefix of every metric's name.
pub const METRIC_PREFIX: &str = "yuccalift";

/// Interval at which buffered metrics are sent even if they do not fill a packet.
const FLUSH_PERIOD: Duration = Duration::from_secs(1);

/// Maximum number of metrics queued to be sent; further ones are dropped.
const QUEUE_METRICS: usize = 4096;

/// Kind of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricKind {
    /// Count that only increases.
    Counter,
    /// Current value.
    Gauge,
    /// Distribution of durations.
    Timer,
}

/// Catalogue entry of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MetricSpec {
    /// Name without [`METRIC_PREFIX`].
    pub name: &'static str,
    /// Kind of the metric, which determines how it is sent.
    pub kind: MetricKind,
    /// Unit, in the plural.
    pub unit: &'static str,
    /// Names of the labels of the metric's series, if it has several.
    pub labels: &'static [&'static str],
    /// Description for operators, in one sentence.
    pub meaning: &'static str,
}

macro_rules! metrics {
    ($(
        #[doc = $meaning:literal]
        $variant:ident $name:literal $kind:ident $unit:literal $([$($label:literal),+])?
    )+) => {
        /// A metric of the catalogue.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum DaemonMetric {
            $(
                #[doc = $meaning]
                $variant,
            )+
        }

        /// All metrics, in the order of their definition.
        pub const METRICS: &[MetricSpec] = &[
            $(MetricSpec {
                name: $name,
                kind: MetricKind::$kind,
                unit: $unit,
                labels: &[$($($label),+)?],
                meaning: $meaning,
            },)+
        ];

        impl DaemonMetric {
            /// Returns the metric's name without [`METRIC_PREFIX`].
            pub fn name(self) -> &'static str {
                match self {
                    $(Self::$variant => $name,)+
                }
            }

            /// Returns the names of the labels of the metric's series.
            fn labels(self) -> &'static [&'static str] {
                match self {
                    $(Self::$variant => &[$($($label),+)?],)+
                }
            }
        }
    };
}

metrics! {
    #[doc = "Requests admitted and planned."]
    QueriesPlanned "queries.planned" Counter "requests"
    #[doc = "Requests answered, completely or in part."]
    QueriesAnswered "queries.answered" Counter "requests"
    #[doc = "Requests refused as a whole."]
    QueriesRefused "queries.refused" Counter "requests"
    #[doc = "Time from a request's arrival to its answer."]
    QueryTime "queries.time" Timer "milliseconds"
    #[doc = "Shards asked by answered requests."]
    ShardsAsked "shards.asked" Counter "shards"
    #[doc = "Shards missing from answers."]
    ShardsMissing "shards.missing" Counter "shards"
    #[doc = "Requests sent to targets."]
    LeafRequests "leaf.requests" Counter "requests"
    #[doc = "Hedges: requests sent to a further target, since the first was slow."]
    LeafHedges "leaf.hedges" Counter "requests"
    #[doc = "Retries: requests sent to a target after a failed request."]
    LeafRetries "leaf.retries" Counter "requests"
    #[doc = "Ejections of slow or failing targets."]
    TargetsEjected "targets.ejected" Counter "ejections"
    #[doc = "Requests quarantined by this daemon or by a peer."]
    RequestsQuarantined "requests.quarantined" Counter "requests"
    #[doc = "Calls that a listener refused before the handler ran."]
    CallsRefused "listeners.refused" Counter "calls"
    #[doc = "Requests that ended at a relay, with any outcome."]
    RelayRequests "relay.requests" Counter "requests"
    #[doc = "Requests that a relay answered with success, completely or in part."]
    RelayAnswered "relay.answered" Counter "requests"
    #[doc = "Answers of a relay with missing parts."]
    RelayPartial "relay.partial" Counter "requests"
    #[doc = "Requests that a relay refused; they did not run."]
    RelayRefused "relay.refused" Counter "requests"
    #[doc = "Requests that a relay refused, by `route`, `service` and `reason`; the sum is that of `relay.refused`."]
    RelayRefusals "relay.refusals" Counter "requests" ["route", "service", "reason"]
    #[doc = "Requests that a relay refused before sending anything, since targets were under pressure; counted as refused as well."]
    RelayShed "relay.shed" Counter "requests"
    #[doc = "Requests that a relay did not answer with success and that may have run, and those with 400, 404, 408, 413 or 431 of the relay, which have not run."]
    RelayFailed "relay.failed" Counter "requests"
    #[doc = "Time from a request's arrival at a relay to its end."]
    RelayTime "relay.time" Timer "milliseconds"
    #[doc = "Requests that a relay sent to targets."]
    RelayAttempts "relay.attempts" Counter "requests"
    #[doc = "Hedges of a relay: requests sent to a further target, since the first was slow."]
    RelayHedges "relay.hedges" Counter "requests"
    #[doc = "Retries of a relay: requests sent to a target after a failed request."]
    RelayRetries "relay.retries" Counter "requests"
    #[doc = "Bytes that a relay holds for its connections and for answers that it receives."]
    MemoryHeld "memory.held" Gauge "bytes"
    #[doc = "1 while a relay reaches no target and forwards its callers' requests to peers, 0 otherwise."]
    RelayCutOff "relay.cut_off" Gauge "states"
    #[doc = "Requests that a relay forwarded to peers, counted for each peer."]
    RelayForwards "relay.forwards" Counter "requests"
    #[doc = "Requests that peers forwarded to a relay."]
    RelayPeerRequests "relay.peer_requests" Counter "requests"
    #[doc = "Era in the store's latest answer to this relay: how often it was restored from an older copy."]
    StoreEra "store.era" Gauge "restorations"
    #[doc = "Revision in the store's latest answer to this relay, which counts within its era."]
    StoreRevision "store.revision" Gauge "revisions"
    #[doc = "Connections that the listeners of a relay have open."]
    ConnectionsOpen "connections.open" Gauge "connections"
    #[doc = "Connections that a relay closed to stay within its memory limit."]
    ConnectionsClosedMemory "connections.closed_memory" Counter "connections"
    #[doc = "Connections that a relay closed since a listener had no descriptors left."]
    ConnectionsClosedPlace "connections.closed_place" Counter "connections"
    #[doc = "Connections that a relay closed since a head or an answer made no progress."]
    ConnectionsClosedStalled "connections.closed_stalled" Counter "connections"
    #[doc = "Suspensions of targets after failed attempts."]
    TargetsSuspended "targets.suspended" Counter "suspensions"
    #[doc = "Times that a target began to name a limit of requests."]
    TargetsLimited "targets.limited" Counter "targets"
    #[doc = "Times that a target turned a request away and asked for a pause."]
    TargetsPaused "targets.paused" Counter "targets"
    #[doc = "Targets that said in an answer that they are leaving."]
    TargetsLeaving "targets.leaving" Counter "targets"
    #[doc = "Data centres that are evacuated now."]
    EvacuationActive "evacuation.active" Gauge "data centres"
    #[doc = "Times that the evacuation of a data centre began."]
    EvacuationStarted "evacuation.started" Counter "evacuations"
    #[doc = "Requests refused since a service that they need is in evacuated data centres only."]
    EvacuationRefused "evacuation.refused" Counter "requests"
    #[doc = "Services missing from answers or refused requests, since all their targets are evacuated."]
    EvacuationMissed "evacuation.missed" Counter "services"
    #[doc = "Times that a target began to say, in its entry or an answer, that it is cold."]
    TargetsCold "targets.cold" Counter "targets"
    #[doc = "Requests refused since the rate of the cold targets of a service is used up."]
    TargetsColdRefused "targets.cold_refused" Counter "requests"
    #[doc = "Answers of targets that reported their load."]
    TargetLoads "targets.load.reports" Counter "answers"
    #[doc = "Times that response times did not confirm the load that a target reports."]
    TargetLoadsDoubted "targets.load.doubted" Counter "targets"
    #[doc = "Lines about requests that were omitted from the log."]
    LinesDropped "log.dropped" Counter "lines"
    #[doc = "Calls to the platform's store."]
    StoreCalls "store.calls" Counter "calls"
    #[doc = "The configuration version in effect."]
    ConfigVersion "config.version" Gauge "version"
    #[doc = "Time since the platform last answered a reader, as far as this daemon knows."]
    KnowledgeAge "config.age" Gauge "milliseconds"
}

/// Records metrics: sends them as `StatsD`, exports them as text, or discards them if neither is
/// configured. Clones share the same sink.
#[derive(Clone, Debug, Default)]
pub struct MetricsClient {
    statsd: Option<Arc<StatsdClient>>,
    text: Option<Arc<TextMetrics>>,
}

impl MetricsClient {
    /// Creates a client that sends metrics to a `StatsD` server.
    ///
    /// # Errors
    ///
    /// Returns [`MetricError`] if no socket can be opened.
    pub fn connect(address: SocketAddr) -> Result<Self, MetricError> {
        let local: SocketAddr = match address {
            SocketAddr::V4(_) => ([0, 0, 0, 0], 0).into(),
            SocketAddr::V6(_) => ([0_u16; 8], 0).into(),
        };
        let socket = UdpSocket::bind(local)?;
        socket.set_nonblocking(true)?;
        let sink = BufferedUdpMetricSink::from(address, socket)?;
        let queue = QueuingMetricSink::with_capacity(sink, QUEUE_METRICS);
        let statsd = Some(Arc::new(StatsdClient::from_sink(METRIC_PREFIX, queue)));
        Ok(Self { statsd, text: None })
    }

    /// Creates a client that keeps metrics in memory for export as text.
    pub fn with_text_export() -> Self {
        Self {
            statsd: None,
            text: Some(Arc::new(TextMetrics::new())),
        }
    }

    /// Returns the metrics in the Prometheus text format; empty without text export.
    pub fn text(&self) -> String {
        self.text
            .as_ref()
            .map_or_else(String::new, |text| text.render())
    }

    /// Adds `amount` to a counter.
    pub fn count(&self, metric: DaemonMetric, amount: u64) {
        if let Some(text) = &self.text {
            text.count(metric, amount);
        }
        if let Some(statsd) = &self.statsd {
            let _dropped = statsd.count(metric.name(), amount);
        }
    }

    /// Adds `amount` to the series of a counter that has these values of its labels, in their order.
    pub fn count_labelled(&self, metric: DaemonMetric, values: &[&str], amount: u64) {
        if let Some(text) = &self.text {
            text.count_labelled(metric, values, amount);
        }
        if let Some(statsd) = &self.statsd {
            let mut counter = statsd.count_with_tags(metric.name(), amount);
            for (label, value) in metric.labels().iter().zip(values) {
                counter = counter.with_tag(label, value);
            }
            let _dropped = counter.try_send();
        }
    }

    /// Adds the count of a labelled series to another one and removes it from the text export.
    /// A `StatsD` server keeps its own series.
    pub fn merge_series(&self, metric: DaemonMetric, from: &[&str], into: &[&str]) {
        if let Some(text) = &self.text {
            text.merge_series(metric, from, into);
        }
    }

    /// Sets a gauge.
    pub fn gauge(&self, metric: DaemonMetric, value: u64) {
        if let Some(text) = &self.text {
            text.gauge(metric, value);
        }
        if let Some(statsd) = &self.statsd {
            let _dropped = statsd.gauge(metric.name(), value);
        }
    }

    /// Records a duration.
    pub fn time(&self, metric: DaemonMetric, duration: Duration) {
        if let Some(text) = &self.text {
            text.time(metric, duration);
        }
        if let Some(statsd) = &self.statsd {
            let _dropped = statsd.time(metric.name(), duration);
        }
    }

    /// Flushes buffered metrics every [`FLUSH_PERIOD`] until the guard's token is cancelled.
    pub(crate) async fn run(self, guard: ServiceGuard) {
        while !guard.token.is_cancelled() {
            tokio::select! {
                () = guard.token.cancelled() => {}
                () = tokio::time::sleep(FLUSH_PERIOD) => {}
            }
            self.flush();
        }
    }

    fn flush(&self) {
        if let Some(statsd) = &self.statsd {
            let _dropped = statsd.flush();
        }
    }
}
