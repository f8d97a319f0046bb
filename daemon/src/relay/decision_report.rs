//! Log lines and metrics of the engine's decisions: [`RelayReport::log_decision`].

use std::time::{Duration, Instant};

use yuccalift_core::relay::target_record::TargetName;
use yuccalift_core::relay::{HoldChange, LoadTrustChange, RefusalCause, RelayDecision, RequestKey};

use super::report::{RelayReport, write_changes};
use crate::decision_log::millis;
use crate::events::LogEvent;
use crate::metrics::DaemonMetric;

impl RelayReport {
    /// Logs a decision of the engine; `request_id` returns the id that the caller chose.
    pub(super) fn log_decision(
        &self,
        decision: &RelayDecision,
        request_id: impl Fn(RequestKey) -> Box<str>,
    ) {
        match decision {
            RelayDecision::SentAtMostOnce {
                request,
                target,
                time_left,
            } => self.write_limited(&LogEvent::OrderSent {
                request: &request_id(*request),
                target,
                time_left_ms: millis(*time_left),
            }),
            RelayDecision::Hedged {
                request,
                targets,
                after,
            } => {
                let count = targets.len() as u64;
                self.metrics.count(DaemonMetric::RelayHedges, count);
                self.log_hedges(&request_id(*request), targets, *after);
            }
            RelayDecision::AttemptRepeated {
                request,
                target,
                after,
            } => {
                self.metrics.count(DaemonMetric::RelayRetries, 1);
                self.write_limited(&LogEvent::AttemptRepeated {
                    request: &request_id(*request),
                    target,
                    cause: "retry",
                    after_ms: millis(*after),
                });
            }
            RelayDecision::AttemptFailed {
                request,
                target,
                outcome,
                took,
            } => self.write_limited(&LogEvent::AttemptFailed {
                request: &request_id(*request),
                target,
                outcome,
                took_ms: millis(*took),
            }),
            RelayDecision::Missed {
                request,
                service,
                reason,
            } => self.log_missed_service(&request_id(*request), service, reason),
            RelayDecision::Shed {
                route,
                service,
                requests,
                pressure,
            } => log_shed(route, service, *requests, *pressure),
            RelayDecision::ForwardFailed {
                request,
                peer,
                outcome,
                took,
            } => self.write_limited(&LogEvent::ForwardFailed {
                request: &request_id(*request),
                peer: &peer.to_string(),
                outcome,
                took_ms: millis(*took),
            }),
            RelayDecision::TargetsLost { .. }
            | RelayDecision::TargetsRegained { .. }
            | RelayDecision::Suspended { .. }
            | RelayDecision::Resumed { .. }
            | RelayDecision::TargetChanged { .. }
            | RelayDecision::EvacuationChanged { .. }
            | RelayDecision::HoldChanged { .. }
            | RelayDecision::LoadTrustChanged { .. } => self.log_target_decision(decision),
        }
    }

    /// Logs a decision about targets.
    fn log_target_decision(&self, decision: &RelayDecision) {
        match decision {
            RelayDecision::TargetsLost { failed } => self.log_targets_lost(*failed),
            RelayDecision::TargetsRegained { outage } => self.log_targets_regained(*outage),
            RelayDecision::Suspended { target, period } => {
                self.metrics.count(DaemonMetric::TargetsSuspended, 1);
                LogEvent::TargetSuspended {
                    target,
                    period_ms: millis(*period),
                }
                .emit();
            }
            RelayDecision::Resumed { target } => LogEvent::TargetResumed { target }.emit(),
            RelayDecision::TargetChanged { target, state } => {
                let mut changes = self.target_changes.borrow_mut();
                write_changes(&changes.record(Instant::now(), target, state));
            }
            RelayDecision::EvacuationChanged {
                data_centre,
                active,
                evacuated,
            } => self.log_evacuation(data_centre, *active, *evacuated),
            RelayDecision::HoldChanged { target, change } => {
                self.log_hold_change(target, *change);
            }
            RelayDecision::LoadTrustChanged { target, change } => {
                self.log_load_trust_change(target, *change);
            }
            RelayDecision::SentAtMostOnce { .. }
            | RelayDecision::Hedged { .. }
            | RelayDecision::AttemptRepeated { .. }
            | RelayDecision::AttemptFailed { .. }
            | RelayDecision::Missed { .. }
            | RelayDecision::Shed { .. }
            | RelayDecision::ForwardFailed { .. } => {}
        }
    }

