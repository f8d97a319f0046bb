//! Text export of the metrics: [`TextMetrics`].
//!
//! Each metric of the catalogue without labels is exactly one series, so that the export does not
//! grow with the number of queries or targets. Whoever counts by labels bounds their values.

use std::time::Duration;

use prometheus::core::Collector;
use prometheus::{
    Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};

use crate::metrics::{DaemonMetric, METRIC_PREFIX, METRICS, MetricKind, MetricSpec};

/// Upper bounds of a timer's buckets, in milliseconds: from the time that one target takes to the
/// longest timeout that is published.
const TIMER_BUCKETS: [f64; 14] = [
    1.0, 2.5, 5.0, 10.0, 25.0, 50.0, 75.0, 100.0, 150.0, 250.0, 500.0, 1_000.0, 3_000.0, 15_000.0,
];

/// Value of all labels of the first series of a labelled metric, which stays at zero: a metric
/// without series would not be exported, so that its name would be unknown until the first count.
const NO_LABEL: &str = "";

/// Time series of one metric.
#[derive(Debug)]
enum MetricSeries {
    Counter(IntCounter),
    Labelled(IntCounterVec),
    Gauge(IntGauge),
    Timer(Histogram),
}

/// Time series of all metrics, sorted by name.
#[derive(Debug)]
pub(crate) struct TextMetrics {
    registry: Registry,
    series: Vec<(&'static str, MetricSeries)>,
}

impl TextMetrics {
    /// Creates a series at zero for each metric of the catalogue.
    pub(crate) fn new() -> Self {
        let registry = Registry::new();
        let mut series: Vec<(&'static str, MetricSeries)> = METRICS
            .iter()
            .filter_map(|spec| Some((spec.name, make_series(&registry, spec)?)))
            .collect();
        series.sort_by_key(|(name, _)| *name);
        Self { registry, series }
    }

    /// Adds `amount` to a counter.
    pub(crate) fn count(&self, metric: DaemonMetric, amount: u64) {
        if let Some(MetricSeries::Counter(counter)) = self.find_series(metric) {
            counter.inc_by(amount);
        }
    }

    /// Adds `amount` to the series of a counter that has these values of its labels.
    pub(crate) fn count_labelled(&self, metric: DaemonMetric, values: &[&str], amount: u64) {
        if let Some(MetricSeries::Labelled(counters)) = self.find_series(metric)
            && let Ok(counter) = counters.get_metric_with_label_values(values)
        {
            counter.inc_by(amount);
        }
    }

    /// Adds the count of a series to another one, and removes it.
    pub(crate) fn merge_series(&self, metric: DaemonMetric, from: &[&str], into: &[&str]) {
        if let Some(MetricSeries::Labelled(counters)) = self.find_series(metric)
            && let Ok(former) = counters.get_metric_with_label_values(from)
        {
            self.count_labelled(metric, into, former.get());
            let _removed = counters.remove_label_values(from);
        }
    }

    /// Sets a gauge.
    pub(crate) fn gauge(&self, metric: DaemonMetric, value: u64) {
        if let Some(MetricSeries::Gauge(gauge)) = self.find_series(metric) {
            gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        }
    }

    /// Records a duration.
    pub(crate) fn time(&self, metric: DaemonMetric, duration: Duration) {
        if let Some(MetricSeries::Timer(histogram)) = self.find_series(metric) {
            histogram.observe(duration.as_secs_f64() * 1_000.0);
        }
    }

    /// Renders all series in the Prometheus text format.
    pub(crate) fn render(&self) -> String {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_default()
    }

    fn find_series(&self, metric: DaemonMetric) -> Option<&MetricSeries> {
        let name = metric.name();
        let position = self.series.binary_search_by_key(&name, |(name, _)| *name);
        position.ok().map(|position| &self.series[position].1)
    }
}

/// Creates and registers a series; `None` if its name is invalid, which a test rules out for the
/// names of the catalogue.
fn make_series(registry: &Registry, spec: &MetricSpec) -> Option<MetricSeries> {
    let name = format!("{METRIC_PREFIX}_{}", spec.name.replace('.', "_"));
    let help = format!("{} In {}.", spec.meaning, spec.unit);
    match spec.kind {
        MetricKind::Counter if !spec.labels.is_empty() => {
            let counters = IntCounterVec::new(Opts::new(name, help), spec.labels).ok()?;
            let first = vec![NO_LABEL; spec.labels.len()];
            counters.get_metric_with_label_values(&first).ok()?;
            try_register(registry, &counters).then_some(MetricSeries::Labelled(counters))
        }
        MetricKind::Counter => {
            let counter = IntCounter::new(name, help).ok()?;
            try_register(registry, &counter).then_some(MetricSeries::Counter(counter))
        }
        MetricKind::Gauge => {
            let gauge = IntGauge::new(name, help).ok()?;
            try_register(registry, &gauge).then_some(MetricSeries::Gauge(gauge))
        }
        MetricKind::Timer => {
            let options = HistogramOpts::new(name, help).buckets(TIMER_BUCKETS.into());
            let histogram = Histogram::with_opts(options).ok()?;
            try_register(registry, &histogram).then_some(MetricSeries::Timer(histogram))
        }
    }
}

fn try_register(registry: &Registry, collector: &(impl Collector + Clone + 'static)) -> bool {
    registry.register(Box::new(collector.clone())).is_ok()
}
