//! What attempts on each route take: [`RouteLatencies`].

use std::time::Duration;

use super::route::{RouteEntry, RouteTable};
use crate::engine::latency::LatencyHistogram;

/// What is taken for usual on a route that nothing is known of, as a part of its latency aim.
const UNKNOWN_USUAL: f64 = 0.2;
/// What is taken for slow on such a route, as a part of its latency aim.
const UNKNOWN_SLOW: f64 = 0.5;

/// The latencies of the routes in use, sorted by route name.
#[derive(Debug, Default)]
pub(super) struct RouteLatencies {
    entries: Vec<(Box<str>, LatencyHistogram)>,
}

impl RouteLatencies {
    /// Takes a sample.
    pub(super) fn record(&mut self, route: &RouteEntry, took: Duration) {
        let place = match self.place(&route.name) {
            Ok(place) => place,
            Err(place) => {
                let entry = (route.name.clone(), LatencyHistogram::default());
                self.entries.insert(place, entry);
                place
            }
        };
        self.entries[place].1.record(took);
    }

    /// What an attempt usually takes.
    pub(super) fn usual(&self, route: &RouteEntry) -> Duration {
        self.find(&route.name)
            .and_then(LatencyHistogram::quantiles)
            .map_or(route.latency_aim.mul_f64(UNKNOWN_USUAL), |known| {
                known.median
            })
    }

    /// What only few attempts exceed.
    pub(super) fn slow(&self, route: &RouteEntry) -> Duration {
        self.find(&route.name)
            .and_then(LatencyHistogram::quantiles)
            .map_or(route.latency_aim.mul_f64(UNKNOWN_SLOW), |known| known.hedge)
    }

    /// Forgets routes that are no longer published.
    pub(super) fn retain(&mut self, table: &RouteTable) {
        self.entries
            .retain(|(name, _)| table.routes.iter().any(|route| route.name == *name));
    }

    fn find(&self, name: &str) -> Option<&LatencyHistogram> {
        let place = self.place(name).ok()?;
        self.entries.get(place).map(|(_, histogram)| histogram)
    }

    fn place(&self, name: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|(other, _)| other.as_ref().cmp(name))
    }
}
