//! All suspects of a daemon, and the decisions about their attempts.

use std::time::{Duration, Instant};

use super::suspect::{FULL_BLAME, HOLD_BLAME, LossShare, MAX_HOLD, RunningTrial, SuspectRecord};
use crate::ids::{Fingerprint, ShardId, TargetId};

/// Maximum number of suspects of a daemon; the one whose suspicion ends first is evicted.
pub const MAX_SUSPECTS: usize = 1024;
/// Maximum time that an attempt at a shard without losses waits for the end of a trial.
pub const MAX_TRIAL_WAIT: Duration = Duration::from_millis(20);

/// A request that a target was running when it was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunningRequest {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Shard that the target was asked for.
    pub shard: ShardId,
}

/// An attempt that is to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrialRequest<'a> {
    /// Fingerprint of the attempt's request.
    pub fingerprint: Fingerprint,
    /// Shard that the target is asked for.
    pub shard: ShardId,
    /// Target that the attempt is sent to.
    pub target: TargetId,
    /// Time at which the attempt was first offered; it may have waited since.
    pub offered_at: Instant,
    /// Fingerprints of the requests that the target is running for this daemon.
    pub concurrent: &'a [Fingerprint],
}

/// A notice to peers about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineNotice {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Whether the request is suspected or quarantined.
    pub kind: NoticeKind,
}

/// The kinds of a [`QuarantineNotice`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoticeKind {
    /// The request is suspected.
    Suspected {
        /// Shard at which the last target was lost.
        shard: ShardId,
        /// Whether targets were lost at several shards.
        wide: bool,
        /// Accumulated blame, in thousandths of a target.
        blame: u32,
    },
    /// The request is quarantined.
    Held {
        /// Remaining length of the hold.
        left: Duration,
    },
}

/// The decision on whether an attempt may be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrialVerdict {
    /// The attempt may be sent.
    Send,
    /// The attempt waits for the end of a trial and is offered again then.
    Wait,
    /// The request is quarantined, and the attempt must not be sent.
    Refuse,
}

/// A quarantined request, as shown to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineEntry {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Remaining length of the hold.
    pub left: Duration,
}

/// All suspects of a daemon, sorted by fingerprint.
#[derive(Clone, Debug, Default)]
pub struct QuarantineTable {
    suspects: Vec<SuspectRecord>,
}

impl QuarantineTable {
    /// Creates a table without suspects.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a target was lost while it ran these requests of this daemon, and returns the
    /// notices for the peers. A notice of kind [`NoticeKind::Held`] also concerns the engine of
    /// this daemon.
    ///
    /// A target is lost if its connections break or become silent together. A target that refuses
    /// requests, drains or closes an idle connection is not lost.
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

    /// Records that a target answered a request for a shard, which clears the request if it had
    /// lost a target of that shard.
    pub fn attempt_succeeded(&mut self, fingerprint: Fingerprint, shard: ShardId) {
        if let Ok(position) = self.position(fingerprint)
            && self.suspects[position].has_loss_at(shard)
            && self.suspects[position].held_until.is_none()
        {
            self.suspects.remove(position);
        }
    }

    /// Decides whether an attempt may be sent now.
    ///
    /// After [`TrialVerdict::Send`], [`Self::attempt_ended`] must be called when the attempt ends.
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

    /// Records that an attempt ended, with any outcome. Must be called after
    /// [`Self::attempt_succeeded`] or [`Self::target_lost`] if one of them applies.
    pub fn attempt_ended(&mut self, fingerprint: Fingerprint, shard: ShardId, target: TargetId) {
        if let Ok(position) = self.position(fingerprint) {
            let suspect = &mut self.suspects[position];
            if suspect.trial == Some(RunningTrial { shard, target }) {
                suspect.trial = None;
            }
        }
    }

    /// Applies a notice of a peer; returns true if the request is quarantined now and was not
    /// before.
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

    /// Returns whether requests with the fingerprint are quarantined.
    pub fn is_held(&self, now: Instant, fingerprint: Fingerprint) -> bool {
        self.position(fingerprint)
            .is_ok_and(|position| self.suspects[position].is_held(now))
    }

    /// Returns whether requests with the fingerprint are suspected or quarantined.
    pub fn is_suspected(&self, fingerprint: Fingerprint) -> bool {
        self.position(fingerprint).is_ok()
    }

    /// Ends a hold early; returns true if the request was held.
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

    /// Returns the time at which [`Self::expire`] is due next; `None` if the table is empty.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.suspects
            .iter()
            .map(|suspect| suspect.held_until.unwrap_or(suspect.expires_at))
            .min()
    }

    /// Ends holds and suspicions that have expired; returns the fingerprints of the released
    /// requests.
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

    /// Returns the quarantined requests, sorted by fingerprint.
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

    /// Returns the number of suspected or quarantined requests.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether no request is suspected or quarantined.
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

    /// Returns one run of each request: its trial at the target, if there is one.
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

    /// Adds a share of blame to a request; returns a notice if that changes what is known of it.
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

    /// Returns the record of a request, adding it if there is none; evicts another record if the
    /// table is full.
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

    /// Evicts the request whose suspicion ends first among those that are not held; if all are
    /// held, the one that is released first.
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

/// Returns the verdict on an attempt at a shard without losses, for a request that lost targets at
/// other shards.
fn trial_wait_verdict(now: Instant, offered_at: Instant) -> TrialVerdict {
    if now.saturating_duration_since(offered_at) >= MAX_TRIAL_WAIT {
        TrialVerdict::Send
    } else {
        TrialVerdict::Wait
    }
}
