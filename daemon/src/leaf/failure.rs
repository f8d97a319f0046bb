//! Failures of calls to targets, and their translation for the engine.

use yuccalift_core::event::AttemptFailure;

use super::stream::StreamRecord;

/// Why a call was stopped before its answer arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StopCause {
    /// The reply is no longer wanted, and no other connection was available for a cancellation.
    Cancelled,
    /// The connection has been silent for too long and is considered dead.
    Silent,
}

/// How a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallFailure {
    /// The connection was closed since its last use; no byte was written.
    Stale,
    /// No connection could be opened.
    NotConnected,
    /// The deadline passed before the first byte was written.
    Expired,
    /// The connection was lost after the first byte was written.
    Lost,
    /// The call was stopped by this daemon.
    Stopped(StopCause),
}

impl CallFailure {
    /// Translates the failure for the engine; `record` belongs to the connection of the call.
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

/// Classifies a failed exchange by what the stream has recorded; `is_reused` says whether the
/// stream was open before the exchange.
pub(super) fn classify_failure(record: &StreamRecord, is_reused: bool) -> CallFailure {
    if record.has_written() {
        CallFailure::Lost
    } else if record.expired_before_write() {
        CallFailure::Expired
    } else if is_reused {
        CallFailure::Stale
    } else {
        CallFailure::NotConnected
    }
}
