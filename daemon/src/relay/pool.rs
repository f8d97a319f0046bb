//! The connections to targets that are idle: [`LinkPool`].

use std::cell::RefCell;
use std::io;
use std::time::{Duration, Instant};

use actix_http::ServiceConfig;
use yuccalift_core::relay::{AttemptOrder, ProbeOrder, TargetKey};
use yuccalift_exchange::{ExchangeLink, LinkOptions};

/// How long a connection stays idle where the target says nothing of it.
const USUAL_IDLE: Duration = Duration::from_secs(4);
/// The part of the time that a target grants in which an idle connection is used: the rest is for
/// the request's way, so that it does not cross the target's close.
const USED_IDLE_SHARE: f64 = 0.6;
/// How long a connection may have been idle for a request that must not run twice: the sooner it
/// was used, the less likely it is dead.
const CAREFUL_IDLE: Duration = Duration::from_millis(500);
/// How connections to targets find out that the other end is gone. A target that can't be reached
/// within this time is taken for lost; the longest way between two data centres takes a few
/// milliseconds.
pub(super) const TARGET_LINKS: LinkOptions = LinkOptions {
    connect_timeout: Duration::from_millis(250),
    probe_interval: Duration::from_secs(1),
    probes: 2,
};

/// A connection that is not in use.
struct IdleLink {
    target: TargetKey,
    link: ExchangeLink,
    since: Instant,
    until: Instant,
}

/// All idle connections, the ones last used at the end.
pub(super) struct LinkPool {
    idle: RefCell<Vec<IdleLink>>,
    config: ServiceConfig,
}

impl LinkPool {
    /// A pool without connections.
    pub(super) fn new(config: ServiceConfig) -> Self {
        Self {
            idle: RefCell::default(),
            config,
        }
    }

    /// A connection for an attempt: an idle one that still seems sound, or a new one.
    pub(super) async fn check_out(&self, order: &AttemptOrder) -> io::Result<ExchangeLink> {
        if let Some(link) = self.take_idle(order) {
            return Ok(link);
        }
        ExchangeLink::open(order.address, &TARGET_LINKS, &self.config).await
    }

    /// Whether a target gives a connection. It is not kept: a target that is short of connections
    /// would be held to it by every daemon that asks.
    pub(super) async fn probe(&self, probe: &ProbeOrder) -> bool {
        let link = ExchangeLink::open(probe.address, &TARGET_LINKS, &self.config).await;
        link.is_ok()
    }

    fn take_idle(&self, order: &AttemptOrder) -> Option<ExchangeLink> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        loop {
            let place = idle.iter().rposition(|link| link.target == order.target)?;
            let found = idle.remove(place);
            let fresh = !order.careful || now - found.since < CAREFUL_IDLE;
            if fresh && now < found.until && found.link.is_quiet() {
                return Some(found.link);
            }
        }
    }

    /// Takes a connection back that may carry another request.
    pub(super) fn put_back(
        &self,
        target: TargetKey,
        link: ExchangeLink,
        granted: Option<Duration>,
    ) {
        let now = Instant::now();
        let keep = granted.map_or(USUAL_IDLE, |granted| granted.mul_f64(USED_IDLE_SHARE));
        let mut idle = self.idle.borrow_mut();
        idle.retain(|link| now < link.until);
        idle.push(IdleLink {
            target,
            link,
            since: now,
            until: now + keep,
        });
    }

    /// Closes the idle connections to a target.
    pub(super) fn forget(&self, target: TargetKey) {
        self.idle.borrow_mut().retain(|link| link.target != target);
    }
}
