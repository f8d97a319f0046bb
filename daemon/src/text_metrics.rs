//! The metrics of the catalogue, kept to be read as text: [`TextMetrics`].
//!
//! Each metric of the catalogue is one series, so that nothing grows with ids or targets.

use std::time::Duration;

use prometheus::core::Collector;
use prometheus::{Histogram, HistogramOpts, IntCounter, IntGauge, Registry, TextEncoder};

use crate::metrics::{DaemonMetric, METRIC_PREFIX, METRICS, MetricKind, MetricSpec};

/// The upper bounds of a timer's buckets, in milliseconds: from what one target takes to the
/// longest time-out that is published.
const TIMER_BUCKETS: [f64; 14] = [
    1.0, 2.5, 5.0, 10.0, 25.0, 50.0, 75.0, 100.0, 150.0, 250.0, 500.0, 1_000.0, 3_000.0, 15_000.0,
];

/// One series.
#[derive(Debug)]
enum MetricSeries {
    Counter(IntCounter),
    Gauge(IntGauge),
    Timer(Histogram),
}

/// All series, sorted by name.
#[derive(Debug)]
pub(crate) struct TextMetrics {
    registry: Registry,
    series: Vec<(&'static str, MetricSeries)>,
}

impl TextMetrics {
    /// A series for each metric of the catalogue, all at nothing.
    pub(crate) fn new() -> Self {
        let registry = Registry::new();
        let mut series: Vec<(&'static str, MetricSeries)> = METRICS
            .iter()
            .filter_map(|spec| Some((spec.name, make_series(&registry, spec)?)))
            .collect();
        series.sort_by_key(|(name, _)| *name);
        Self { registry, series }
    }

    /// Adds to a counter.
    pub(crate) fn count(&self, metric: DaemonMetric, number: u64) {
        if let Some(MetricSeries::Counter(counter)) = self.find(metric) {
            counter.inc_by(number);
        }
    }

    /// Sets a gauge.
    pub(crate) fn gauge(&self, metric: DaemonMetric, value: u64) {
        if let Some(MetricSeries::Gauge(gauge)) = self.find(metric) {
            gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        }
    }

    /// Notes a duration.
    pub(crate) fn time(&self, metric: DaemonMetric, duration: Duration) {
        if let Some(MetricSeries::Timer(histogram)) = self.find(metric) {
            histogram.observe(duration.as_secs_f64() * 1_000.0);
        }
    }

    /// All series as text.
    pub(crate) fn render(&self) -> String {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_default()
    }

    fn find(&self, metric: DaemonMetric) -> Option<&MetricSeries> {
        let name = metric.name();
        let place = self.series.binary_search_by_key(&name, |(name, _)| *name);
        place.ok().map(|place| &self.series[place].1)
    }
}

/// Makes a series and registers it; the catalogue's names are valid, which a test shows.
fn make_series(registry: &Registry, spec: &MetricSpec) -> Option<MetricSeries> {
    let name = format!("{METRIC_PREFIX}_{}", spec.name.replace('.', "_"));
    let help = format!("{} In {}.", spec.meaning, spec.unit);
    match spec.kind {
        MetricKind::Counter => {
            let counter = IntCounter::new(name, help).ok()?;
            register(registry, &counter).then_some(MetricSeries::Counter(counter))
        }
        MetricKind::Gauge => {
            let gauge = IntGauge::new(name, help).ok()?;
            register(registry, &gauge).then_some(MetricSeries::Gauge(gauge))
        }
        MetricKind::Timer => {
            let options = HistogramOpts::new(name, help).buckets(TIMER_BUCKETS.into());
            let histogram = Histogram::with_opts(options).ok()?;
            register(registry, &histogram).then_some(MetricSeries::Timer(histogram))
        }
    }
}

fn register(registry: &Registry, collector: &(impl Collector + Clone + 'static)) -> bool {
    registry.register(Box::new(collector.clone())).is_ok()
}
