//! Requests that crash the targets that run them.
//!
//! A connection that breaks while a request is in flight says little: answers are lost on the way
//! as well. So the target is asked for another connection first; one that refuses it has crashed,
//! and the requests that it ran are suspected. See [`crate::quarantine`] for what follows, and
//! `docs/PLATFORM.md`, "Crashing requests".

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

/// A target that broke attempts and is being asked for a connection.
#[derive(Debug)]
struct UnconfirmedLoss {
    target: TargetKey,
    /// What it ran when it broke them.
    runs: Vec<RunningRequest>,
    /// The legs that wait for what it says before they are sent elsewhere.
    legs: Vec<(RequestKey, usize)>,
}

/// What is held against requests, and the targets that are being asked.
#[derive(Debug, Default)]
pub(super) struct SuspicionState {
    pub(super) table: QuarantineTable,
    unconfirmed: Vec<UnconfirmedLoss>,
}

impl RelayEngine {
    /// Whether a request may be sent to a target now.
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

    /// The requests that a target runs for this daemon now.
    fn fingerprints_at(&self, target: TargetKey) -> Vec<Fingerprint> {
        self.requests
            .attempts()
            .filter(|attempt| attempt.target == target)
            .map(|attempt| attempt.run.fingerprint)
            .collect()
    }

    /// Arranges that a leg which waits for the end of a trial or a doubt is looked at again.
    pub(super) fn schedule_retry(&mut self, now: Instant, request: RequestKey, leg_index: usize) {
        let due = now + MAX_TRIAL_WAIT;
        self.timers
            .add(due, TimerKind::Retry { request, leg_index });
    }

    /// Whether the loss of an attempt throws suspicion on its request. A merged request that crashes
    /// its targets does so on most of its legs; one of whose targets only some are lost happened to
    /// run there.
    pub(super) fn is_suspicious(&mut self, attempt: &LiveAttempt) -> bool {
        let Some(state) = self.requests.get_mut(attempt.request) else {
            return false;
        };
        state.legs[attempt.leg_index].has_loss = true;
        let suspected = self.suspicion.table.is_suspected(state.fingerprint);
        suspected || state.is_mostly_lost()
    }

    /// Notes that a target broke an attempt, and asks it for a connection.
    pub(super) fn verify_loss(&mut self, attempt: &LiveAttempt, actions: &mut Vec<RelayAction>) {
        let (target, run) = (attempt.target, attempt.run);
        let leg = (attempt.request, attempt.leg_index);
        let unconfirmed = &mut self.suspicion.unconfirmed;
        if let Some(entry) = unconfirmed.iter_mut().find(|entry| entry.target == target) {
            entry.runs.push(run);
            entry.legs.push(leg);
            return;
        }
        if self.targets.get(target).is_none() {
            self.record_run_ended(target, run);
            return;
        }
        unconfirmed.push(UnconfirmedLoss {
            target,
            runs: vec![run],
            legs: vec![leg],
        });
        self.probe(target, actions);
    }

    /// Takes the answer of a doubted target: one that can't be connected to has crashed.
    pub(super) fn resolve_loss(
        &mut self,
        now: Instant,
        target: TargetKey,
        outcome: ProbeOutcome,
        actions: &mut Vec<RelayAction>,
    ) {
        let unconfirmed = &mut self.suspicion.unconfirmed;
        let Some(leg_index) = unconfirmed.iter().position(|entry| entry.target == target) else {
            return;
        };
        let entry = unconfirmed.swap_remove(leg_index);
        if outcome != ProbeOutcome::Reached {
            let notices = self.suspicion.table.target_lost(now, target, &entry.runs);
            actions.extend(notices.into_iter().map(RelayAction::NotifyPeers));
        }
        for run in entry.runs {
            self.record_run_ended(target, run);
        }
        for (request, leg_index) in entry.legs {
            self.retry_leg(now, request, leg_index, actions);
        }
    }

    /// Notes that an attempt ended, and whether the target answered it. It is not told of one whose
    /// target is doubted: that trial goes on until the target has been asked.
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

    /// Takes what a peer says of a request.
    pub(super) fn handle_notice(&mut self, now: Instant, notice: &QuarantineNotice) {
        self.suspicion.table.apply_notice(now, notice);
    }

    /// Takes the end of what a peer said.
    pub(super) fn handle_notice_ended(&mut self, now: Instant, fingerprint: Fingerprint) {
        self.suspicion.table.lift(now, fingerprint);
    }

    /// Whether requests of a fingerprint are held back.
    pub(super) fn is_held(&self, now: Instant, fingerprint: Fingerprint) -> bool {
        self.suspicion.table.held(now, fingerprint)
    }
}

/// What an attempt runs: the request, and the service by its place among the request's.
pub(super) fn running_request(state: &RequestState, leg_index: usize) -> RunningRequest {
    RunningRequest {
        fingerprint: state.fingerprint,
        shard: leg_index as ShardId,
    }
}
