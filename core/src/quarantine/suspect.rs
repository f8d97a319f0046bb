//! What is held against one request.

use std::time::{Duration, Instant};

use crate::ids::{Fingerprint, ShardId, TargetId};

/// The blame for one target, in thousandths.
pub(super) const FULL_BLAME: u32 = 1_000;
/// The blame at which a request is held back, in thousandths.
pub(super) const HOLD_BLAME: u32 = 2 * FULL_BLAME;
/// How long suspicion lasts after the last loss.
pub const SUSPICION_TTL: Duration = Duration::from_secs(60);
/// How long a request is held back for the first time; each further time is twice as long.
const INITIAL_HOLD: Duration = Duration::from_secs(60);
/// The longest that a request is held back at once.
pub(super) const MAX_HOLD: Duration = Duration::from_secs(600);
/// How many shards at which targets were lost are kept for one request; the widest searches ask a
/// few hundred.
const MAX_LOST_SHARDS: usize = 512;

/// The one attempt by which a suspected request is tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RunningTrial {
    pub(super) shard: ShardId,
    pub(super) target: TargetId,
}

/// The share of the blame for one target, in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LossShare {
    /// The request was tried on the target.
    Trial(u32),
    /// The request ran on it before it was suspected, or beside a trial.
    OutsideTrial(u32),
}

/// What is held against one request.
#[derive(Clone, Debug)]
pub(super) struct SuspectRecord {
    pub(super) fingerprint: Fingerprint,
    /// The blame so far, in thousandths.
    pub(super) blame: u32,
    /// Shards at which targets were lost, sorted.
    lost_shards: Vec<ShardId>,
    /// Whether targets were lost at several shards, so that no shard is safe.
    pub(super) wide: bool,
    pub(super) trial: Option<RunningTrial>,
    /// When the suspicion ends, unless the request is held back then.
    pub(super) expires_at: Instant,
    pub(super) held_until: Option<Instant>,
    hold_count: u32,
}

impl SuspectRecord {
    /// A record without blame.
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

    /// Whether attempts at a shard go one at a time.
    pub(super) fn is_restricted(&self, shard: ShardId) -> bool {
        self.wide || self.has_loss_at(shard)
    }

    /// Adds the share of a target that was lost in a trial; other losses count together, as the
    /// greatest share among them.
    pub(super) fn add_loss(&mut self, now: Instant, shard: ShardId, part: LossShare) {
        match part {
            LossShare::Trial(blame) => self.blame += blame,
            LossShare::OutsideTrial(blame) => self.blame = self.blame.max(blame),
        }
        self.add_shard(shard);
        self.expires_at = now + SUSPICION_TTL;
    }

    /// Takes over the blame that a peer found; the greater one stands, so that hearing it twice
    /// changes nothing.
    pub(super) fn merge_notice(&mut self, now: Instant, shard: ShardId, wide: bool, blame: u32) {
        self.blame = self.blame.max(blame);
        self.add_shard(shard);
        self.wide |= wide;
        self.expires_at = self.expires_at.max(now + SUSPICION_TTL);
    }

    /// Whether a target of that shard was lost.
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

    /// Whether the request is held back.
    pub(super) fn is_held(&self, now: Instant) -> bool {
        self.held_until.is_some_and(|until| until > now)
    }

    /// Holds the request back, for longer each time.
    pub(super) fn hold(&mut self, now: Instant) -> Duration {
        let period = INITIAL_HOLD * 2_u32.saturating_pow(self.hold_count.min(8));
        let period = period.min(MAX_HOLD);
        self.hold_count += 1;
        self.hold_until(now + period);
        period
    }

    /// Holds the request back until then at the least.
    pub(super) fn hold_until(&mut self, until: Instant) {
        self.held_until = self.held_until.max(Some(until));
    }

    /// Ends the holding back; the next loss alone brings it back.
    pub(super) fn release(&mut self, now: Instant) {
        self.held_until = None;
        self.blame = HOLD_BLAME - FULL_BLAME;
        self.expires_at = now + SUSPICION_TTL;
    }
}
