//! Age of a daemon's knowledge of the platform: the time since it last learned that the platform
//! had answered some reader.
//!
//! Readers, watches and exchanges can all stand while nothing new arrives. Only this age shows it,
//! whatever the cause. See `docs/OPERATIONS.md`, "Old knowledge".

use std::time::{Duration, Instant};

/// Change of a [`KnowledgeAge`] with respect to its bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KnowledgeChange {
    /// The age passed the bound; it is given.
    Stale(Duration),
    /// The platform has answered a reader again; the age before that is given.
    Fresh(Duration),
}

/// Time at which the platform last answered a reader, as far as this daemon knows.
#[derive(Clone, Copy, Debug)]
pub struct KnowledgeAge {
    known_at: Instant,
    bound: Duration,
    is_stale: bool,
}

impl KnowledgeAge {
    /// Creates an age that counts from the start of the daemon and is reported beyond `bound`.
    pub fn new(now: Instant, bound: Duration) -> Self {
        Self {
            known_at: now,
            bound,
            is_stale: false,
        }
    }

    /// Returns the age.
    pub fn elapsed(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.known_at)
    }

    /// Returns when the age passes its bound; `None` if that has been reported.
    pub fn next_check(&self) -> Option<Instant> {
        (!self.is_stale).then_some(self.known_at + self.bound)
    }

    /// Records that the platform answered a reader. Returns a change if the age was beyond its
    /// bound.
    pub fn refresh(&mut self, now: Instant) -> Option<KnowledgeChange> {
        let age = self.elapsed(now);
        self.known_at = now;
        let was_stale = std::mem::replace(&mut self.is_stale, false);
        was_stale.then_some(KnowledgeChange::Fresh(age))
    }

    /// Returns a change if the age has passed its bound since the last call.
    pub fn check(&mut self, now: Instant) -> Option<KnowledgeChange> {
        let age = self.elapsed(now);
        if self.is_stale || age < self.bound {
            return None;
        }
        self.is_stale = true;
        Some(KnowledgeChange::Stale(age))
    }
}
