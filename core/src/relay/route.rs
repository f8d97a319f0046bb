//! Published routes: [`RouteTable`], and which [`RouteEntry`] a request goes by.
//!
//! See `docs/PLATFORM.md`, "Routes".

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::ConfigVersion;

/// The name of a service: a set of targets that answer equally well.
pub type ServiceName = Box<str>;

/// Whether a request may be sent to more than one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RepeatKind {
    /// Running it twice is as good as once.
    Idempotent,
    /// It runs at most once for each request of a caller.
    NonIdempotent,
}

/// How the parts of several services become one answer.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MergeRule {
    /// How many records the answer holds at the most; the greatest ones.
    pub top_records: u32,
    /// The least share of the services that must be in a success, 0 to 1.
    #[serde(rename = "least_coverage")]
    pub min_coverage: f64,
}

/// A service of a weighted split.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its weight among the others; 0 gets nothing.
    pub weight: f64,
}

/// Where a route's requests go.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteDestination {
    /// One target of one of these services, in proportion to their weights.
    Split(Vec<WeightedService>),
    /// One target of each of these services.
    Gather {
        /// The services, each once.
        services: Vec<ServiceName>,
        /// How their parts are merged.
        merge: MergeRule,
    },
}

/// A route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteEntry {
    /// Its name, for logs.
    pub name: Box<str>,
    /// The host that a request must name, in lower case.
    pub host: Box<str>,
    /// What a request's path must begin with.
    pub prefix: Box<str>,
    /// Where its requests go.
    pub destination: RouteDestination,
    /// Whether they may be repeated.
    pub repeat: RepeatKind,
    /// How many targets of a service may run one request.
    pub attempts: u32,
    /// The longest time that a caller may be kept waiting.
    pub timeout: Duration,
    /// The time within which an answer is of full use.
    pub latency_aim: Duration,
    /// Its rank; 0 is served first.
    pub priority: u32,
}

/// A service as published.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// Its name.
    pub name: ServiceName,
    /// How many connections each of its targets accepts from all daemons together.
    pub connections: u32,
}

/// What callers may send, as published.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerLimits {
    /// The largest head of a request, in bytes.
    pub head_bytes: usize,
    /// The largest body of a request, in bytes.
    pub body_bytes: usize,
    /// How long a caller may take to send a head.
    pub head_timeout: Duration,
    /// How long a connection may be idle.
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

/// All routes of one published version; the routes are sorted by host and then prefix.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteTable {
    /// The version; 0 while none is known.
    pub version: ConfigVersion,
    /// The routes.
    pub routes: Vec<Arc<RouteEntry>>,
    /// The services, sorted by name.
    pub services: Vec<ServiceEntry>,
    /// What callers may send.
    pub limits: CallerLimits,
}

impl RouteTable {
    /// Makes a table, sorting its lists so that look-ups are binary searches.
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

    /// The route with the longest prefix that begins the path, among those of the host.
    ///
    /// Prefixes end with a slash, so only those parts of the path that do are looked up: a table
    /// of thousands of routes costs a binary search for each slash of the path.
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

    /// The published entry of a service.
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
