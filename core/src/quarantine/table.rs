//! All suspects of a daemon, and the verdicts on requests.

use std::time::{Duration, Instant};

use super::suspect::{FULL_BLAME, HOLD_BLAME, LossShare, MAX_HOLD, RunningTrial, SuspectRecord};
use crate::ids::{Fingerprint, ShardId, TargetId};

/// How many suspects a daemon keeps; the one whose suspicion ends first makes room.
pub const MAX_SUSPECTS: usize = 1024;
/// How long an attempt at a shard without losses waits for a trial's end at the most.
pub const MAX_TRIAL_WAIT: Duration = Duration::from_millis(20);

/// A request that a target was running when it was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunningRequest {
    /// What the request asks.
    pub fingerprint: Fingerprint,
    /// The shard that it asked of the target.
    pub shard: ShardId,
}

/// An attempt that is to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrialRequest<'a> {
    /// What its request asks.
    pub fingerprint: Fingerprint,
    /// The shard that it asks.
    pub shard: ShardId,
    /// The target that it is for.
    pub target: TargetId,
    /// When it was to be sent first; it may have waited since.
    pub offered_at: Instant,
    /// The requests that the target runs for this daemon now.
    pub concurrent: &'a [Fingerprint],
}

/// What peers are told of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineNotice {
    /// The request.
    pub fingerprint: Fingerprint,
    /// What is told of it.
    pub kind: NoticeKind,
}

/// The kinds of a [`QuarantineNotice`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoticeKind {
    /// It is suspected.
    Suspected {
        /// The shard at which a target was lost last.
        shard: ShardId,
        /// Whether targets were lost at several shards.
        wide: bool,
        /// The blame, in thousandths of a target.
        blame: u32,
    },
    /// It is held back.
    Held {
        /// For how long from now.
        left: Duration,
    },
}

/// Whether an attempt may be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrialVerdict {
    /// It may be sent.
    Send,
    /// It waits for the end of a trial, and is asked for again then.
    Wait,
    /// Its request is held back; it is not sent.
    Refuse,
}

/// A request that is held back, for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineEntry {
    /// The request.
    pub fingerprint: Fingerprint,
    /// For how long from now.
    pub left: Duration,
}

/// All suspects of a daemon, sorted by fingerprint.
#[derive(Clone, Debug, Default)]
pub struct QuarantineTable {
    suspects: Vec<SuspectRecord>,
}

impl QuarantineTable {
    /// A table without suspects.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that a target was lost while it ran these requests of this daemon; the notices are for
    /// the peers. A notice [`NoticeKind::Held`] is for this daemon's engine, too.
    ///
    /// A target is lost when its connections break or fall silent together. One that refuses,
    /// drains or closes an idle connection is not.
    pub fn target_lost(
        &mut self,
        now: Instant,
        target: TargetId,
        in_flight: &[RunningRequest],
    ) -> Vec<QuarantineNotice> {
        let runs = self.one_run_per_request(target, in_flight);
        let trials = runs.iter().filter(|run| self.is_trial(target, run)).count();
        let trial_share = LossShare::Trial(FULL_BLAME / trials.max(1) as u32);
        let outside_share = LossShare::OutsideTrial(FULL_BLAME / runs.len().max(1) as u32);
        let mut notices = Vec::with_capacity(runs.len());
        for run in &runs {
            let share = if self.is_trial(target, run) {
                trial_share
            } else {
                outside_share
            };
            notices.extend(self.add_loss(now, run, share));
        }
        notices
    }

    /// Notes that a target answered a request for a shard; this clears the request if a target of
    /// that shard had been lost to it.
    pub fn attempt_succeeded(&mut self, fingerprint: Fingerprint, shard: ShardId) {
        if let Ok(position) = self.position(fingerprint)
            && self.suspects[position].has_loss_at(shard)
            && self.suspects[position].held_until.is_none()
        {
            self.suspects.remove(position);
        }
    }

    /// Whether an attempt may be sent now.
    ///
    /// After [`TrialVerdict::Send`], [`Self::attempt_ended`] must follow when the attempt has ended.
    pub fn admit(&mut self, now: Instant, attempt: &TrialRequest<'_>) -> TrialVerdict {
        let TrialRequest { shard, target, .. } = *attempt;
        let Ok(position) = self.position(attempt.fingerprint) else {
            return TrialVerdict::Send;
        };
        let suspect = &self.suspects[position];
        if suspect.is_held(now) {
            return TrialVerdict::Refuse;
        }
        if !suspect.is_restricted(shard) {
            return TrialVerdict::Send;
        }
        if !suspect.has_loss_at(shard) {
            return trial_wait_verdict(now, attempt.offered_at);
        }
        if suspect.trial.is_some() || self.any_suspected(attempt.concurrent) {
            return TrialVerdict::Wait;
        }
        self.suspects[position].trial = Some(RunningTrial { shard, target });
        TrialVerdict::Send
    }

    /// Notes that an attempt ended, in whatever way, after [`Self::attempt_succeeded`] or
    /// [`Self::target_lost`] where one of them applies.
    pub fn attempt_ended(&mut self, fingerprint: Fingerprint, shard: ShardId, target: TargetId) {
        if let Ok(position) = self.position(fingerprint) {
            let suspect = &mut self.suspects[position];
            if suspect.trial == Some(RunningTrial { shard, target }) {
                suspect.trial = None;
            }
        }
    }

