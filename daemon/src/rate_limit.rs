//! A token bucket: how many calls a second a listener takes.

use std::time::Instant;

/// A token bucket that holds at most the tokens of one second.
#[derive(Clone, Copy, Debug)]
pub struct RateLimit {
    per_second: f64,
    tokens: f64,
    filled: Instant,
}

impl RateLimit {
    /// A full bucket.
    pub fn new(now: Instant, per_second: u32) -> Self {
        let per_second = f64::from(per_second);
        Self {
            per_second,
            tokens: per_second,
            filled: now,
        }
    }

    /// Takes a token; false if there is none.
    pub fn try_take(&mut self, now: Instant) -> bool {
        let passed = now.saturating_duration_since(self.filled).as_secs_f64();
        self.tokens = (self.tokens + passed * self.per_second).min(self.per_second);
        self.filled = self.filled.max(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
