//! Log lines and metrics of the engine lane.

use std::time::Instant;

use yuccalift_core::action::AttemptCause;
use yuccalift_core::ids::QueryId;
use yuccalift_core::{EngineDecision, Refusal, SearchAnswer};

use crate::decision_log::{log_answer, log_decision, log_refusal};
use crate::metrics::{DaemonMetric, MetricsClient};

/// Writes the engine lane's log lines and updates its metrics.
#[derive(Clone, Debug)]
pub(super) struct LaneRecorder {
    metrics: MetricsClient,
}

impl LaneRecorder {
    /// Creates a recorder that sends its metrics through `metrics`.
    pub(super) fn new(metrics: MetricsClient) -> Self {
        Self { metrics }
    }

    /// Logs and counts a decision of the engine.
    pub(super) fn record_decision(&self, decision: &EngineDecision) {
        log_decision(decision);
        match decision {
            EngineDecision::Planned { .. } => self.metrics.count(DaemonMetric::QueriesPlanned, 1),
            EngineDecision::Ejected { .. } => self.metrics.count(DaemonMetric::TargetsEjected, 1),
            _ => {}
        }
    }

    /// Counts an attempt that is being sent.
    pub(super) fn record_attempt(&self, cause: AttemptCause) {
        self.metrics.count(DaemonMetric::LeafRequests, 1);
        match cause {
            AttemptCause::First => {}
            AttemptCause::Hedge => self.metrics.count(DaemonMetric::LeafHedges, 1),
            AttemptCause::Retry => self.metrics.count(DaemonMetric::LeafRetries, 1),
        }
    }

    /// Logs and counts the end of a request that was submitted at `submitted_at`.
    pub(super) fn record_end(
        &self,
        query: QueryId,
        submitted_at: Instant,
        result: &Result<SearchAnswer, Refusal>,
    ) {
        let took = submitted_at.elapsed();
        match result {
            Ok(answer) => {
                log_answer(query, &answer.coverage, took);
                let coverage = &answer.coverage;
                self.metrics.count(DaemonMetric::QueriesAnswered, 1);
                self.metrics.time(DaemonMetric::QueryTime, took);
                let asked = u64::from(coverage.asked);
                self.metrics.count(DaemonMetric::ShardsAsked, asked);
                let missing = coverage.missing.len() as u64;
                self.metrics.count(DaemonMetric::ShardsMissing, missing);
            }
            Err(refusal) => {
                log_refusal(query, refusal);
                self.metrics.count(DaemonMetric::QueriesRefused, 1);
            }
        }
    }
}
