//! The gate that every attempt passes on its way to a target.
//!
//! It knows which attempts each target runs, so that it can share out the blame when one is lost,
//! and keeps the attempts that wait for a trial's end. While nobody is suspected it only counts.

use std::time::Instant;

use super::table::{
    MAX_TRIAL_WAIT, NoticeKind, QuarantineNotice, QuarantineTable, RunningRequest, TrialRequest,
    TrialVerdict,
};
use crate::action::AttemptPlan;
use crate::event::AttemptFailure;
use crate::ids::{AttemptId, Fingerprint, TargetId};

/// Something the gate decided, for the daemon to carry out in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GateAction {
    /// Send the attempt.
    Send(AttemptPlan),
    /// The attempt was not sent, and will not be.
    Drop(AttemptId),
    /// Tell the peers.
    NotifyPeers(QuarantineNotice),
    /// Requests of the fingerprint are held back, or no longer; tell the engine.
    Hold {
        /// The fingerprint.
        fingerprint: Fingerprint,
        /// Whether they are held back from now on.
        held: bool,
    },
}

/// An attempt that was sent and has not ended.
#[derive(Clone, Copy, Debug)]
struct SentAttempt {
    attempt: AttemptId,
    target: TargetId,
    request: RunningRequest,
    /// Whether the loss of its target was counted, as told by another attempt.
    loss_counted: bool,
}

/// An attempt that waits for a trial's end.
#[derive(Clone, Debug)]
struct WaitingAttempt {
    plan: AttemptPlan,
    offered_at: Instant,
}

impl WaitingAttempt {
    /// When it is to be asked for again, if no trial ends before.
    fn due(&self, now: Instant) -> Instant {
        let retry_at = self.offered_at + MAX_TRIAL_WAIT;
        if retry_at > now {
            retry_at.min(self.plan.deadline)
        } else {
            self.plan.deadline
        }
    }
}

/// The gate of one daemon.
#[derive(Clone, Debug, Default)]
pub struct AttemptGate {
    table: QuarantineTable,
    /// Sorted by attempt.
    sent: Vec<SentAttempt>,
    /// In the order in which they came.
    waiting: Vec<WaitingAttempt>,
}

impl AttemptGate {
    /// A gate that knows no suspects.
    pub fn new() -> Self {
        Self::default()
    }

    /// The requests that are suspected or held back.
    pub fn table(&self) -> &QuarantineTable {
        &self.table
    }

    /// Takes an attempt that is to be sent.
    pub fn offer(&mut self, now: Instant, plan: AttemptPlan, actions: &mut Vec<GateAction>) {
        let waiting = WaitingAttempt {
            plan,
            offered_at: now,
        };
        if let Some(waiting) = self.try_send(now, waiting, actions) {
            self.waiting.push(waiting);
        }
    }

    /// Takes back an attempt that the engine cancels; true if it waited here and was not sent.
    pub fn cancel(&mut self, attempt: AttemptId, actions: &mut Vec<GateAction>) -> bool {
        let found = self
            .waiting
            .iter()
            .position(|entry| entry.plan.attempt == attempt);
        let Some(position) = found else {
            return false;
        };
        self.waiting.remove(position);
        actions.push(GateAction::Drop(attempt));
        true
    }

    /// Notes that a target answered an attempt.
    pub fn answered(&mut self, now: Instant, attempt: AttemptId, actions: &mut Vec<GateAction>) {
        if let Some(sent) = self.take_sent(attempt) {
            let request = sent.request;
            self.table
                .attempt_succeeded(request.fingerprint, request.shard);
            self.end_attempt(now, &sent, actions);
        }
    }

    /// Notes that an attempt failed.
    ///
    /// Only [`AttemptFailure::Lost`] says that the target may have crashed. The attempts that it
    /// ran together are lost within moments of each other, and count as one loss.
    pub fn failed(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        failure: &AttemptFailure,
        actions: &mut Vec<GateAction>,
    ) {
        let Some(sent) = self.take_sent(attempt) else {
            return;
        };
        if *failure == AttemptFailure::Lost && !sent.loss_counted {
            self.record_loss(now, &sent, actions);
        }
        self.end_attempt(now, &sent, actions);
    }

    /// Takes a peer's notice.
    pub fn apply_notice(
        &mut self,
        now: Instant,
        notice: &QuarantineNotice,
        actions: &mut Vec<GateAction>,
    ) {
        if self.table.apply_notice(now, notice) {
            push_hold(notice.fingerprint, true, actions);
        }
        self.retry_waiting(now, actions);
    }

