//! Timers of the engine: [`TimerQueue`].
//!
//! The queue is a binary heap, because timers are added far more often than they expire. A timer
//! that is no longer needed stays in the heap until it expires and then has no effect.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Instant;

use crate::engine::slots::Slot;
use crate::ids::{QueryId, TargetId};

/// Purpose of a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TimerKind {
    /// The deadline of a query.
    Deadline(QueryRef),
    /// The end of the patience of a waiting query.
    Patience(QueryRef),
    /// A check whether to hedge a query's outstanding shard requests.
    Hedge(QueryRef),
    /// The end of a target's loss or ejection.
    TargetExclusion(TargetRef),
    /// The latest time at which a collection's pending shard map is adopted.
    AdoptMap(Slot),
    /// The time at which queries of a collection stop waiting for version reports of targets.
    EndVersionWait(Slot),
}

/// A reference to a query by slot; the id detects a reused slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueryRef {
    pub(crate) slot: Slot,
    /// Id that the query in the slot must have.
    pub(crate) query: QueryId,
}

/// A reference to a target by slot; the id detects a reused slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct TargetRef {
    pub(crate) slot: Slot,
    /// Id that the target in the slot must have.
    pub(crate) target: TargetId,
}

/// All pending timers.
#[derive(Debug, Default)]
pub(crate) struct TimerQueue {
    heap: BinaryHeap<Reverse<(Instant, TimerKind)>>,
}

impl TimerQueue {
    pub(crate) fn add(&mut self, due: Instant, kind: TimerKind) {
        self.heap.push(Reverse((due, kind)));
    }

    /// Removes and returns the earliest timer if it is due.
    pub(crate) fn pop_due(&mut self, now: Instant) -> Option<(Instant, TimerKind)> {
        let Reverse((due, _)) = self.heap.peek()?;
        if *due > now {
            return None;
        }
        self.heap.pop().map(|Reverse(timer)| timer)
    }

    /// Returns when the earliest timer is due.
    pub(crate) fn next(&self) -> Option<Instant> {
        self.heap.peek().map(|Reverse((due, _))| *due)
    }
}
