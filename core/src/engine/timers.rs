//! What the engine wants to be woken for: [`TimerQueue`].
//!
//! A binary heap, because timers are added far more often than they come due; timers that are no
//! longer needed stay until their time and are then found to be void.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Instant;

use crate::engine::slots::Slot;
use crate::ids::{QueryId, TargetId};

/// What is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TimerKind {
    /// A query's deadline.
    Deadline(QueryRef),
    /// The end of a waiting query's patience.
    Patience(QueryRef),
    /// A look at a query's outstanding shard requests.
    Hedge(QueryRef),
    /// A target's ejection or loss is over.
    Target(TargetRef),
    /// A pending shard map is adopted, ready or not.
    AdoptMap(Slot),
    /// Queries of a collection wait no longer for targets that have not told their versions.
    EndVersionWait(Slot),
}

/// A query and where it is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueryRef {
    /// The position.
    pub(crate) slot: Slot,
    /// The query that must be found there.
    pub(crate) query: QueryId,
}

/// A target and where it is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct TargetRef {
    /// The position.
    pub(crate) slot: Slot,
    /// The target that must be found there.
    pub(crate) target: TargetId,
}

/// All timers.
#[derive(Debug, Default)]
pub(crate) struct TimerQueue {
    heap: BinaryHeap<Reverse<(Instant, TimerKind)>>,
}

impl TimerQueue {
    /// Adds a timer.
    pub(crate) fn add(&mut self, due: Instant, kind: TimerKind) {
        self.heap.push(Reverse((due, kind)));
    }

    /// Takes a timer that is due.
    pub(crate) fn pop_due(&mut self, now: Instant) -> Option<(Instant, TimerKind)> {
        let Reverse((due, _)) = self.heap.peek()?;
        if *due > now {
            return None;
        }
        self.heap.pop().map(|Reverse(timer)| timer)
    }

    /// When the next timer is due.
    pub(crate) fn next(&self) -> Option<Instant> {
        self.heap.peek().map(|Reverse((due, _))| *due)
    }
}
