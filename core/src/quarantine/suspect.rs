//! The record of one suspected request.

use std::time::{Duration, Instant};

use crate::ids::{Fingerprint, ShardId, TargetId};

/// Total blame for the loss of one target, in thousandths of a target.
pub(super) const FULL_BLAME: u32 = 1_000;
/// Blame at which a request is quarantined, in thousandths of a target.
pub(super) const HOLD_BLAME: u32 = 2 * FULL_BLAME;
/// How long a request stays suspected after its last loss.
pub const SUSPICION_TTL: Duration = Duration::from_secs(60);
/// Length of the first hold of a request; each further hold is twice as long.
const INITIAL_HOLD: Duration = Duration::from_secs(60);
/// Maximum length of a hold.
pub(super) const MAX_HOLD: Duration = Duration::from_secs(600);
/// Maximum number of shards with losses that are recorded for one request; the widest searches ask
/// a few hundred shards.
const MAX_LOST_SHARDS: usize = 512;

/// The single attempt that tries a suspected request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RunningTrial {
    pub(super) shard: ShardId,
    pub(super) target: TargetId,
}

/// The part of the blame for a lost target that falls on one request, in thousandths of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LossShare {
    /// The request was on trial at the target.
    Trial(u32),
    /// The request was not on trial: it was sent before it was suspected, or besides a trial.
    OutsideTrial(u32),
}

/// The record of one suspected request.
#[derive(Clone, Debug)]
pub(super) struct SuspectRecord {
    pub(super) fingerprint: Fingerprint,
    /// Accumulated blame, in thousandths of a target.
    pub(super) blame: u32,
    /// Shards at which targets were lost, sorted.
    lost_shards: Vec<ShardId>,
    /// Whether targets were lost at several shards, in which case all shards are restricted.
    pub(super) wide: bool,
    pub(super) trial: Option<RunningTrial>,
    /// End of the suspicion, unless the request is held at that time.
    pub(super) expires_at: Instant,
    pub(super) held_until: Option<Instant>,
    hold_count: u32,
}

impl SuspectRecord {
    /// Creates a record without blame.
    pub(super) fn new(now: Instant, fingerprint: Fingerprint) -> Self {
        Self {
            fingerprint,
            blame: 0,
            lost_shards: Vec::new(),
            wide: false,
            trial: None,
            expires_at: now + SUSPICION_TTL,
            held_until: None,
            hold_count: 0,
        }
    }

    /// Returns whether attempts at the shard are restricted to one at a time.
    pub(super) fn is_restricted(&self, shard: ShardId) -> bool {
        self.wide || self.has_loss_at(shard)
    }

    /// Adds the blame for a lost target. Losses outside of trials count together, as the greatest
    /// share among them.
    pub(super) fn add_loss(&mut self, now: Instant, shard: ShardId, loss_share: LossShare) {
        match loss_share {
            LossShare::Trial(blame) => self.blame = self.blame.saturating_add(blame),
            LossShare::OutsideTrial(blame) => self.blame = self.blame.max(blame),
        }
        self.add_shard(shard);
        self.expires_at = now + SUSPICION_TTL;
    }

    /// Merges the blame that a peer reported; the greater value is kept, so that a notice received
    /// twice has no further effect.
    pub(super) fn merge_notice(&mut self, now: Instant, shard: ShardId, wide: bool, blame: u32) {
        self.blame = self.blame.max(blame);
        self.add_shard(shard);
        self.wide |= wide;
        self.expires_at = self.expires_at.max(now + SUSPICION_TTL);
    }

    /// Returns whether a target of the shard was lost.
    pub(super) fn has_loss_at(&self, shard: ShardId) -> bool {
        self.lost_shards.binary_search(&shard).is_ok()
    }

    fn add_shard(&mut self, shard: ShardId) {
        let Err(position) = self.lost_shards.binary_search(&shard) else {
            return;
        };
        if self.lost_shards.len() < MAX_LOST_SHARDS {
            self.lost_shards.insert(position, shard);
        }
        self.wide |= self.lost_shards.len() > 1;
    }

    /// Returns whether the request is quarantined at `now`.
    pub(super) fn is_held(&self, now: Instant) -> bool {
        self.held_until.is_some_and(|until| until > now)
    }

    /// Quarantines the request, for longer each time, and returns the length of the hold.
    pub(super) fn hold(&mut self, now: Instant) -> Duration {
        let period = INITIAL_HOLD * 2_u32.saturating_pow(self.hold_count.min(8));
        let period = period.min(MAX_HOLD);
        self.hold_count += 1;
        self.hold_until(now + period);
        period
    }

    /// Quarantines the request at least until the given time.
    pub(super) fn hold_until(&mut self, until: Instant) {
        self.held_until = self.held_until.max(Some(until));
    }

    /// Ends the hold; a single further loss starts a new one.
    pub(super) fn release(&mut self, now: Instant) {
        self.held_until = None;
        self.blame = HOLD_BLAME - FULL_BLAME;
        self.expires_at = now + SUSPICION_TTL;
    }
}
