//! Limits how many hedges and retries a service receives: [`RetryBudget`].
//!
//! All daemons together may repeat a fixed share of a service's requests. Daemons do not exchange
//! their counts; each one stays within the share of its own requests, and so the sum stays within
//! the share of all requests. See `docs/PLATFORM.md`, "Retry budget".

use std::time::{Duration, Instant};

/// Number of parts of the sliding window; old repeats expire one part at a time.
const WINDOW_PARTS: usize = 10;
/// Fraction of the allowed share that is used; the rest is a reserve for what is counted late
/// elsewhere.
const USED_SHARE: f64 = 0.85;
/// Repeats that a daemon may always send within a window, so that requests of a rarely used service
/// can be repeated at all.
const FREE_REPEATS: f64 = 2.0;

#[derive(Clone, Copy, Debug, Default)]
struct WindowPart {
    requests: u32,
    repeats: u32,
}

/// Counts the requests to one service and their repeats over a sliding window.
#[derive(Clone, Debug)]
pub(super) struct RetryBudget {
    parts: [WindowPart; WINDOW_PARTS],
    current: usize,
    current_since: Option<Instant>,
}

impl RetryBudget {
    /// Creates a budget with an empty window.
    pub(super) fn new() -> Self {
        Self {
            parts: [WindowPart::default(); WINDOW_PARTS],
            current: 0,
            current_since: None,
        }
    }

    pub(super) fn record_request(&mut self, now: Instant, window: Duration) {
        self.advance(now, window);
        self.parts[self.current].requests += 1;
    }

    /// Reserves one repeat; returns false if the budget is exhausted.
    pub(super) fn try_repeat(&mut self, now: Instant, window: Duration, share: f64) -> bool {
        self.advance(now, window);
        let requests: u32 = self.parts.iter().map(|part| part.requests).sum();
        let repeats: u32 = self.parts.iter().map(|part| part.repeats).sum();
        let allowed = f64::from(requests) * share * USED_SHARE + FREE_REPEATS;
        if f64::from(repeats + 1) > allowed {
            return false;
        }
        self.parts[self.current].repeats += 1;
        true
    }

    /// Refunds a reserved repeat of which no byte reached the target.
    pub(super) fn refund(&mut self) {
        let part = &mut self.parts[self.current];
        part.repeats = part.repeats.saturating_sub(1);
    }

    /// Advances the window to `now`, clearing the parts that have expired.
    fn advance(&mut self, now: Instant, window: Duration) {
        let length = window / WINDOW_PARTS as u32;
        let current_since = *self.current_since.get_or_insert(now);
        let passed = now.saturating_duration_since(current_since);
        let steps = (passed.as_nanos() / length.as_nanos().max(1)) as u32;
        for _ in 0..steps.min(WINDOW_PARTS as u32) {
            self.current = (self.current + 1) % WINDOW_PARTS;
            self.parts[self.current] = WindowPart::default();
        }
        self.current_since = Some(current_since + length * steps);
    }
}