    fn log_missed_service(&self, request: &str, service: &str, reason: &str) {
        if reason == RefusalCause::Evacuated.as_str() {
            self.metrics.count(DaemonMetric::EvacuationMissed, 1);
        }
        self.write_limited(&LogEvent::ServiceMissed {
            request,
            service,
            reason,
        });
    }

    fn log_hedges(&self, request: &str, targets: &[TargetName], after: Duration) {
        let after_ms = millis(after);
        if let [target] = targets {
            self.write_limited(&LogEvent::AttemptRepeated {
                request,
                target,
                cause: "hedge",
                after_ms,
            });
            return;
        }
        self.write_limited(&LogEvent::LegsHedged {
            request,
            count: targets.len() as u64,
            targets: &targets.join(" "),
            after_ms,
        });
    }

    fn log_evacuation(&self, data_centre: &str, active: bool, evacuated: usize) {
        let metrics = &self.metrics;
        metrics.gauge(DaemonMetric::EvacuationActive, evacuated as u64);
        if active {
            metrics.count(DaemonMetric::EvacuationStarted, 1);
            LogEvent::EvacuationStarted { data_centre }.emit();
        } else {
            LogEvent::EvacuationEnded { data_centre }.emit();
        }
    }

    fn log_hold_change(&self, target: &str, change: HoldChange) {
        match change {
            HoldChange::Leaving => {
                self.metrics.count(DaemonMetric::TargetsLeaving, 1);
                LogEvent::TargetLeaving { target }.emit();
            }
            HoldChange::Paused(pause) => {
                self.metrics.count(DaemonMetric::TargetsPaused, 1);
                let pause_ms = millis(pause);
                LogEvent::TargetPaused { target, pause_ms }.emit();
            }
            HoldChange::Limited(rate) => {
                self.metrics.count(DaemonMetric::TargetsLimited, 1);
                let rate_per_minute = (rate * 60.0) as u64;
                LogEvent::TargetLimited {
                    target,
                    rate_per_minute,
                }
                .emit();
            }
            HoldChange::Unlimited => LogEvent::TargetUnlimited { target }.emit(),
            HoldChange::Cold(left) => {
                self.metrics.count(DaemonMetric::TargetsCold, 1);
                let left_ms = millis(left);
                LogEvent::TargetCold { target, left_ms }.emit();
            }
            HoldChange::Warm => LogEvent::TargetWarm { target }.emit(),
        }
    }

    fn log_targets_lost(&self, failed: usize) {
        self.metrics.gauge(DaemonMetric::RelayCutOff, 1);
        let failed = failed as u64;
        LogEvent::TargetsLost { failed }.emit();
    }

    fn log_targets_regained(&self, outage: Duration) {
        self.metrics.gauge(DaemonMetric::RelayCutOff, 0);
        let outage_ms = millis(outage);
        LogEvent::TargetsRegained { outage_ms }.emit();
    }

    fn log_load_trust_change(&self, target: &str, change: LoadTrustChange) {
        match change {
            LoadTrustChange::Doubted => {
                self.metrics.count(DaemonMetric::TargetLoadsDoubted, 1);
                LogEvent::TargetLoadDoubted { target }.emit();
            }
            LoadTrustChange::Believed => LogEvent::TargetLoadBelieved { target }.emit(),
        }
    }
}

fn log_shed(route: &str, service: &str, requests: u32, pressure: f64) {
    LogEvent::RequestsShed {
        route,
        service,
        requests: u64::from(requests),
        pressure_percent: (pressure * 100.0) as u64,
    }
    .emit();
}