    /// Does what is due: attempts that have waited long enough, and holds that end.
    pub fn tick(&mut self, now: Instant, actions: &mut Vec<GateAction>) {
        for fingerprint in self.table.expire(now) {
            push_hold(fingerprint, false, actions);
        }
        self.retry_waiting(now, actions);
    }

    /// Takes the end of a hold that a peer's news began.
    pub fn lift(&mut self, now: Instant, fingerprint: Fingerprint, actions: &mut Vec<GateAction>) {
        if self.table.lift(now, fingerprint) {
            push_hold(fingerprint, false, actions);
        }
        self.retry_waiting(now, actions);
    }

    /// When [`Self::tick`] is due next, if at all.
    pub fn next_wake(&self, now: Instant) -> Option<Instant> {
        let waiting = self.waiting.iter().map(|entry| entry.due(now)).min();
        [waiting, self.table.next_expiry()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Sends or drops an attempt; returns it if it has to wait.
    fn try_send(
        &mut self,
        now: Instant,
        waiting: WaitingAttempt,
        actions: &mut Vec<GateAction>,
    ) -> Option<WaitingAttempt> {
        match self.verdict(now, &waiting) {
            TrialVerdict::Send => self.send(waiting.plan, actions),
            TrialVerdict::Refuse => actions.push(GateAction::Drop(waiting.plan.attempt)),
            TrialVerdict::Wait => return Some(waiting),
        }
        None
    }

    fn verdict(&mut self, now: Instant, waiting: &WaitingAttempt) -> TrialVerdict {
        let plan = &waiting.plan;
        if !self.table.is_suspected(plan.fingerprint) {
            return TrialVerdict::Send;
        }
        let concurrent: Vec<Fingerprint> = self
            .sent
            .iter()
            .filter(|sent| sent.target == plan.target)
            .map(|sent| sent.request.fingerprint)
            .collect();
        let attempt = TrialRequest {
            fingerprint: plan.fingerprint,
            shard: plan.shard,
            target: plan.target,
            offered_at: waiting.offered_at,
            concurrent: &concurrent,
        };
        self.table.admit(now, &attempt)
    }

    fn send(&mut self, plan: AttemptPlan, actions: &mut Vec<GateAction>) {
        let sent = SentAttempt {
            attempt: plan.attempt,
            target: plan.target,
            request: RunningRequest {
                fingerprint: plan.fingerprint,
                shard: plan.shard,
            },
            loss_counted: false,
        };
        let found = self
            .sent
            .binary_search_by_key(&plan.attempt, |entry| entry.attempt);
        let position = found.expect_err("an attempt is sent once");
        self.sent.insert(position, sent);
        actions.push(GateAction::Send(plan));
    }

    fn take_sent(&mut self, attempt: AttemptId) -> Option<SentAttempt> {
        let position = self
            .sent
            .binary_search_by_key(&attempt, |entry| entry.attempt)
            .ok()?;
        Some(self.sent.remove(position))
    }

    fn record_loss(&mut self, now: Instant, lost: &SentAttempt, actions: &mut Vec<GateAction>) {
        let mut runs = vec![lost.request];
        for sent in &mut self.sent {
            if sent.target == lost.target && !sent.loss_counted {
                sent.loss_counted = true;
                runs.push(sent.request);
            }
        }
        for notice in self.table.target_lost(now, lost.target, &runs) {
            actions.push(GateAction::NotifyPeers(notice));
            if let NoticeKind::Held { .. } = notice.kind {
                push_hold(notice.fingerprint, true, actions);
            }
        }
    }

    fn end_attempt(&mut self, now: Instant, sent: &SentAttempt, actions: &mut Vec<GateAction>) {
        let RunningRequest { fingerprint, shard } = sent.request;
        self.table.attempt_ended(fingerprint, shard, sent.target);
        self.retry_waiting(now, actions);
    }

    fn retry_waiting(&mut self, now: Instant, actions: &mut Vec<GateAction>) {
        if self.waiting.is_empty() {
            return;
        }
        for waiting in std::mem::take(&mut self.waiting) {
            if waiting.plan.deadline <= now {
                actions.push(GateAction::Drop(waiting.plan.attempt));
            } else if let Some(waiting) = self.try_send(now, waiting, actions) {
                self.waiting.push(waiting);
            }
        }
    }
}

fn push_hold(fingerprint: Fingerprint, held: bool, actions: &mut Vec<GateAction>) {
    actions.push(GateAction::Hold { fingerprint, held });
}
