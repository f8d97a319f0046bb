//! Token budgets that limit extra load to a share of the regular load: [`TokenBudget`].

use std::time::Instant;

/// A token bucket that is refilled by regular requests and, at a low rate, by time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBudget {
    tokens: f64,
    burst: f64,
    per_second: f64,
    refilled_at: Option<Instant>,
}

impl TokenBudget {
    /// Creates a full budget with `burst` tokens.
    pub(crate) fn new(burst: f64, per_second: f64) -> Self {
        Self {
            tokens: burst,
            burst,
            per_second,
            refilled_at: None,
        }
    }

    /// Adds `share` tokens for each of `requests` regular requests.
    pub(crate) fn earn(&mut self, requests: f64, share: f64) {
        self.tokens = (self.tokens + requests * share).min(self.burst);
    }

    /// Takes a token; returns false if none is available.
    pub(crate) fn spend(&mut self, now: Instant) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    pub(crate) fn has_token(&mut self, now: Instant) -> bool {
        self.refill(now);
        self.tokens >= 1.0
    }

    fn refill(&mut self, now: Instant) {
        let last = self.refilled_at.replace(now).unwrap_or(now);
        let seconds = now.saturating_duration_since(last).as_secs_f64();
        self.tokens = (self.tokens + seconds * self.per_second).min(self.burst);
    }
}
