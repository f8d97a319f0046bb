//! Rate limit of the calls to a listener.

use std::time::Instant;

/// Token bucket that holds at most the tokens of one second.
#[derive(Clone, Copy, Debug)]
pub struct RateLimit {
    per_second: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl RateLimit {
    /// Creates a full bucket.
    pub fn new(now: Instant, per_second: u32) -> Self {
        let per_second = f64::from(per_second);
        Self {
            per_second,
            tokens: per_second,
            refilled_at: now,
        }
    }

    /// Takes a token; returns false if none is left.
    pub fn try_take(&mut self, now: Instant) -> bool {
        let elapsed = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.per_second).min(self.per_second);
        self.refilled_at = self.refilled_at.max(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
