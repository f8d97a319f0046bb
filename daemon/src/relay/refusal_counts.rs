//! Counts refused requests by route, service and reason: [`RefusalCounts`].
//!
//! Each combination that has occurred is one series of [`DaemonMetric::RelayRefusals`]. Only names
//! of the routes in effect become labels, since names may change with each published version and a
//! scraper keeps every series that it has seen. A series whose name is no longer published is merged
//! into the series [`OTHER`] of its reason, so that no refusal is lost from the sum.

use std::cmp::Ordering;

use yuccalift_core::relay::RouteTable;

use crate::metrics::{DaemonMetric, MetricsClient};

/// Maximum number of series with names of routes and services; a series is about 120 bytes of text
/// in each answer of the metrics listener.
pub const MAX_REFUSAL_SERIES: usize = 1_000;
/// Label of refusals that have no series of their own.
pub const OTHER: &str = "other";

/// The labels of a series. The reason is a constant of the code, so that it needs no bound.
#[derive(Debug)]
struct RefusalLabels {
    route: Box<str>,
    service: Box<str>,
    reason: &'static str,
}

impl RefusalLabels {
    fn compare(&self, route: &str, service: &str, reason: &str) -> Ordering {
        (self.route.as_ref(), self.service.as_ref(), self.reason).cmp(&(route, service, reason))
    }
}

/// Counts of refused requests, with a bounded number of series.
#[derive(Debug)]
pub struct RefusalCounts {
    metrics: MetricsClient,
    /// Names of the routes in effect, sorted.
    routes: Vec<Box<str>>,
    /// Names of the services in effect, sorted.
    services: Vec<Box<str>>,
    /// The series with names of routes and services, sorted.
    series: Vec<RefusalLabels>,
}

impl RefusalCounts {
    /// Creates counts without names.
    pub fn new(metrics: MetricsClient) -> Self {
        Self {
            metrics,
            routes: Vec::new(),
            services: Vec::new(),
            series: Vec::new(),
        }
    }

    /// Uses the names of a new version of the routes, and merges the series of former names.
    pub fn set_routes(&mut self, table: &RouteTable) {
        let routes = table.routes.iter().map(|route| route.name.clone());
        self.routes = sorted_names(routes.collect());
        let published = table.services.iter().map(|service| service.name.clone());
        let mut services: Vec<Box<str>> = published.collect();
        for route in &table.routes {
            services.extend(route.destination.services().into_iter().cloned());
        }
        self.services = sorted_names(services);
        let (routes, services) = (&self.routes, &self.services);
        let is_former = |labels: &mut RefusalLabels| {
            !is_known(routes, &labels.route) || !is_known(services, &labels.service)
        };
        for former in self.series.extract_if(.., is_former) {
            let labels = [&former.route, &former.service, former.reason];
            self.metrics.merge_series(
                DaemonMetric::RelayRefusals,
                &labels,
                &[OTHER, OTHER, former.reason],
            );
        }
    }

    /// Counts a refused request. `route` and `service` are empty if the request has none.
    pub fn count(&mut self, route: &str, service: &str, reason: &'static str) {
        let labels = if self.has_series(route, service, reason) {
            [route, service, reason]
        } else {
            [OTHER, OTHER, reason]
        };
        let metric = DaemonMetric::RelayRefusals;
        self.metrics.count_labelled(metric, &labels, 1);
    }

    /// Returns whether these labels have their own series, which is added if there is room.
    fn has_series(&mut self, route: &str, service: &str, reason: &'static str) -> bool {
        if !is_known(&self.routes, route) || !is_known(&self.services, service) {
            return false;
        }
        let found = self
            .series
            .binary_search_by(|labels| labels.compare(route, service, reason));
        let Err(index) = found else {
            return true;
        };
        if self.series.len() >= MAX_REFUSAL_SERIES {
            return false;
        }
        let labels = RefusalLabels {
            route: route.into(),
            service: service.into(),
            reason,
        };
        self.series.insert(index, labels);
        true
    }
}

/// Returns whether a name is in effect; a request may have no route or service.
fn is_known(names: &[Box<str>], name: &str) -> bool {
    name.is_empty() || names.binary_search_by(|other| (**other).cmp(name)).is_ok()
}

fn sorted_names(mut names: Vec<Box<str>>) -> Vec<Box<str>> {
    names.sort_unstable();
    names.dedup();
    names
}
