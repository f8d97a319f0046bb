//! Limit on the rate at which one daemon calls the platform, independent of what it knows about
//! other daemons.

use std::time::{Duration, Instant};

use super::fleet_bounds::FleetBounds;

/// Calls per second that the platform answers, over all daemons.
pub type PlatformCallRate = u32;

/// Maximum calls per second by all daemons of the fleet that are not readers. Polls bridge the time
/// until a reader is found, which a faster platform does not shorten.
const MAX_FLEET_POLLS_PER_SECOND: f64 = 300.0;
/// Maximum share of the platform's calls that these daemons may make together.
const MAX_POLL_SHARE: f64 = 0.15;
/// Maximum calls per second by one daemon that is not a reader.
const MAX_DAEMON_POLLS_PER_SECOND: f64 = 1.0;
/// Maximum calls per second by a reader; [`super::reader_election`] bounds the number of readers.
const READER_CALLS_PER_SECOND: f64 = 4.0;
/// Assumed call rate of a platform that does not publish one.
pub const DEFAULT_PLATFORM_CALLS: PlatformCallRate = 2_000;
/// Capacity of the token bucket.
const MAX_TOKENS: f64 = 2.0;

/// A token bucket for calls to the platform.
#[derive(Clone, Debug)]
pub struct CallBudget {
    tokens: f64,
    refilled_at: Instant,
    rate: f64,
}

impl CallBudget {
    /// Creates a budget with one token, at the rate for the assumed fleet size.
    pub fn new(now: Instant) -> Self {
        Self {
            tokens: 1.0,
            refilled_at: now,
            rate: poll_rate(&FleetBounds::default(), DEFAULT_PLATFORM_CALLS),
        }
    }

    /// Sets the refill rate from the fleet bounds, the platform's call rate and whether this daemon
    /// is a reader.
    pub fn set_rate(
        &mut self,
        now: Instant,
        bounds: &FleetBounds,
        platform_calls: PlatformCallRate,
        is_reader: bool,
    ) {
        self.refill(now);
        self.rate = if is_reader {
            READER_CALLS_PER_SECOND
        } else {
            poll_rate(bounds, platform_calls)
        };
    }

    /// Takes one token; returns false if none is left.
    ///
    /// # Panics
    ///
    /// If the bucket were overdrawn, which would be a bug in this module.
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

    /// Returns the time until a token is available.
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

/// Returns the maximum calls per second by all daemons of the fleet that are not readers.
pub fn max_fleet_polls(platform_calls: PlatformCallRate) -> f64 {
    MAX_FLEET_POLLS_PER_SECOND.min(f64::from(platform_calls) * MAX_POLL_SHARE)
}

/// Returns the maximum calls per second by one daemon that is not a reader.
pub fn poll_rate(bounds: &FleetBounds, platform_calls: PlatformCallRate) -> f64 {
    (max_fleet_polls(platform_calls) / f64::from(bounds.daemons.max(1)))
        .min(MAX_DAEMON_POLLS_PER_SECOND)
}
