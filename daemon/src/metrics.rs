//! The metrics of the daemon, sent as `StatsD` over UDP where the settings name an address.
//!
//! One table gives each metric's name, kind and unit; a test holds `docs/METRICS.md` to it. A
//! metric is a hint for graphs and never delays a request: what cannot be sent is dropped.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use cadence::{
    BufferedUdpMetricSink, Counted, Gauged, MetricError, QueuingMetricSink, StatsdClient, Timed,
};
use yuccalift_kernel::ServiceGuard;

use crate::text_metrics::TextMetrics;

/// The name under which the client is published.
pub const METRICS_SERVICE: &str = "metrics";

/// The prefix of each metric's name.
pub const METRIC_PREFIX: &str = "yuccalift";

/// How often metrics that wait for a full packet are sent all the same.
const FLUSH_PERIOD: Duration = Duration::from_secs(1);

/// How many metrics may wait to be sent before more are dropped.
const QUEUE_METRICS: usize = 4096;

/// What kind of figure a metric is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricKind {
    /// A count that only grows.
    Counter,
    /// A value as it is now.
    Gauge,
    /// A duration.
    Timer,
}

/// A metric of the catalogue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MetricSpec {
    /// Its name, after the prefix.
    pub name: &'static str,
    /// Its kind.
    pub kind: MetricKind,
    /// Its unit.
    pub unit: &'static str,
    /// What it tells.
    pub meaning: &'static str,
}

macro_rules! metrics {
    ($(
        #[doc = $meaning:literal]
        $variant:ident $name:literal $kind:ident $unit:literal
    )+) => {
        /// A metric.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum DaemonMetric {
            $(
                #[doc = $meaning]
                $variant,
            )+
        }

        /// The catalogue.
        pub const METRICS: &[MetricSpec] = &[
            $(MetricSpec {
                name: $name,
                kind: MetricKind::$kind,
                unit: $unit,
                meaning: $meaning,
            },)+
        ];

        impl DaemonMetric {
            /// Its name, after the prefix.
            pub fn name(self) -> &'static str {
                match self {
                    $(Self::$variant => $name,)+
                }
            }
        }
    };
}

metrics! {
    #[doc = "Requests admitted and planned."]
    QueriesPlanned "queries.planned" Counter "requests"
    #[doc = "Requests answered, whole or not."]
    QueriesAnswered "queries.answered" Counter "requests"
    #[doc = "Requests refused as a whole."]
    QueriesRefused "queries.refused" Counter "requests"
    #[doc = "From a request's arrival to its answer."]
    QueryTime "queries.time" Timer "milliseconds"
    #[doc = "Shards asked by answered requests."]
    ShardsAsked "shards.asked" Counter "shards"
    #[doc = "Shards missing from answers."]
    ShardsMissing "shards.missing" Counter "shards"
    #[doc = "Requests sent to targets."]
    LeafRequests "leaf.requests" Counter "requests"
    #[doc = "Requests sent to targets beside a slow first one."]
    LeafHedges "leaf.hedges" Counter "requests"
    #[doc = "Requests sent to targets after a failed one."]
    LeafRetries "leaf.retries" Counter "requests"
    #[doc = "Ejections of slow or failing targets."]
    TargetsEjected "targets.ejected" Counter "ejections"
    #[doc = "Requests that were quarantined, here or by a peer."]
    RequestsQuarantined "requests.quarantined" Counter "requests"
    #[doc = "Calls that a listener refused before reading them."]
    CallsRefused "listeners.refused" Counter "calls"
    #[doc = "Requests that a relay has ended, in whatever way."]
    RelayRequests "relay.requests" Counter "requests"
    #[doc = "Requests that a relay answered with success, whole or in part."]
    RelayAnswered "relay.answered" Counter "requests"
    #[doc = "Answers of a relay that lack parts."]
    RelayPartial "relay.partial" Counter "requests"
    #[doc = "Requests that a relay refused, which have not run."]
    RelayRefused "relay.refused" Counter "requests"
    #[doc = "Requests that a relay did not answer with success, and which may have run."]
    RelayFailed "relay.failed" Counter "requests"
    #[doc = "From a request's arrival at a relay to its end."]
    RelayTime "relay.time" Timer "milliseconds"
    #[doc = "Requests that a relay sent to targets."]
    RelayAttempts "relay.attempts" Counter "requests"
    #[doc = "Of these, beside a slow first one."]
    RelayHedges "relay.hedges" Counter "requests"
    #[doc = "Of these, after a failed one."]
    RelayRetries "relay.retries" Counter "requests"
    #[doc = "Targets that got no work for a while, since they broke attempts."]
    TargetsSuspended "targets.suspended" Counter "suspensions"
    #[doc = "Lines about requests that were left out of the log."]
    LinesDropped "log.dropped" Counter "lines"
    #[doc = "Calls to the platform's store."]
    StoreCalls "store.calls" Counter "calls"
    #[doc = "The configuration version in force."]
    ConfigVersion "config.version" Gauge "version"
}

/// Sends metrics, or keeps them to be read as text, or does nothing where neither is set; cheap to
/// clone.
#[derive(Clone, Debug, Default)]
pub struct MetricsClient {
    statsd: Option<Arc<StatsdClient>>,
    text: Option<Arc<TextMetrics>>,
}

impl MetricsClient {
    /// A client that sends to the address.
    ///
    /// # Errors
    ///
    /// [`MetricError`] if no socket can be had.
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

    /// A client that keeps metrics to be read as text.
    pub fn with_text_export() -> Self {
        Self {
            statsd: None,
            text: Some(Arc::new(TextMetrics::new())),
        }
    }

    /// The metrics as text, if they are kept.
    pub fn text(&self) -> String {
        self.text
            .as_ref()
            .map_or_else(String::new, |text| text.render())
    }

    /// Adds to a counter.
    pub fn count(&self, metric: DaemonMetric, number: u64) {
        if let Some(text) = &self.text {
            text.count(metric, number);
        }
        if let Some(statsd) = &self.statsd {
            let _dropped = statsd.count(metric.name(), number);
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

    /// Notes a duration.
    pub fn time(&self, metric: DaemonMetric, duration: Duration) {
        if let Some(text) = &self.text {
            text.time(metric, duration);
        }
        if let Some(statsd) = &self.statsd {
            let _dropped = statsd.time(metric.name(), duration);
        }
    }

    /// Sends what waits from time to time, until the guard's token is cancelled.
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
