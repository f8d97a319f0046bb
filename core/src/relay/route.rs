//! Published routes: [`RouteTable`], and the look-up of the [`RouteEntry`] of a request.
//!
//! See `docs/PLATFORM.md`, "Routes".

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::ConfigVersion;

/// Name of a service, that is, a set of interchangeable targets.
pub type ServiceName = Box<str>;

/// Whether a request may be sent to more than one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RepeatKind {
    /// Running the request twice has the same effect as running it once.
    Idempotent,
    /// The request runs at most once each time that a caller sends it.
    NonIdempotent,
}

/// How the replies of several services are merged into one answer.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MergeRule {
    /// Maximum number of records in the answer; the greatest ones are kept.
    pub top_records: u32,
    /// Minimum share of the services whose replies a successful answer contains, from 0 to 1.
    #[serde(rename = "least_coverage")]
    pub min_coverage: f64,
}

/// A service of a weighted split.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightedService {
    /// Name of the service.
    pub service: ServiceName,
    /// Share of the requests relative to the other weights; a service with weight 0 receives none.
    pub weight: f64,
}

/// The services that the requests of a route are sent to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteDestination {
    /// One target of one of these services, selected in proportion to the weights.
    Split(Vec<WeightedService>),
    /// One target of each of these services.
    Gather {
        /// Names of the services, without duplicates.
        services: Vec<ServiceName>,
        /// How the replies are merged.
        merge: MergeRule,
    },
}

impl RouteDestination {
    /// Returns the names of all services that requests may be sent to.
    pub fn services(&self) -> Vec<&ServiceName> {
        match self {
            Self::Split(entries) => entries.iter().map(|entry| &entry.service).collect(),
            Self::Gather { services, .. } => services.iter().collect(),
        }
    }
}

/// A published route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteEntry {
    /// Name of the route, used in logs.
    pub name: Box<str>,
    /// Host that a request must name, in lower case.
    pub host: Box<str>,
    /// Prefix of the paths that the route serves; ends with a slash.
    pub prefix: Box<str>,
    /// The services that requests are sent to.
    pub destination: RouteDestination,
    /// Whether requests may be hedged and retried after they may have run.
    pub repeat: RepeatKind,
    /// Maximum number of targets of a service that may run one request.
    pub attempts: u32,
    /// Maximum time from the arrival of a request to its answer.
    pub timeout: Duration,
    /// Time within which an answer is fully useful to the caller.
    pub latency_aim: Duration,
    /// Rank among waiting requests; 0 is served first.
    pub priority: u32,
}

/// A published service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// Name of the service.
    pub name: ServiceName,
    /// Number of connections that each target accepts from all daemons together.
    pub connections: u32,
    /// Requests per second that a cold target accepts from all daemons together; finite, and 0 if
    /// no limit is published.
    #[serde(default)]
    pub cold_rate: f64,
    /// Time for which a target is cold after its start; zero if none is published.
    #[serde(default)]
    pub cold_time: Duration,
}

/// Published limits on the requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time for receiving a request head.
    pub head_timeout: Duration,
    /// Maximum idle time of a caller's connection.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 256 * 1024,
            head_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

/// A published version of all routes; the routes are sorted by host and then by prefix.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteTable {
    /// Version of the table; 0 until a table is known.
    pub version: ConfigVersion,
    /// All routes, sorted by host and then by prefix.
    pub routes: Vec<Arc<RouteEntry>>,
    /// All services, sorted by name.
    pub services: Vec<ServiceEntry>,
    /// Limits on the requests of callers.
    pub limits: CallerLimits,
}

impl RouteTable {
    /// Creates a table and sorts its lists for binary search.
    pub fn new(
        version: ConfigVersion,
        routes: Vec<RouteEntry>,
        mut services: Vec<ServiceEntry>,
        limits: CallerLimits,
    ) -> Self {
        let mut routes: Vec<Arc<RouteEntry>> = routes.into_iter().map(Arc::new).collect();
        routes.sort_by(|left, right| sort_key(left).cmp(&sort_key(right)));
        services.sort_by(|left, right| left.name.cmp(&right.name));
        Self {
            version,
            routes,
            services,
            limits,
        }
    }

    /// Returns the route of the host with the longest prefix of the path.
    ///
    /// Prefixes end with a slash, so only the parts of the path that end with a slash are looked
    /// up: in a table of thousands of routes, that is one binary search for each slash of the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteEntry>> {
        let slashes = path.bytes().enumerate().rev();
        slashes
            .filter(|(_, byte)| *byte == b'/')
            .find_map(|(end, _)| self.find_exact(host, &path[..=end]))
    }

    fn find_exact(&self, host: &str, prefix: &str) -> Option<&Arc<RouteEntry>> {
        let index = self
            .routes
            .binary_search_by(|route| sort_key(route).cmp(&(host, prefix)))
            .ok()?;
        self.routes.get(index)
    }

    /// Returns the published entry of a service.
    pub fn service(&self, name: &str) -> Option<&ServiceEntry> {
        let index = self
            .services
            .binary_search_by(|service| service.name.as_ref().cmp(name))
            .ok()?;
        self.services.get(index)
    }
}

fn sort_key(route: &RouteEntry) -> (&str, &str) {
    (&route.host, &route.prefix)
}
