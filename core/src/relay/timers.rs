//! What is due when: [`TimerQueue`].

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Instant;

use super::{AttemptKey, RequestKey, TargetKey};

/// Something that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum TimerKind {
    /// Look at a request's outstanding legs.
    SlowLegCheck { request: RequestKey },
    /// Answer a request with what is there, if that is enough.
    PartialAnswer { request: RequestKey },
    /// Refuse a request that still waits for room.
    CapacityWait { request: RequestKey },
    /// End a request.
    Deadline { request: RequestKey },
    /// End an attempt that nobody waits for any more.
    SurplusAttempt { attempt: AttemptKey },
    /// Ask for a leg again that waited for another trial's end.
    Retry {
        request: RequestKey,
        leg_index: usize,
    },
    /// Ask a target for a connection.
    Probe { target: TargetKey },
    /// Forget a target that has left.
    Departure { target: TargetKey },
}

/// All that is due; an entry whose subject is gone by then does nothing.
#[derive(Debug, Default)]
pub(super) struct TimerQueue {
    heap: BinaryHeap<Reverse<(Instant, TimerKind)>>,
}

impl TimerQueue {
    /// Adds an entry.
    pub(super) fn add(&mut self, due: Instant, kind: TimerKind) {
        self.heap.push(Reverse((due, kind)));
    }

    /// When the next entry is due.
    pub(super) fn next(&self) -> Option<Instant> {
        self.heap.peek().map(|Reverse((due, _))| *due)
    }

    /// Takes the next entry that is due.
    pub(super) fn pop_due(&mut self, now: Instant) -> Option<TimerKind> {
        if self.next()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, kind))| kind)
    }
}
