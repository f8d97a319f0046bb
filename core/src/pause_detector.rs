//! Notices that a thread was not run for a while: [`PauseDetector`].
//!
//! See `docs/DESIGN.md`, "Pauses".

use std::time::{Duration, Instant};

/// How long a thread that wakes every [`crate::connection_watch::CHECK_PERIOD`] may be away before
/// its beliefs count as old.
const MAX_GAP: Duration = Duration::from_millis(500);

/// When a thread was last seen running.
///
/// A thread that wakes at least every check period observes it before it acts on anything, so
/// that whatever woke it after a pause, the pause is known first.
#[derive(Clone, Copy, Debug)]
pub struct PauseDetector {
    last_seen: Instant,
}

impl PauseDetector {
    /// Starts a clock.
    pub fn new(now: Instant) -> Self {
        Self { last_seen: now }
    }

    /// Notes that the thread runs, and gives how long it was away if that was a pause.
    pub fn observe(&mut self, now: Instant) -> Option<Duration> {
        let gap = now.saturating_duration_since(self.last_seen);
        self.last_seen = now;
        (gap > MAX_GAP).then_some(gap)
    }
}
