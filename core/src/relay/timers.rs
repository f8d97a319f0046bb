//! Timers of the relay: [`TimerQueue`].

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Instant;

use super::{AttemptKey, RequestKey, TargetKey};

/// The action that a timer triggers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum TimerKind {
    /// Check the open legs of a request and hedge the slow ones.
    SlowLegCheck { request: RequestKey },
    /// Allow a request to end with a partial answer.
    PartialAnswer { request: RequestKey },
    /// Refuse a request whose legs are all still parked.
    CapacityWait { request: RequestKey },
    /// End a request at its deadline.
    Deadline { request: RequestKey },
    /// Cancel an attempt that is still surplus.
    SurplusAttempt { attempt: AttemptKey },
    /// Retry a leg that waits for a trial, a probe or a target with capacity.
    Retry {
        request: RequestKey,
        leg_index: usize,
    },
    /// Send parked legs to a target that was paced.
    Paced { target: TargetKey },
    /// Probe an unreachable target.
    Probe { target: TargetKey },
    /// Probe a target, since none is reached.
    ReachCheck,
    /// End a request that waits for the result of a check of the links.
    VerdictWait { request: RequestKey },
    /// End a request that a peer has not answered.
    ForwardDeadline { request: RequestKey },
    /// End the evacuations that are no longer listed.
    EvacuationCheck,
    /// Remove a target that has left.
    Departure { target: TargetKey },
}

/// All pending timers; a timer whose request, attempt or target no longer exists has no effect.
#[derive(Debug, Default)]
pub(super) struct TimerQueue {
    heap: BinaryHeap<Reverse<(Instant, TimerKind)>>,
}

impl TimerQueue {
    pub(super) fn add(&mut self, due: Instant, kind: TimerKind) {
        self.heap.push(Reverse((due, kind)));
    }

    /// Returns the time at which the next timer is due.
    pub(super) fn next(&self) -> Option<Instant> {
        self.heap.peek().map(|Reverse((due, _))| *due)
    }

    /// Removes and returns the next timer that is due.
    pub(super) fn pop_due(&mut self, now: Instant) -> Option<TimerKind> {
        if self.next()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, kind))| kind)
    }
}
