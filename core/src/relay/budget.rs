//! How many second sends a service is given: [`RetryBudget`].
//!
//! All daemons together may send a share of a service's requests a second time. No daemon knows
//! what the others do, so each keeps to the share of its own requests: the sum then keeps to the
//! share of all. See `docs/PLATFORM.md`, "Second sends".

use std::time::{Duration, Instant};

/// Into how many parts the window is cut; old sends are forgotten a part at a time.
const WINDOW_PARTS: usize = 10;
/// The part of the allowed share that is used, as a reserve for what is counted late elsewhere.
const USED_SHARE: f64 = 0.85;
/// Second sends that a daemon may always make in a window, so that a rare kind of request can be
/// repeated at all.
const FREE_REPEATS: f64 = 2.0;

#[derive(Clone, Copy, Debug, Default)]
struct WindowPart {
    requests: u32,
    repeats: u32,
}

/// A sliding window over the requests for one service and their second sends.
#[derive(Clone, Debug)]
pub(super) struct RetryBudget {
    parts: [WindowPart; WINDOW_PARTS],
    current: usize,
    current_since: Option<Instant>,
}

impl RetryBudget {
    /// An empty window.
    pub(super) fn new() -> Self {
        Self {
            parts: [WindowPart::default(); WINDOW_PARTS],
            current: 0,
            current_since: None,
        }
    }

    /// Counts a request.
    pub(super) fn record_request(&mut self, now: Instant, window: Duration) {
        self.advance(now, window);
        self.parts[self.current].requests += 1;
    }

    /// Takes leave for a second send; false if there is none.
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

    /// Gives back a leave that was not used, since nothing reached the target.
    pub(super) fn refund(&mut self) {
        let part = &mut self.parts[self.current];
        part.repeats = part.repeats.saturating_sub(1);
    }

    /// Moves on to the part that the time is in.
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
