//! Coalesces log lines about targets whose state changed: [`TargetChangeLog`].
//!
//! A fleet that starts, a service that is replaced or a data centre that is cut off changes the
//! state of hundreds of targets at every daemon within moments. A line for each of them would cost
//! most of the processor time of a small host, just when callers need it. The first change is
//! written at once; those that follow within [`COALESCE_INTERVAL`] share lines. See
//! `docs/OPERATIONS.md`.

use std::time::{Duration, Instant};

/// Interval over which changes share lines; a line is delayed by this much at most.
pub const COALESCE_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of targets in one line, which keeps a line below a kilobyte.
const MAX_TARGETS_PER_LINE: usize = 64;

/// One line: targets whose state changed to the same state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeLine {
    /// The new state, as it appears in the log.
    pub state: &'static str,
    /// Names of the targets, sorted.
    pub targets: Vec<Box<str>>,
}

/// Changes that have not been written yet, at most one for each target.
#[derive(Debug, Default)]
pub struct TargetChangeLog {
    /// The new state of each target, sorted by name.
    pending: Vec<(Box<str>, &'static str)>,
    /// End of the interval in which changes are collected; `None` if none has begun.
    interval_end: Option<Instant>,
}

impl TargetChangeLog {
    /// Records a change and returns the lines that must be written now.
    pub fn record(&mut self, now: Instant, target: &str, state: &'static str) -> Vec<ChangeLine> {
        let mut lines = self.take_due(now);
        if self.interval_end.is_none() {
            self.interval_end = Some(now + COALESCE_INTERVAL);
            lines.push(ChangeLine {
                state,
                targets: vec![target.into()],
            });
            return lines;
        }
        match self.find(target) {
            Ok(_) => {
                // Both changes of a target are written, in their order.
                lines.extend(self.take_all());
                self.pending.push((target.into(), state));
            }
            Err(index) => self.pending.insert(index, (target.into(), state)),
        }
        lines
    }

    /// Returns the time at which [`TargetChangeLog::take_due`] must be called; `None` if no change
    /// waits.
    pub fn next_due(&self) -> Option<Instant> {
        self.interval_end.filter(|_| !self.pending.is_empty())
    }

    /// Ends the interval if it is over, and returns the lines of its changes.
    pub fn take_due(&mut self, now: Instant) -> Vec<ChangeLine> {
        match self.interval_end {
            Some(end) if end <= now => {
                self.interval_end = None;
                self.take_all()
            }
            _ => Vec::new(),
        }
    }

    /// Returns the lines of all changes that wait.
    pub fn take_all(&mut self) -> Vec<ChangeLine> {
        let mut pending = std::mem::take(&mut self.pending);
        // The sort is stable, so that the names of each state stay sorted.
        pending.sort_by_key(|(_, state)| *state);
        pending
            .chunk_by(|left, right| left.1 == right.1)
            .flat_map(|changes| changes.chunks(MAX_TARGETS_PER_LINE))
            .map(|changes| ChangeLine {
                state: changes[0].1,
                targets: changes.iter().map(|(target, _)| target.clone()).collect(),
            })
            .collect()
    }

    fn find(&self, target: &str) -> Result<usize, usize> {
        let pending = &self.pending;
        pending.binary_search_by(|(other, _)| other.as_ref().cmp(target))
    }
}
