//! Limits how long idle connections to targets are kept: [`IdlePolicy`].

use std::time::{Duration, Instant};

/// Idle time limit if the target does not advertise one.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);
/// Fraction of the advertised idle time during which a connection is reused; the rest covers the
/// transit time of a request, so that it does not cross the target's close.
const USED_IDLE_SHARE: f64 = 0.6;
/// Idle time limit while targets are short of connections: long enough to be reused for the next
/// request to a busy target.
const CONTENDED_IDLE: Duration = Duration::from_millis(150);
/// Maximum idle time of a connection that carries a request which must not run twice; a recently
/// used connection is less likely to be dead.
const AT_MOST_ONCE_IDLE: Duration = Duration::from_millis(500);

/// Decides how long idle connections are kept and whether they may be reused.
///
/// Targets limit the connections of all daemons together, and a host that lost power does not close
/// its connections: each target counts them until they reach its idle time-out. When a whole fleet
/// restarts, the remaining limit is too small for every daemon to hold a connection, but sufficient
/// if each daemon closes its connections soon after use. A daemon whose new connections are reset
/// therefore keeps them only briefly, until targets have closed those of the previous process on
/// its host.
#[derive(Clone, Copy, Debug)]
pub struct IdlePolicy {
    started: Instant,
    /// Whether a target has reset a new connection of this daemon.
    saw_reset: bool,
}

impl IdlePolicy {
    /// Creates the policy of a daemon that started at `started`.
    pub fn new(started: Instant) -> Self {
        Self {
            started,
            saw_reset: false,
        }
    }

    /// Records that a target reset a new connection.
    pub fn record_reset(&mut self) {
        self.saw_reset = true;
    }

    /// Returns how long a connection that becomes idle now is kept; `advertised` is the idle
    /// time-out that the target announced, if any.
    pub fn max_idle(&self, now: Instant, advertised: Option<Duration>) -> Duration {
        let default_limit = advertised.map_or(DEFAULT_IDLE, |time| time.mul_f64(USED_IDLE_SHARE));
        let age = now.saturating_duration_since(self.started);
        if self.saw_reset && age < advertised.unwrap_or(DEFAULT_IDLE) {
            default_limit.min(CONTENDED_IDLE)
        } else {
            default_limit
        }
    }

    /// Returns whether a connection that has been idle for `idle` may carry a request;
    /// `at_most_once` is set for a request that must not run twice.
    pub fn is_fresh(idle: Duration, at_most_once: bool) -> bool {
        !at_most_once || idle < AT_MOST_ONCE_IDLE
    }
}
