//! The connections to targets that are idle: [`LinkPool`].

use std::cell::{Cell, RefCell};
use std::io;
use std::time::{Duration, Instant};

use actix_http::ServiceConfig;
use yuccalift_core::relay::{AttemptOrder, IdlePolicy, ProbeOrder, TargetKey, TargetReach};
use yuccalift_exchange::{ExchangeLink, LinkOptions};

/// How connections to targets find out that the other end is gone. A target that can't be reached
/// within this time is taken for lost; the longest way between two data centres takes a few
/// milliseconds.
pub(super) const TARGET_LINKS: LinkOptions = LinkOptions {
    connect_timeout: Duration::from_millis(250),
    keepalive_interval: Duration::from_secs(1),
    keepalive_probes: 2,
};

/// A connection that is not in use.
struct IdleLink {
    target: TargetKey,
    link: ExchangeLink,
    since: Instant,
    until: Instant,
}

/// A connection for one attempt.
pub(super) struct CheckedLink {
    pub(super) link: ExchangeLink,
    /// Whether it carries its first request.
    pub(super) new: bool,
}

/// All idle connections, the ones last used at the end.
pub(super) struct LinkPool {
    idle: RefCell<Vec<IdleLink>>,
    policy: Cell<IdlePolicy>,
    config: ServiceConfig,
}

impl LinkPool {
    /// A pool without connections.
    pub(super) fn new(config: ServiceConfig) -> Self {
        Self {
            idle: RefCell::default(),
            policy: Cell::new(IdlePolicy::new(Instant::now())),
            config,
        }
    }

    /// A connection for an attempt: an idle one that still seems sound, or a new one.
    pub(super) async fn check_out(&self, order: &AttemptOrder) -> io::Result<CheckedLink> {
        if let Some(link) = self.take_idle(order) {
            return Ok(CheckedLink { link, new: false });
        }
        let opened = ExchangeLink::open(order.address, &TARGET_LINKS, &self.config).await;
        if let Err(error) = &opened {
            self.note_reset(error.kind());
        }
        opened.map(|link| CheckedLink { link, new: true })
    }

    /// Takes in how a new connection broke: a target that is short of connections resets it, while
    /// one that is gone refuses it or stays silent.
    pub(super) fn note_reset(&self, kind: io::ErrorKind) {
        if kind == io::ErrorKind::ConnectionReset {
            let mut policy = self.policy.get();
            policy.note_reset();
            self.policy.set(policy);
        }
    }

    /// Whether a target gives a connection. It is not kept: a target that is short of connections
    /// would be held to it by every daemon that asks.
    pub(super) async fn probe(&self, probe: &ProbeOrder) -> TargetReach {
        let link = ExchangeLink::open(probe.address, &TARGET_LINKS, &self.config).await;
        let Err(error) = link else {
            return TargetReach::Reached;
        };
        match error.kind() {
            io::ErrorKind::ConnectionRefused => TargetReach::Refused,
            io::ErrorKind::TimedOut
            | io::ErrorKind::HostUnreachable
            | io::ErrorKind::NetworkUnreachable => TargetReach::Silent,
            // A target that resets a connection is there, and short of connections; any other error,
            // such as a want of descriptors, is this daemon's own and says nothing of the target.
            _ => TargetReach::Reached,
        }
    }

    fn take_idle(&self, order: &AttemptOrder) -> Option<ExchangeLink> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        loop {
            let place = idle.iter().rposition(|link| link.target == order.target)?;
            let found = idle.remove(place);
            let fresh = IdlePolicy::is_fresh(now - found.since, order.careful);
            if fresh && now < found.until && found.link.is_idle() {
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
        let keep = self.policy.get().keep_time(now, granted);
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
