//! Which attempts run where, and what the loss of a target says of them: [`QuarantineDesk`].
//!
//! The verdicts are [`QuarantineTable`]'s; this keeps what it must be told, and the attempts that
//! wait for the end of a trial. See `docs/DESIGN.md`, "Requests that crash targets".

use std::time::Instant;

use yuccalift_core::action::AttemptPlan;
use yuccalift_core::event::{AttemptFailure, EngineEvent};
use yuccalift_core::ids::{AttemptId, Fingerprint, TargetId};
use yuccalift_core::quarantine::{
    QuarantineEntry, QuarantineNotice, QuarantineTable, RunningRequest, TrialRequest, TrialVerdict,
};

/// One attempt that a target may be running.
#[derive(Clone, Copy, Debug)]
struct RunningAttempt {
    attempt: AttemptId,
    request: RunningRequest,
    /// Whether its target was lost under it, which is told once for all that ran there.
    lost: bool,
}

/// The attempts at one target.
#[derive(Debug)]
struct TargetRuns {
    target: TargetId,
    attempts: Vec<RunningAttempt>,
}

/// An attempt that waits for the end of a trial.
#[derive(Debug)]
struct WaitingAttempt {
    plan: AttemptPlan,
    asked: Instant,
}

/// What is to be done with an attempt.
#[derive(Debug)]
pub(crate) enum AttemptVerdict {
    /// Send it now.
    Send(AttemptPlan),
    /// It is kept until a trial has ended.
    Wait,
    /// It is not sent.
    Refuse(AttemptId),
}

/// The attempts of one lane, for the table of suspects.
#[derive(Debug, Default)]
pub(crate) struct QuarantineDesk {
    table: QuarantineTable,
    runs: Vec<TargetRuns>,
    waiting: Vec<WaitingAttempt>,
}

impl QuarantineDesk {
    /// Says what is to be done with a new attempt.
    pub(crate) fn admit(&mut self, now: Instant, plan: AttemptPlan) -> AttemptVerdict {
        self.admit_asked(now, plan, now)
    }

    /// The attempts that need not wait any longer, each with its target.
    pub(crate) fn admit_waiting(&mut self, now: Instant) -> Vec<(TargetId, AttemptVerdict)> {
        let waiting = std::mem::take(&mut self.waiting);
        let mut decided = Vec::new();
        for WaitingAttempt { plan, asked } in waiting {
            let target = plan.target;
            match self.admit_asked(now, plan, asked) {
                AttemptVerdict::Wait => {}
                verdict => decided.push((target, verdict)),
            }
        }
        decided
    }

    /// Takes a cancelled attempt from those that wait; whether it was among them.
    pub(crate) fn cancel(&mut self, attempt: AttemptId) -> bool {
        let count = self.waiting.len();
        self.waiting
            .retain(|waiting| waiting.plan.attempt != attempt);
        self.waiting.len() < count
    }

    /// Takes the end of an attempt, and gives what follows for the requests that ran beside it.
    pub(crate) fn ended(
        &mut self,
        now: Instant,
        target: TargetId,
        event: &EngineEvent,
    ) -> Vec<QuarantineNotice> {
        let Some(attempt) = ended_attempt(event) else {
            return Vec::new();
        };
        let mut notices = Vec::new();
        if let EngineEvent::Failed {
            failure: AttemptFailure::Lost,
            ..
        } = event
        {
            notices = self.target_lost(now, target, attempt);
        }
        let Some(run) = self.remove(target, attempt) else {
            return notices;
        };
        let RunningRequest { fingerprint, shard } = run.request;
        if matches!(event, EngineEvent::Reply(_)) {
            self.table.succeeded(fingerprint, shard);
        }
        self.table.ended(fingerprint, shard, target);
        notices
    }

    /// Ends what has run out; gives the fingerprints that are held back no longer.
    pub(crate) fn expire(&mut self, now: Instant) -> Vec<Fingerprint> {
        self.table.expire(now)
    }

    /// The requests that are held back.
    pub(crate) fn list(&self, now: Instant) -> Vec<QuarantineEntry> {
        self.table.list(now)
    }

    fn admit_asked(&mut self, now: Instant, plan: AttemptPlan, asked: Instant) -> AttemptVerdict {
        if now >= plan.deadline {
            return AttemptVerdict::Refuse(plan.attempt);
        }
        match self.verdict(now, &plan, asked) {
            TrialVerdict::Send => {
                self.add(&plan);
                AttemptVerdict::Send(plan)
            }
            TrialVerdict::Wait => {
                self.waiting.push(WaitingAttempt { plan, asked });
                AttemptVerdict::Wait
            }
            TrialVerdict::Refuse => AttemptVerdict::Refuse(plan.attempt),
        }
    }

    fn verdict(&mut self, now: Instant, plan: &AttemptPlan, asked: Instant) -> TrialVerdict {
        if self.table.is_empty() {
            return TrialVerdict::Send;
        }
        let beside: Vec<Fingerprint> = match self.position(plan.target) {
            Ok(position) => fingerprints(&self.runs[position].attempts),
            Err(_position) => Vec::new(),
        };
        self.table.admit(
            now,
            &TrialRequest {
                fingerprint: plan.fingerprint,
                shard: plan.shard,
                target: plan.target,
                asked,
                beside: &beside,
            },
        )
    }

    /// Tells the table of a lost target, once for all attempts that ran there.
    fn target_lost(
        &mut self,
        now: Instant,
        target: TargetId,
        attempt: AttemptId,
    ) -> Vec<QuarantineNotice> {
        let Ok(position) = self.position(target) else {
            return Vec::new();
        };
        let attempts = &mut self.runs[position].attempts;
        let told = attempts
            .iter()
            .any(|run| run.attempt == attempt && run.lost);
        if told {
            return Vec::new();
        }
        let mut in_flight = Vec::with_capacity(attempts.len());
        for run in attempts.iter_mut().filter(|run| !run.lost) {
            run.lost = true;
            in_flight.push(run.request);
        }
        self.table.target_lost(now, target, &in_flight)
    }

    fn add(&mut self, plan: &AttemptPlan) {
        let position = self.position(plan.target).unwrap_or_else(|position| {
            let runs = TargetRuns {
                target: plan.target,
                attempts: Vec::new(),
            };
            self.runs.insert(position, runs);
            position
        });
        self.runs[position].attempts.push(RunningAttempt {
            attempt: plan.attempt,
            request: RunningRequest {
                fingerprint: plan.fingerprint,
                shard: plan.shard,
            },
            lost: false,
        });
    }

    fn remove(&mut self, target: TargetId, attempt: AttemptId) -> Option<RunningAttempt> {
        let position = self.position(target).ok()?;
        let attempts = &mut self.runs[position].attempts;
        let found = attempts.iter().position(|run| run.attempt == attempt)?;
        Some(attempts.swap_remove(found))
    }

    fn position(&self, target: TargetId) -> Result<usize, usize> {
        self.runs.binary_search_by_key(&target, |runs| runs.target)
    }
}

fn fingerprints(attempts: &[RunningAttempt]) -> Vec<Fingerprint> {
    attempts.iter().map(|run| run.request.fingerprint).collect()
}

fn ended_attempt(event: &EngineEvent) -> Option<AttemptId> {
    match event {
        EngineEvent::Reply(reply) => Some(reply.attempt),
        EngineEvent::Failed { attempt, .. } => Some(*attempt),
        _ => None,
    }
}
