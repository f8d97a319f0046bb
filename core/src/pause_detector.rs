//! Detection of pauses, in which a thread was not scheduled for a while: [`PauseDetector`].
//!
//! See `docs/DESIGN.md`, "Pauses".

use std::time::{Duration, Instant};

/// Maximum time between two observations of a thread that wakes up at least every
/// [`crate::connection_watch::CHECK_PERIOD`]. After a longer gap, state that depends on ages is
/// out of date.
const MAX_OBSERVATION_GAP: Duration = Duration::from_millis(500);

/// Detects pauses of a thread from the time between its wake-ups.
///
/// The thread must call [`PauseDetector::observe`] at least once every check period, and before it
/// processes any event, so that a pause is known before any event after it is handled.
#[derive(Clone, Copy, Debug)]
pub struct PauseDetector {
    last_seen: Instant,
}

impl PauseDetector {
    /// Creates a detector; the thread counts as running at `now`.
    pub fn new(now: Instant) -> Self {
        Self { last_seen: now }
    }

    /// Records that the thread is running. Returns the time since the last observation if that was
    /// a pause.
    pub fn observe(&mut self, now: Instant) -> Option<Duration> {
        let gap = now.saturating_duration_since(self.last_seen);
        self.last_seen = now;
        (gap > MAX_OBSERVATION_GAP).then_some(gap)
    }
}