    /// Takes a peer's notice; true if the request is held back from now on and was not before.
    pub fn apply_notice(&mut self, now: Instant, notice: &QuarantineNotice) -> bool {
        let suspect = self.get_or_insert(now, notice.fingerprint);
        match notice.kind {
            NoticeKind::Suspected { shard, wide, blame } => {
                suspect.merge_notice(now, shard, wide, blame.min(HOLD_BLAME - 1));
                false
            }
            NoticeKind::Held { left } => {
                let was_held = suspect.is_held(now);
                suspect.hold_until(now + left.min(MAX_HOLD));
                !was_held && suspect.is_held(now)
            }
        }
    }

    /// Whether requests of the fingerprint are held back.
    pub fn held(&self, now: Instant, fingerprint: Fingerprint) -> bool {
        self.position(fingerprint)
            .is_ok_and(|position| self.suspects[position].is_held(now))
    }

    /// Whether requests of the fingerprint are suspected or held back.
    pub fn is_suspected(&self, fingerprint: Fingerprint) -> bool {
        self.position(fingerprint).is_ok()
    }

    /// Ends a hold before its time; true if there was one.
    pub fn lift(&mut self, now: Instant, fingerprint: Fingerprint) -> bool {
        let Ok(position) = self.position(fingerprint) else {
            return false;
        };
        let suspect = &mut self.suspects[position];
        let was_held = suspect.held_until.is_some();
        if was_held {
            suspect.release(now);
        }
        was_held
    }

    /// When [`Self::expire`] is due next, if at all.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.suspects
            .iter()
            .map(|suspect| suspect.held_until.unwrap_or(suspect.expires_at))
            .min()
    }

    /// Ends what has run out; returns the fingerprints that are held back no longer.
    pub fn expire(&mut self, now: Instant) -> Vec<Fingerprint> {
        let mut released = Vec::new();
        for suspect in &mut self.suspects {
            if suspect.held_until.is_some_and(|until| until <= now) {
                suspect.release(now);
                released.push(suspect.fingerprint);
            }
        }
        self.suspects
            .retain(|suspect| suspect.held_until.is_some() || suspect.expires_at > now);
        released
    }

    /// The requests that are held back, sorted by fingerprint.
    pub fn list(&self, now: Instant) -> Vec<QuarantineEntry> {
        self.suspects
            .iter()
            .filter(|suspect| suspect.is_held(now))
            .map(|suspect| QuarantineEntry {
                fingerprint: suspect.fingerprint,
                left: suspect
                    .held_until
                    .map_or(Duration::ZERO, |until| until.saturating_duration_since(now)),
            })
            .collect()
    }

    /// How many requests are suspected or held back.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether no request is suspected or held back.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    fn position(&self, fingerprint: Fingerprint) -> Result<usize, usize> {
        self.suspects
            .binary_search_by_key(&fingerprint, |suspect| suspect.fingerprint)
    }

    fn is_trial(&self, target: TargetId, run: &RunningRequest) -> bool {
        let trial = RunningTrial {
            shard: run.shard,
            target,
        };
        self.position(run.fingerprint)
            .is_ok_and(|position| self.suspects[position].trial == Some(trial))
    }

    /// One run for each request; its trial where it has one at the target.
    fn one_run_per_request(
        &self,
        target: TargetId,
        in_flight: &[RunningRequest],
    ) -> Vec<RunningRequest> {
        let mut runs = in_flight.to_vec();
        runs.sort_by_key(|run| (run.fingerprint, !self.is_trial(target, run), run.shard));
        runs.dedup_by_key(|run| run.fingerprint);
        runs
    }

    fn any_suspected(&self, requests: &[Fingerprint]) -> bool {
        requests
            .iter()
            .any(|&fingerprint| self.position(fingerprint).is_ok())
    }

    /// Adds a share to a request; the notice is none where it would tell nothing new.
    fn add_loss(
        &mut self,
        now: Instant,
        run: &RunningRequest,
        share: LossShare,
    ) -> Option<QuarantineNotice> {
        let suspect = self.get_or_insert(now, run.fingerprint);
        let was_held = suspect.is_held(now);
        let before = (suspect.blame, suspect.wide);
        suspect.add_loss(now, run.shard, share);
        if was_held || before == (suspect.blame, suspect.wide) {
            return None;
        }
        let kind = if suspect.blame >= HOLD_BLAME {
            let left = suspect.hold(now);
            NoticeKind::Held { left }
        } else {
            NoticeKind::Suspected {
                shard: run.shard,
                wide: suspect.wide,
                blame: suspect.blame,
            }
        };
        Some(QuarantineNotice {
            fingerprint: run.fingerprint,
            kind,
        })
    }

    /// The record of a request, made if there is none; a full table forgets another one first.
    fn get_or_insert(&mut self, now: Instant, fingerprint: Fingerprint) -> &mut SuspectRecord {
        if self.position(fingerprint).is_err() && self.suspects.len() >= MAX_SUSPECTS {
            self.evict_one();
        }
        let position = self.position(fingerprint).unwrap_or_else(|position| {
            self.suspects
                .insert(position, SuspectRecord::new(now, fingerprint));
            position
        });
        &mut self.suspects[position]
    }

    /// Forgets the request that is not held back and whose suspicion ends first; where all are held
    /// back, the one that is released first.
    fn evict_one(&mut self) {
        let oldest = self
            .suspects
            .iter()
            .enumerate()
            .min_by_key(|(_, suspect)| (suspect.held_until, suspect.expires_at))
            .map(|(position, _)| position);
        if let Some(position) = oldest {
            self.suspects.remove(position);
        }
    }
}

/// The verdict on an attempt at a shard without losses, of a request that lost targets at others.
fn trial_wait_verdict(now: Instant, offered_at: Instant) -> TrialVerdict {
    if now.saturating_duration_since(offered_at) >= MAX_TRIAL_WAIT {
        TrialVerdict::Send
    } else {
        TrialVerdict::Wait
    }
}
