//! Detects requests that crash the targets that run them.
//!
//! A connection that breaks while a request is in flight is weak evidence, since answers are also
//! lost in transit. The target is therefore probed first; if the probe fails, the target is
//! considered crashed, and the requests that it was running are suspected. See
//! [`crate::quarantine`] for the consequences, and `docs/PLATFORM.md`, "Crashing requests".

use std::time::Instant;

use super::action::RelayAction;
use super::event::{ProbeOutcome, TargetOutcome};
use super::request::{LiveAttempt, RequestState};
use super::timers::TimerKind;
use super::{RelayEngine, RequestKey, TargetKey};
use crate::ids::{Fingerprint, ShardId};
use crate::quarantine::table::MAX_TRIAL_WAIT;
use crate::quarantine::{
    QuarantineNotice, QuarantineTable, RunningRequest, TrialRequest, TrialVerdict,
};

/// A target whose attempts were lost and that is being probed to find out whether it has crashed.
#[derive(Debug)]
struct UnconfirmedLoss {
    target: TargetKey,
    /// Requests that the target was running when their attempts were lost.
    runs: Vec<RunningRequest>,
    /// Legs that wait for the result of the probe before they are retried.
    legs: Vec<(RequestKey, usize)>,
}

/// Suspected requests, and targets that are being probed after a loss.
#[derive(Debug, Default)]
pub(super) struct SuspicionState {
    pub(super) table: QuarantineTable,
    unconfirmed: Vec<UnconfirmedLoss>,
    /// Losses that the links of this daemon may have caused, which are not blamed on requests unless
    /// a target is reached.
    doubted: Vec<(TargetKey, Vec<RunningRequest>)>,
}

impl SuspicionState {
    /// Returns the targets that are being probed after a loss.
    pub(super) fn lost_targets(&self) -> impl Iterator<Item = TargetKey> {
        self.unconfirmed.iter().map(|loss| loss.target)
    }
}

impl RelayEngine {
    /// Decides whether an attempt of a request may be sent to a target now.
    pub(super) fn admit(
        &mut self,
        now: Instant,
        request: RequestKey,
        leg_index: usize,
        target: TargetKey,
    ) -> TrialVerdict {
        let Some(state) = self.requests.get(request) else {
            return TrialVerdict::Refuse;
        };
        let RunningRequest { fingerprint, shard } = running_request(state, leg_index);
        if !self.suspicion.table.is_suspected(fingerprint) {
            return TrialVerdict::Send;
        }
        let offered_at = state.arrived_at;
        let concurrent = self.fingerprints_at(target);
        let trial = TrialRequest {
            fingerprint,
            shard,
            target,
            offered_at,
            concurrent: &concurrent,
        };
        self.suspicion.table.admit(now, &trial)
    }

    /// Returns the fingerprints of the requests that a target is running for this daemon.
    fn fingerprints_at(&self, target: TargetKey) -> Vec<Fingerprint> {
        self.requests
            .attempts()
            .filter(|attempt| attempt.target == target)
            .map(|attempt| attempt.run.fingerprint)
            .collect()
    }

    /// Schedules a retry of a leg that waits for a trial, a probe or a target with capacity.
    pub(super) fn schedule_retry(&mut self, now: Instant, request: RequestKey, leg_index: usize) {
        let due = now + MAX_TRIAL_WAIT;
        self.timers
            .add(due, TimerKind::Retry { request, leg_index });
    }

    /// Records that an attempt was lost, and returns whether that makes its request suspicious. A
    /// request that crashes the targets of several services loses attempts on most of its legs; one
    /// that loses only some was merely running on targets that failed.
    pub(super) fn record_loss(&mut self, attempt: &LiveAttempt) -> bool {
        let Some(state) = self.requests.get_mut(attempt.request) else {
            return false;
        };
        state.legs[attempt.leg_index].has_loss = true;
        let suspected = self.suspicion.table.is_suspected(state.fingerprint);
        suspected || state.is_mostly_lost()
    }

    /// Probes the target of a lost attempt to find out whether it has crashed.
    pub(super) fn verify_loss(&mut self, attempt: &LiveAttempt, actions: &mut Vec<RelayAction>) {
        let (target, run) = (attempt.target, attempt.run);
        let leg = (attempt.request, attempt.leg_index);
        let unconfirmed = &mut self.suspicion.unconfirmed;
        if let Some(entry) = unconfirmed.iter_mut().find(|entry| entry.target == target) {
            entry.runs.push(run);
            entry.legs.push(leg);
            return;
        }
        // Without a probe, nothing tells whether the target has crashed; the leg is retried by its
        // timer.
        let can_probe = self
            .targets
            .get(target)
            .is_some_and(|target| target.probe_pending || !self.is_evacuated(target));
        if !can_probe {
            self.record_run_ended(target, run);
            return;
        }
        self.suspicion.unconfirmed.push(UnconfirmedLoss {
            target,
            runs: vec![run],
            legs: vec![leg],
        });
        self.probe(target, actions);
    }

