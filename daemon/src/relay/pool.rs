//! Pool of idle connections to targets: [`LinkPool`].

use std::cell::{Cell, RefCell};
use std::io;
use std::time::{Duration, Instant};

use actix_http::ServiceConfig;
use yuccalift_core::relay::{
    AttemptOrder, IdlePolicy, LinkHistory, ProbeOrder, ProbeOutcome, TargetKey,
};
use yuccalift_exchange::{ExchangeLink, LinkOptions};

/// Connect timeout and liveness probing of connections to targets. A target that can't be reached
/// within the timeout counts as lost; the longest path between two data centres takes a few
/// milliseconds.
pub(super) const TARGET_LINK_OPTIONS: LinkOptions = LinkOptions {
    connect_timeout: Duration::from_millis(250),
    keepalive_interval: Duration::from_secs(1),
    keepalive_probes: 2,
};

/// An idle connection.
struct IdleLink {
    target: TargetKey,
    link: PooledLink,
    idle_since: Instant,
    expires: Instant,
}

/// A connection and the requests that it has carried.
pub(super) struct PooledLink {
    pub(super) link: ExchangeLink,
    pub(super) history: LinkHistory,
}

/// All idle connections, the most recently used at the end.
pub(super) struct LinkPool {
    idle: RefCell<Vec<IdleLink>>,
    policy: Cell<IdlePolicy>,
    config: ServiceConfig,
}

impl LinkPool {
    /// Creates an empty pool.
    pub(super) fn new(config: ServiceConfig) -> Self {
        Self {
            idle: RefCell::default(),
            policy: Cell::new(IdlePolicy::new(Instant::now())),
            config,
        }
    }

    /// Returns a connection for an attempt of the request with the id `request_id`: an idle one that
    /// still appears usable, or a new one.
    pub(super) async fn check_out(
        &self,
        order: &AttemptOrder,
        request_id: &str,
    ) -> io::Result<PooledLink> {
        if let Some(link) = self.take_idle(order, request_id) {
            return Ok(link);
        }
        let opened = ExchangeLink::open(order.address, &TARGET_LINK_OPTIONS, &self.config)
            .await
            .and_then(ExchangeLink::reset_on_close);
        if let Err(error) = &opened {
            self.record_reset(error.kind());
        }
        opened.map(|link| PooledLink {
            link,
            history: LinkHistory::default(),
        })
    }

    /// Records the failure of a new connection if it was reset. A target that is short of
    /// connections resets them, while one that no longer runs refuses them or does not respond.
    pub(super) fn record_reset(&self, kind: io::ErrorKind) {
        if kind == io::ErrorKind::ConnectionReset {
            let mut policy = self.policy.get();
            policy.record_reset();
            self.policy.set(policy);
        }
    }

    /// Probes whether a target accepts a connection. The connection is closed, since probes of many
    /// daemons would otherwise use up a target that is short of connections.
    pub(super) async fn probe(&self, probe: &ProbeOrder) -> ProbeOutcome {
        let link = ExchangeLink::open(probe.address, &TARGET_LINK_OPTIONS, &self.config).await;
        let Err(error) = link else {
            return ProbeOutcome::Reached;
        };
        match error.kind() {
            io::ErrorKind::ConnectionRefused => ProbeOutcome::Refused,
            io::ErrorKind::TimedOut
            | io::ErrorKind::HostUnreachable
            | io::ErrorKind::NetworkUnreachable => ProbeOutcome::NoResponse,
            // A target that resets a connection is running but short of connections. Any other
            // error, such as a lack of file descriptors, is this daemon's own and says nothing of
            // the target.
            _ => ProbeOutcome::Reached,
        }
    }

    fn take_idle(&self, order: &AttemptOrder, request_id: &str) -> Option<PooledLink> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let is_suitable = |idle: &IdleLink| {
            idle.target == order.target && idle.link.history.can_carry(request_id)
        };
        while let Some(index) = idle.iter().rposition(is_suitable) {
            let found = idle.remove(index);
            let is_fresh = IdlePolicy::is_fresh(now - found.idle_since, order.at_most_once);
            if is_fresh && now < found.expires && found.link.link.is_idle() {
                return Some(found.link);
            }
        }
        // The connections that are left can't carry the request, mostly because they have carried it
        // before. A new one replaces one of them, since a target that a request returns to is often
        // short of connections.
        if let Some(index) = idle.iter().position(|idle| idle.target == order.target) {
            idle.remove(index);
        }
        None
    }

    /// Returns a connection to the pool that may carry another request, and until when it is kept.
    pub(super) fn put_back(
        &self,
        target: TargetKey,
        link: PooledLink,
        target_idle_timeout: Option<Duration>,
    ) -> Instant {
        let now = Instant::now();
        let max_idle = self.policy.get().max_idle(now, target_idle_timeout);
        let expires = now + max_idle;
        let mut idle = self.idle.borrow_mut();
        idle.retain(|link| now < link.expires);
        idle.push(IdleLink {
            target,
            link,
            idle_since: now,
            expires,
        });
        expires
    }

    /// Closes the idle connections to a target.
    pub(super) fn close_idle(&self, target: TargetKey) {
        self.idle.borrow_mut().retain(|link| link.target != target);
    }
}
