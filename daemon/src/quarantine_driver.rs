//! Drives the [`AttemptGate`] for the lane: logs its decisions and announces them to the peers.
//! Attempts to send and events for the engine are returned to the lane.

use std::time::{Duration, Instant};

use actix::Recipient;
use yuccalift_core::action::AttemptPlan;
use yuccalift_core::control::AnnouncementKind;
use yuccalift_core::event::{AttemptFailure, EngineEvent};
use yuccalift_core::ids::{AttemptId, Fingerprint};
use yuccalift_core::quarantine::{
    AttemptGate, GateAction, NoticeKind, QuarantineNotice, SUSPICION_TTL,
};

use crate::control::Announce;
use crate::decision_log::millis;
use crate::events::LogEvent;
use crate::metrics::{DaemonMetric, MetricsClient};

/// Step that the lane carries out for the gate; steps are ordered.
#[derive(Debug)]
pub(crate) enum QuarantineStep {
    /// Send an attempt to its target.
    Send(AttemptPlan),
    /// Pass an event to the engine.
    Feed(EngineEvent),
}

/// The attempt gate with the log, metrics and announcements of its decisions.
pub(crate) struct QuarantineDriver {
    gate: AttemptGate,
    metrics: MetricsClient,
    announcer: Option<Recipient<Announce>>,
    actions: Vec<GateAction>,
}

impl QuarantineDriver {
    /// Creates a driver without suspects that announces nothing until [`Self::set_announcer`].
    pub(crate) fn new(metrics: MetricsClient) -> Self {
        Self {
            gate: AttemptGate::new(),
            metrics,
            announcer: None,
            actions: Vec::new(),
        }
    }

    /// Sets the recipient of announcements to the peers.
    pub(crate) fn set_announcer(&mut self, announcer: Recipient<Announce>) {
        self.announcer = Some(announcer);
    }

    /// Offers an attempt that the engine wants to send.
    pub(crate) fn offer(
        &mut self,
        now: Instant,
        plan: AttemptPlan,
        steps: &mut Vec<QuarantineStep>,
    ) {
        self.gate.offer(now, plan, &mut self.actions);
        self.apply_actions(now, steps);
    }

    /// Cancels an attempt. Returns true if the gate still held it, and false if it was sent.
    pub(crate) fn cancel(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        steps: &mut Vec<QuarantineStep>,
    ) -> bool {
        let was_held = self.gate.cancel(attempt, &mut self.actions);
        self.apply_actions(now, steps);
        was_held
    }

    /// Updates the gate with the result of an attempt; other events are ignored.
    pub(crate) fn observe(
        &mut self,
        now: Instant,
        event: &EngineEvent,
        steps: &mut Vec<QuarantineStep>,
    ) {
        match event {
            EngineEvent::Reply(reply) => {
                self.gate
                    .record_answer(now, reply.attempt, &mut self.actions);
            }
            EngineEvent::Failed { attempt, failure } => {
                self.gate
                    .record_failure(now, *attempt, failure, &mut self.actions);
            }
            _ => {}
        }
        self.apply_actions(now, steps);
    }

    /// Applies a notice that a peer announced.
    pub(crate) fn apply_notice(
        &mut self,
        now: Instant,
        notice: &QuarantineNotice,
        steps: &mut Vec<QuarantineStep>,
    ) {
        self.gate.apply_notice(now, notice, &mut self.actions);
        self.apply_actions(now, steps);
    }

    /// Applies the announced beginning or end of a quarantine. The end is announced or follows when
    /// the announcement expires, so a hold lasts for the maximum lifetime of an announcement.
    pub(crate) fn set_held(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        held: bool,
        steps: &mut Vec<QuarantineStep>,
    ) {
        if !held {
            self.gate.lift(now, fingerprint, &mut self.actions);
        } else if !self.gate.table().is_held(now, fingerprint) {
            let kind = NoticeKind::Held {
                left: yuccalift_core::control::announcements::MAX_LIFETIME,
            };
            let notice = QuarantineNotice { fingerprint, kind };
            self.gate.apply_notice(now, &notice, &mut self.actions);
        }
        self.apply_actions(now, steps);
    }

    /// Performs the work that is due at `now`.
    pub(crate) fn tick(&mut self, now: Instant, steps: &mut Vec<QuarantineStep>) {
        self.gate.tick(now, &mut self.actions);
        self.apply_actions(now, steps);
    }

    /// Returns when [`Self::tick`] is due next, if at all.
    pub(crate) fn next_wake(&self, now: Instant) -> Option<Instant> {
        self.gate.next_wake(now)
    }

    fn apply_actions(&mut self, now: Instant, steps: &mut Vec<QuarantineStep>) {
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            match action {
                GateAction::Send(plan) => steps.push(QuarantineStep::Send(plan)),
                GateAction::Drop(attempt) => {
                    steps.push(QuarantineStep::Feed(EngineEvent::Failed {
                        attempt,
                        failure: AttemptFailure::NotSent,
                    }));
                }
                GateAction::NotifyPeers(notice) => self.announce(&notice),
                GateAction::Hold { fingerprint, held } => {
                    self.record_hold(now, fingerprint, held);
                    let event = EngineEvent::Quarantine { fingerprint, held };
                    steps.push(QuarantineStep::Feed(event));
                }
            }
        }
        self.actions = actions;
    }

    fn announce(&self, notice: &QuarantineNotice) {
        log_suspicion(notice);
        if let Some(announcer) = &self.announcer {
            let (kind, lifetime) = announcement_of(notice);
            announcer.do_send(Announce { kind, lifetime });
        }
    }

    fn record_hold(&self, now: Instant, fingerprint: Fingerprint, held: bool) {
        let text = format_fingerprint(fingerprint);
        let entries = self.gate.table().list(now);
        if held {
            let entry = entries
                .iter()
                .find(|entry| entry.fingerprint == fingerprint);
            LogEvent::RequestQuarantined {
                fingerprint: &text,
                left_ms: entry.map_or(0, |entry| millis(entry.left)),
            }
            .emit();
            self.metrics.count(DaemonMetric::RequestsQuarantined, 1);
        } else {
            LogEvent::QuarantineEnded { fingerprint: &text }.emit();
        }
    }
}

/// Returns the announcement of a notice to the peers, and its lifetime.
pub(crate) fn announcement_of(notice: &QuarantineNotice) -> (AnnouncementKind, Duration) {
    let fingerprint = notice.fingerprint;
    match notice.kind {
        NoticeKind::Suspected { shard, wide, blame } => {
            let suspect = AnnouncementKind::Suspect {
                fingerprint,
                shard,
                wide,
                blame,
            };
            (suspect, SUSPICION_TTL)
        }
        NoticeKind::Held { left } => (AnnouncementKind::Quarantine(fingerprint), left),
    }
}

/// Logs a notice about a suspected or quarantined request.
pub(crate) fn log_quarantine_notice(notice: &QuarantineNotice) {
    log_suspicion(notice);
    if let NoticeKind::Held { left } = notice.kind {
        LogEvent::RequestQuarantined {
            fingerprint: &format_fingerprint(notice.fingerprint),
            left_ms: millis(left),
        }
        .emit();
    }
}

fn log_suspicion(notice: &QuarantineNotice) {
    if let NoticeKind::Suspected { shard, blame, .. } = notice.kind {
        LogEvent::RequestSuspected {
            fingerprint: &format_fingerprint(notice.fingerprint),
            shard,
            blame,
        }
        .emit();
    }
}

fn format_fingerprint(fingerprint: Fingerprint) -> String {
    format!("{fingerprint:016x}")
}
