//! Carries out what the gate of attempts decides: lines in the log and news to the peers.
//! What is left for the lane are attempts to send and events for the engine.

use std::time::{Duration, Instant};

use actix::Recipient;
use yuccalift_core::action::AttemptPlan;
use yuccalift_core::control::NewsKind;
use yuccalift_core::event::{AttemptFailure, EngineEvent};
use yuccalift_core::ids::{AttemptId, Fingerprint};
use yuccalift_core::quarantine::{
    AttemptGate, GateAction, NoticeKind, QuarantineNotice, SUSPICION_LIFE,
};

use crate::control::Announce;
use crate::decision_log::millis;
use crate::events::LogEvent;
use crate::metrics::{DaemonMetric, MetricsClient};

/// What the lane does for the gate, in this order.
#[derive(Debug)]
pub(crate) enum DeskStep {
    /// Send an attempt.
    Send(AttemptPlan),
    /// Feed the engine.
    Feed(EngineEvent),
}

/// The gate with what stands around it.
pub(crate) struct QuarantineDesk {
    gate: AttemptGate,
    metrics: MetricsClient,
    news: Option<Recipient<Announce>>,
    actions: Vec<GateAction>,
}

impl QuarantineDesk {
    /// A desk that knows no suspects, and nobody to tell.
    pub(crate) fn new(metrics: MetricsClient) -> Self {
        Self {
            gate: AttemptGate::new(),
            metrics,
            news: None,
            actions: Vec::new(),
        }
    }

    /// Sets who passes news on to the peers.
    pub(crate) fn use_news(&mut self, news: Recipient<Announce>) {
        self.news = Some(news);
    }

    /// Takes an attempt that the engine wants sent.
    pub(crate) fn offer(&mut self, now: Instant, plan: AttemptPlan, steps: &mut Vec<DeskStep>) {
        self.gate.offer(now, plan, &mut self.actions);
        self.carry_out(now, steps);
    }

    /// Takes back an attempt; true if it waited here, and false if it was sent.
    pub(crate) fn cancel(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        steps: &mut Vec<DeskStep>,
    ) -> bool {
        let waited = self.gate.cancel(attempt, &mut self.actions);
        self.carry_out(now, steps);
        waited
    }

    /// Follows what became of an attempt.
    pub(crate) fn follow(&mut self, now: Instant, event: &EngineEvent, steps: &mut Vec<DeskStep>) {
        match event {
            EngineEvent::Reply(reply) => {
                self.gate.answered(now, reply.attempt, &mut self.actions);
            }
            EngineEvent::Failed { attempt, failure } => {
                self.gate.failed(now, *attempt, failure, &mut self.actions);
            }
            _ => {}
        }
        self.carry_out(now, steps);
    }

    /// Takes a peer's suspicion.
    pub(crate) fn learn(
        &mut self,
        now: Instant,
        notice: &QuarantineNotice,
        steps: &mut Vec<DeskStep>,
    ) {
        self.gate.learn(now, notice, &mut self.actions);
        self.carry_out(now, steps);
    }

    /// Takes the beginning or the end of a quarantine that news tell of. The news end by
    /// themselves, so that the longest hold stands until then.
    pub(crate) fn set_held(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        held: bool,
        steps: &mut Vec<DeskStep>,
    ) {
        if !held {
            self.gate.lift(now, fingerprint, &mut self.actions);
        } else if !self.gate.table().held(now, fingerprint) {
            let kind = NoticeKind::Held {
                left: yuccalift_core::control::news::MAX_LIFE,
            };
            let notice = QuarantineNotice { fingerprint, kind };
            self.gate.learn(now, &notice, &mut self.actions);
        }
        self.carry_out(now, steps);
    }

    /// Does what is due.
    pub(crate) fn tick(&mut self, now: Instant, steps: &mut Vec<DeskStep>) {
        self.gate.tick(now, &mut self.actions);
        self.carry_out(now, steps);
    }

    /// When [`Self::tick`] is due next, if at all.
    pub(crate) fn next_wake(&self, now: Instant) -> Option<Instant> {
        self.gate.next_wake(now)
    }

    fn carry_out(&mut self, now: Instant, steps: &mut Vec<DeskStep>) {
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            match action {
                GateAction::Send(plan) => steps.push(DeskStep::Send(plan)),
                GateAction::Drop(attempt) => steps.push(DeskStep::Feed(EngineEvent::Failed {
                    attempt,
                    failure: AttemptFailure::NotSent,
                })),
                GateAction::Tell(notice) => self.tell(&notice),
                GateAction::Hold { fingerprint, held } => {
                    self.note_hold(now, fingerprint, held);
                    let event = EngineEvent::Quarantine { fingerprint, held };
                    steps.push(DeskStep::Feed(event));
                }
            }
        }
        self.actions = actions;
    }

    fn tell(&self, notice: &QuarantineNotice) {
        log_suspicion(notice);
        if let Some(news) = &self.news {
            let (kind, life) = news_of(notice);
            news.do_send(Announce { kind, life });
        }
    }

    fn note_hold(&self, now: Instant, fingerprint: Fingerprint, held: bool) {
        let text = hexadecimal(fingerprint);
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

/// What peers are told by a notice, and for how long it is true.
pub(crate) fn news_of(notice: &QuarantineNotice) -> (NewsKind, Duration) {
    let fingerprint = notice.fingerprint;
    match notice.kind {
        NoticeKind::Suspected { shard, wide, blame } => {
            let suspect = NewsKind::Suspect {
                fingerprint,
                shard,
                wide,
                blame,
            };
            (suspect, SUSPICION_LIFE)
        }
        NoticeKind::Held { left } => (NewsKind::Quarantine(fingerprint), left),
    }
}

/// Writes the line of a notice.
pub(crate) fn log_suspect(notice: &QuarantineNotice) {
    log_suspicion(notice);
    if let NoticeKind::Held { left } = notice.kind {
        LogEvent::RequestQuarantined {
            fingerprint: &hexadecimal(notice.fingerprint),
            left_ms: millis(left),
        }
        .emit();
    }
}

fn log_suspicion(notice: &QuarantineNotice) {
    if let NoticeKind::Suspected { shard, blame, .. } = notice.kind {
        LogEvent::RequestSuspected {
            fingerprint: &hexadecimal(notice.fingerprint),
            shard,
            blame,
        }
        .emit();
    }
}

fn hexadecimal(fingerprint: Fingerprint) -> String {
    format!("{fingerprint:016x}")
}
