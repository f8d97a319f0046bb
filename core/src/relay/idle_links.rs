//! How long idle connections to targets are kept: [`IdlePolicy`].

use std::time::{Duration, Instant};

/// How long a connection stays idle where the target says nothing of it.
const USUAL_IDLE: Duration = Duration::from_secs(4);
/// The part of the time that a target grants in which an idle connection is used: the rest is for
/// the request's way, so that it does not cross the target's close.
const USED_IDLE_SHARE: f64 = 0.6;
/// How long an idle connection is kept while targets are short of connections: long enough for a busy
/// target's next request.
const SCARCE_IDLE: Duration = Duration::from_millis(150);
/// How long a connection may have been idle for a request that must not run twice: the sooner it
/// was used, the less likely it is dead.
const CAREFUL_IDLE: Duration = Duration::from_millis(500);

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
    reset: bool,
}

impl IdlePolicy {
    /// The policy of a daemon that started then.
    pub fn new(started: Instant) -> Self {
        Self {
            started,
            reset: false,
        }
    }

    /// Takes in that a target reset a new connection.
    pub fn note_reset(&mut self) {
        self.reset = true;
    }

    /// How long a connection is kept that becomes idle now, at a target that says it keeps idle
    /// connections for `granted`.
    pub fn keep_time(&self, now: Instant, granted: Option<Duration>) -> Duration {
        let usual = granted.map_or(USUAL_IDLE, |time| time.mul_f64(USED_IDLE_SHARE));
        let age = now.saturating_duration_since(self.started);
        if self.reset && age < granted.unwrap_or(USUAL_IDLE) {
            usual.min(SCARCE_IDLE)
        } else {
            usual
        }
    }

    /// Whether a connection that has been idle for so long may carry a request; `careful` if the
    /// request must not run twice.
    pub fn is_fresh(idle: Duration, careful: bool) -> bool {
        !careful || idle < CAREFUL_IDLE
    }
}
