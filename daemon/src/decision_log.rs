//! Logs the decisions of the engine as numbered events.

use std::time::Duration;

use yuccalift_core::{Coverage, EngineDecision, MissingReason, Outcome, Refusal, RefusalCode};

use crate::events::LogEvent;

/// Logs a decision of the engine.
pub(crate) fn log_decision(decision: &EngineDecision) {
    decision_event(decision).emit();
}

fn decision_event(decision: &EngineDecision) -> LogEvent<'static> {
    match *decision {
        EngineDecision::Planned {
            query,
            snapshot,
            shards,
            waited,
        } => LogEvent::QueryPlanned {
            query,
            epoch: snapshot.epoch,
            version: snapshot.version,
            shards,
            waited_ms: millis(waited),
        },
        EngineDecision::Queued { query, waiting } => LogEvent::QueryQueued { query, waiting },
        EngineDecision::Restarted { query, snapshot } => LogEvent::QueryRestarted {
            query,
            epoch: snapshot.epoch,
            version: snapshot.version,
        },
        EngineDecision::Hedged {
            query,
            shard,
            slow,
            target,
        } => LogEvent::ShardHedged {
            query,
            shard,
            slow,
            target,
        },
        EngineDecision::Retried {
            query,
            shard,
            target,
        } => LogEvent::ShardRetried {
            query,
            shard,
            target,
        },
        EngineDecision::Missed {
            query,
            shard,
            reason,
        } => LogEvent::ShardMissed {
            query,
            shard,
            reason: reason_name(reason),
        },
        EngineDecision::Ejected { target, period } => LogEvent::TargetEjected {
            target,
            period_ms: millis(period),
        },
        EngineDecision::Readmitted { target } => LogEvent::TargetReadmitted { target },
        EngineDecision::LimitChanged { target, limit } => {
            LogEvent::TargetLimitChanged { target, limit }
        }
    }
}

pub(crate) fn log_refusal(query: u64, refusal: &Refusal) {
    LogEvent::QueryRefused {
        query,
        code: code_name(refusal.code),
        outcome: outcome_name(refusal.outcome),
        step: &refusal.step,
        peer: &refusal.peer,
    }
    .emit();
}

pub(crate) fn log_answer(query: u64, coverage: &Coverage, took: Duration) {
    LogEvent::QueryAnswered {
        query,
        asked: coverage.asked,
        answered: coverage.answered.len() as u32,
        took_ms: millis(took),
    }
    .emit();
}

/// Converts a duration to whole milliseconds.
pub(crate) fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

fn reason_name(reason: MissingReason) -> &'static str {
    match reason {
        MissingReason::Deadline => "deadline",
        MissingReason::Shed => "shed",
        MissingReason::NoTarget => "no_target",
        MissingReason::WrongVersion => "wrong_version",
        MissingReason::Quarantined => "quarantined",
        MissingReason::Failed => "failed",
    }
}

fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::NotRun => "not_run",
        Outcome::Ran => "ran",
        Outcome::Unknown => "unknown",
    }
}

fn code_name(code: RefusalCode) -> &'static str {
    match code {
        RefusalCode::BadRequest => "bad_request",
        RefusalCode::UnknownAccount => "unknown_account",
        RefusalCode::UnknownCollection => "unknown_collection",
        RefusalCode::NotReady => "not_ready",
        RefusalCode::Stopping => "stopping",
        RefusalCode::QueueFull => "queue_full",
        RefusalCode::Hopeless => "hopeless",
        RefusalCode::DeadlineExceeded => "deadline_exceeded",
        RefusalCode::Quarantined => "quarantined",
        RefusalCode::NoSnapshot => "no_snapshot",
        RefusalCode::TargetRefused => "target_refused",
        RefusalCode::TargetLost => "target_lost",
        RefusalCode::TicketInvalid => "ticket_invalid",
        RefusalCode::OwnerUnreachable => "owner_unreachable",
        RefusalCode::RateLimited => "rate_limited",
        RefusalCode::KeyInvalid => "key_invalid",
        RefusalCode::Internal => "internal",
    }
}
