//! Gate that every attempt passes before it is sent to a target.
//!
//! The gate tracks the attempts that each target is running, so that the blame for a lost target
//! can be divided among them, and holds attempts that wait for the end of a trial. While no request
//! is suspected, it only tracks attempts.

use std::time::Instant;

use super::table::{
    MAX_TRIAL_WAIT, NoticeKind, QuarantineNotice, QuarantineTable, RunningRequest, TrialRequest,
    TrialVerdict,
};
use crate::action::AttemptPlan;
use crate::event::AttemptFailure;
use crate::ids::{AttemptId, Fingerprint, TargetId};

/// A decision of the gate; the daemon carries out the decisions in the order in which they are
/// made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GateAction {
    /// Sends the attempt.
    Send(AttemptPlan),
    /// Drops the attempt, which was not sent and will not be.
    Drop(AttemptId),
    /// Notifies the peers.
    NotifyPeers(QuarantineNotice),
    /// Tells the engine that requests with the fingerprint are now quarantined, or no longer are.
    Hold {
        /// Fingerprint of the requests.
        fingerprint: Fingerprint,
        /// Whether the requests are quarantined from now on.
        held: bool,
    },
}

/// An attempt that was sent and has not ended.
#[derive(Clone, Copy, Debug)]
struct SentAttempt {
    attempt: AttemptId,
    target: TargetId,
    request: RunningRequest,
    /// Whether the loss of the target was already recorded when another attempt failed.
    loss_counted: bool,
}

/// An attempt that waits for the end of a trial.
#[derive(Clone, Debug)]
struct WaitingAttempt {
    plan: AttemptPlan,
    offered_at: Instant,
}

impl WaitingAttempt {
    /// Returns the time at which the attempt is offered again, if no trial ends before.
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
    /// Attempts that have not ended, sorted by key.
    sent: Vec<SentAttempt>,
    /// Waiting attempts, in the order of their arrival.
    waiting: Vec<WaitingAttempt>,
}

impl AttemptGate {
    /// Creates a gate without suspects.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the requests that are suspected or quarantined.
    pub fn table(&self) -> &QuarantineTable {
        &self.table
    }

    /// Sends an attempt, drops it, or lets it wait for the end of a trial.
    pub fn offer(&mut self, now: Instant, plan: AttemptPlan, actions: &mut Vec<GateAction>) {
        let waiting = WaitingAttempt {
            plan,
            offered_at: now,
        };
        if let Some(waiting) = self.try_send(now, waiting, actions) {
            self.waiting.push(waiting);
        }
    }

    /// Removes an attempt that the engine cancels; returns true if it was waiting and is not sent.
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

    /// Records that a target answered an attempt.
    pub fn record_answer(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        actions: &mut Vec<GateAction>,
    ) {
        if let Some(sent) = self.take_sent(attempt) {
            let request = sent.request;
            self.table
                .attempt_succeeded(request.fingerprint, request.shard);
            self.end_attempt(now, &sent, actions);
        }
    }

    /// Records that an attempt failed.
    ///
    /// Only [`AttemptFailure::Lost`] indicates that the target may have crashed. Attempts that run
    /// on the same target are lost within moments of each other and count as one loss.
    pub fn record_failure(
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

    /// Applies a notice of a peer.
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

    /// Releases holds that have expired, and offers the waiting attempts again.
    pub fn tick(&mut self, now: Instant, actions: &mut Vec<GateAction>) {
        for fingerprint in self.table.expire(now) {
            push_hold(fingerprint, false, actions);
        }
        self.retry_waiting(now, actions);
    }

    /// Ends a hold that began with a peer's notice.
    pub fn lift(&mut self, now: Instant, fingerprint: Fingerprint, actions: &mut Vec<GateAction>) {
        if self.table.lift(now, fingerprint) {
            push_hold(fingerprint, false, actions);
        }
        self.retry_waiting(now, actions);
    }

    /// Returns the time at which [`Self::tick`] is due next; `None` if nothing is pending.
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
