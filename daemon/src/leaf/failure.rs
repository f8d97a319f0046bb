//! How a call to a target fails, and what that means to the engine.

use yuccalift_core::event::AttemptFailure;

use super::stream::StreamRecord;

/// Why a call ends before its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StopCause {
    /// Its reply is no longer wanted, and there was no connection to say so on.
    Cancelled,
    /// Its connection is dead.
    Silent,
}

/// How a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallFailure {
    /// The connection had been closed since its last use; no byte was written.
    Stale,
    /// No connection could be made.
    NotConnected,
    /// Its time had passed before the first byte was written.
    Expired,
    /// The connection was lost after the first byte was written.
    Lost,
    /// It was stopped from here.
    Stopped(StopCause),
}

impl CallFailure {
    /// What the engine is told; `record` is that of the connection.
    pub(super) fn attempt_failure(self, record: &StreamRecord) -> AttemptFailure {
        match self {
            Self::Stale | Self::NotConnected => AttemptFailure::NotSent,
            Self::Expired => AttemptFailure::Expired,
            Self::Lost => AttemptFailure::Lost,
            Self::Stopped(_) if !record.has_written() => AttemptFailure::NotSent,
            Self::Stopped(StopCause::Cancelled) => AttemptFailure::Cancelled,
            Self::Stopped(StopCause::Silent) => AttemptFailure::Silent,
        }
    }
}

/// What a failed exchange means, from what the stream has recorded.
pub(super) fn classify_failure(record: &StreamRecord, reused: bool) -> CallFailure {
    if record.has_written() {
        CallFailure::Lost
    } else if record.expired_before_write() {
        CallFailure::Expired
    } else if reused {
        CallFailure::Stale
    } else {
        CallFailure::NotConnected
    }
}
