//! Latency statistics of the attempts on each route: [`RouteLatencies`].

use std::time::Duration;

use super::route::{RouteEntry, RouteTable};
use crate::engine::latency::LatencyHistogram;

/// Typical latency of a route without samples, as a fraction of its latency aim.
const DEFAULT_TYPICAL_SHARE: f64 = 0.2;
/// Tail latency of a route without samples, as a fraction of its latency aim.
const DEFAULT_TAIL_SHARE: f64 = 0.5;

/// Latency histograms of the routes in use, sorted by route name.
#[derive(Debug, Default)]
pub(super) struct RouteLatencies {
    entries: Vec<(Box<str>, LatencyHistogram)>,
}

impl RouteLatencies {
    pub(super) fn record(&mut self, route: &RouteEntry, took: Duration) {
        let index = match self.index(&route.name) {
            Ok(index) => index,
            Err(index) => {
                let entry = (route.name.clone(), LatencyHistogram::default());
                self.entries.insert(index, entry);
                index
            }
        };
        self.entries[index].1.record(took);
    }

    /// Returns whether there are enough samples of the route.
    pub(super) fn is_known(&self, route: &RouteEntry) -> bool {
        let histogram = self.find(&route.name);
        histogram.is_some_and(|histogram| histogram.quantiles().is_some())
    }

    /// Returns the median latency of an attempt on the route.
    pub(super) fn typical(&self, route: &RouteEntry) -> Duration {
        self.find(&route.name)
            .and_then(LatencyHistogram::quantiles)
            .map_or(route.latency_aim.mul_f64(DEFAULT_TYPICAL_SHARE), |known| {
                known.median
            })
    }

    /// Returns the latency that only few attempts on the route exceed.
    pub(super) fn tail(&self, route: &RouteEntry) -> Duration {
        self.find(&route.name)
            .and_then(LatencyHistogram::quantiles)
            .map_or(route.latency_aim.mul_f64(DEFAULT_TAIL_SHARE), |known| {
                known.hedge
            })
    }

    /// Removes the histograms of routes that are no longer published.
    pub(super) fn retain(&mut self, table: &RouteTable) {
        self.entries
            .retain(|(name, _)| table.routes.iter().any(|route| route.name == *name));
    }

    fn find(&self, name: &str) -> Option<&LatencyHistogram> {
        let index = self.index(name).ok()?;
        self.entries.get(index).map(|(_, histogram)| histogram)
    }

    fn index(&self, name: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|(other, _)| other.as_ref().cmp(name))
    }
}