    /// Applies the result of the probe after a loss; a target that is not reached is considered
    /// crashed.
    pub(super) fn resolve_loss(
        &mut self,
        now: Instant,
        target: TargetKey,
        outcome: ProbeOutcome,
        actions: &mut Vec<RelayAction>,
    ) {
        let mut unconfirmed = self.suspicion.unconfirmed.iter();
        let Some(index) = unconfirmed.position(|entry| entry.target == target) else {
            return;
        };
        let is_lost = outcome != ProbeOutcome::Reached;
        let is_doubted = is_lost && self.reach.is_in_doubt(self.suspicion.lost_targets());
        let entry = self.suspicion.unconfirmed.swap_remove(index);
        if is_doubted && !self.reach.is_cut_off() {
            self.suspicion.doubted.push((target, entry.runs));
            self.check_doubtful_reach(now, actions);
        } else {
            let is_blamed = is_lost && !self.reach.is_cut_off();
            self.settle_loss(now, target, entry.runs, is_blamed, actions);
        }
        for (request, leg_index) in entry.legs {
            self.retry_leg(now, request, leg_index, actions);
        }
    }

    /// Ends the runs at a target that was lost, and blames them for that if they may be the cause.
    fn settle_loss(
        &mut self,
        now: Instant,
        target: TargetKey,
        runs: Vec<RunningRequest>,
        is_blamed: bool,
        actions: &mut Vec<RelayAction>,
    ) {
        if is_blamed {
            let notices = self.suspicion.table.target_lost(now, target, &runs);
            actions.extend(notices.into_iter().map(RelayAction::NotifyPeers));
        }
        for run in runs {
            self.record_run_ended(target, run);
        }
    }

    /// Blames the doubted losses on their requests, since a target is reached.
    pub(super) fn confirm_doubted_losses(&mut self, now: Instant, actions: &mut Vec<RelayAction>) {
        for (target, runs) in std::mem::take(&mut self.suspicion.doubted) {
            self.settle_loss(now, target, runs, true, actions);
        }
    }

    /// Ends the doubted losses without blame, since no target is reached.
    pub(super) fn drop_doubted_losses(&mut self) {
        for (target, runs) in std::mem::take(&mut self.suspicion.doubted) {
            for run in runs {
                self.record_run_ended(target, run);
            }
        }
    }

    /// Records the end of an attempt in the quarantine. Not called for a suspicious loss, whose
    /// trial continues until the target has been probed.
    pub(super) fn record_trial_ended(&mut self, attempt: &LiveAttempt, outcome: &TargetOutcome) {
        let run = attempt.run;
        match outcome {
            TargetOutcome::Replied(_) => {
                self.suspicion
                    .table
                    .attempt_succeeded(run.fingerprint, run.shard);
            }
            TargetOutcome::Lost
            | TargetOutcome::Rejected
            | TargetOutcome::Misdirected
            | TargetOutcome::NotSent
            | TargetOutcome::Garbled
            | TargetOutcome::Abandoned { .. } => {}
        }
        self.record_run_ended(attempt.target, run);
    }

    fn record_run_ended(&mut self, target: TargetKey, run: RunningRequest) {
        let RunningRequest { fingerprint, shard } = run;
        self.suspicion
            .table
            .attempt_ended(fingerprint, shard, target);
    }

    /// Applies a notice that a peer sent about a request.
    pub(super) fn handle_notice(&mut self, now: Instant, notice: &QuarantineNotice) {
        self.suspicion.table.apply_notice(now, notice);
    }

    /// Ends a hold that began with a peer's notice.
    pub(super) fn handle_notice_ended(&mut self, now: Instant, fingerprint: Fingerprint) {
        self.suspicion.table.lift(now, fingerprint);
    }

    /// Returns whether requests with the fingerprint are quarantined.
    pub(super) fn is_quarantined(&self, now: Instant, fingerprint: Fingerprint) -> bool {
        self.suspicion.table.is_held(now, fingerprint)
    }
}

/// Identifies a leg in the quarantine: by the request's fingerprint, with the leg's index as the
/// shard.
pub(super) fn running_request(state: &RequestState, leg_index: usize) -> RunningRequest {
    RunningRequest {
        fingerprint: state.fingerprint,
        shard: leg_index as ShardId,
    }
}
