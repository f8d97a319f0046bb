//! How often one daemon may call the platform, whatever it believes of the others.

use std::time::{Duration, Instant};

use super::fleet_bounds::FleetBounds;

/// Calls a second that all daemons together make while they are not readers.
pub const MAX_FLEET_POLLS_PER_SECOND: f64 = 300.0;
/// Calls a second that one daemon makes at the most while it is not a reader.
const MAX_DAEMON_POLLS_PER_SECOND: f64 = 1.0;
/// Calls a second that a reader makes at the most; see [`super::reader_election`] for how many.
const READER_CALLS_PER_SECOND: f64 = 4.0;
/// Calls that may be saved up.
const MAX_TOKENS: f64 = 2.0;

/// A token bucket for calls to the platform.
#[derive(Clone, Debug)]
pub struct CallBudget {
    tokens: f64,
    refilled_at: Instant,
    rate: f64,
}

impl CallBudget {
    /// Makes a budget with one call in it, for a fleet of the assumed size.
    pub fn new(now: Instant) -> Self {
        Self {
            tokens: 1.0,
            refilled_at: now,
            rate: poll_rate(&FleetBounds::default()),
        }
    }

    /// Sets the rate by the fleet's bound and by whether this daemon is a reader.
    pub fn set_rate(&mut self, now: Instant, bounds: &FleetBounds, is_reader: bool) {
        self.refill(now);
        self.rate = if is_reader {
            READER_CALLS_PER_SECOND
        } else {
            poll_rate(bounds)
        };
    }

    /// Takes one call from the budget; false if none is left.
    ///
    /// # Panics
    ///
    /// If more than the budget were taken, which would be a defect of this module.
    pub fn take(&mut self, now: Instant) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        assert!(
            self.tokens >= 0.0,
            "invariant: a daemon never calls the platform beyond its budget"
        );
        true
    }

    /// How long until the next call can be taken.
    pub fn wait(&mut self, now: Instant) -> Duration {
        self.refill(now);
        if self.tokens >= 1.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64((1.0 - self.tokens) / self.rate)
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.tokens = (self.tokens + elapsed.as_secs_f64() * self.rate).min(MAX_TOKENS);
        self.refilled_at = self.refilled_at.max(now);
    }
}

/// Calls a second that one daemon may make while it is not a reader.
pub fn poll_rate(bounds: &FleetBounds) -> f64 {
    (MAX_FLEET_POLLS_PER_SECOND / f64::from(bounds.daemons.max(1))).min(MAX_DAEMON_POLLS_PER_SECOND)
}
