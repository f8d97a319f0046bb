//! How long idle connections to targets are kept: [`IdlePolicy`].

use std::time::{Duration, Instant};

/// How long a connection stays idle where the target says nothing of it.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);
/// The part of the time that a target grants in which an idle connection is used: the rest is for
/// the request's way, so that it does not cross the target's close.
const USED_IDLE_SHARE: f64 = 0.6;
/// How long an idle connection is kept while targets are short of connections: long enough for a busy
/// target's next request.
const CONTENDED_IDLE: Duration = Duration::from_millis(150);
/// How long a connection may have been idle for a request that must not run twice: the sooner it
/// was used, the less likely it is dead.
const AT_MOST_ONCE_IDLE: Duration = Duration::from_millis(500);

/// How long idle connections are kept and used.
///
/// Targets limit the connections of all daemons together, and a host that lost its power doesn't close
/// its own: each target counts them until it finds them idle for too long. When a whole fleet comes
/// back, what is left of the limit is too little for every daemon to hold a connection, but enough if
/// each gives its connections back soon after use. So a daemon whose new connections are reset keeps
/// them only briefly, until targets have closed those of the earlier process on its host.
#[derive(Clone, Copy, Debug)]
pub struct IdlePolicy {
    started: Instant,
    /// Whether a target has reset a new connection.
    saw_reset: bool,
}

impl IdlePolicy {
    /// The policy of a daemon that started then.
    pub fn new(started: Instant) -> Self {
        Self {
            started,
            saw_reset: false,
        }
    }

    /// Takes in that a target reset a new connection.
    pub fn record_reset(&mut self) {
        self.saw_reset = true;
    }

    /// How long a connection is kept that becomes idle now, at a target that says it keeps idle
    /// connections for `advertised`.
    pub fn max_idle(&self, now: Instant, advertised: Option<Duration>) -> Duration {
        let default_limit = advertised.map_or(DEFAULT_IDLE, |time| time.mul_f64(USED_IDLE_SHARE));
        let age = now.saturating_duration_since(self.started);
        if self.saw_reset && age < advertised.unwrap_or(DEFAULT_IDLE) {
            default_limit.min(CONTENDED_IDLE)
        } else {
            default_limit
        }
    }

    /// Whether a connection that has been idle for so long may carry a request; `at_most_once` if the
    /// request must not run twice.
    pub fn is_fresh(idle: Duration, at_most_once: bool) -> bool {
        !at_most_once || idle < AT_MOST_ONCE_IDLE
    }
}
