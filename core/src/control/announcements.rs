//! News that spreads for a limited time: suspected and quarantined fingerprints, and draining
//! targets.
//!
//! An item's life is told as the time left, so that no clocks are compared. The first copy that a
//! daemon hears sets the item's end; later copies can only bring it nearer, so an item that is
//! passed to and fro does not live on by the delays on its way. See `docs/DESIGN.md`, "News".

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::ids::{Fingerprint, ShardId, TargetId};

/// How many items of each kind are held.
pub const MAX_ITEMS_PER_KIND: usize = 256;
/// How long an item lives at the most.
pub const MAX_LIFETIME: Duration = Duration::from_secs(600);
/// How long an ended item is remembered, so that a late copy does not revive it.
pub const ENDED_KEPT: Duration = Duration::from_secs(30);
/// How long an item is passed on after it was learned.
const RUMOR_PERIOD: Duration = Duration::from_secs(10);
/// With how little time left an item is no longer passed on.
const LEAST_SENT: Duration = Duration::from_millis(500);

/// What an item says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum AnnouncementKind {
    /// Requests of this fingerprint are held back.
    Quarantine(Fingerprint),
    /// A target was lost that ran requests of this fingerprint.
    Suspect {
        /// The fingerprint.
        #[serde(rename = "f")]
        fingerprint: Fingerprint,
        /// The shard at which the target was lost.
        #[serde(rename = "s")]
        shard: ShardId,
        /// Whether targets were lost at several shards.
        #[serde(rename = "w")]
        wide: bool,
        /// The blame, in thousandths of a target.
        #[serde(rename = "b")]
        blame: u32,
    },
    /// This target is leaving and gets no new work.
    Draining(TargetId),
}

/// An item as it is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncementRecord {
    /// What it says.
    #[serde(rename = "k")]
    pub kind: AnnouncementKind,
    /// A random number given at its origin; the same thing said anew has another.
    #[serde(rename = "n")]
    pub issue: u64,
    /// How long it is still true, in milliseconds.
    #[serde(rename = "l")]
    pub left_ms: u64,
}

#[derive(Clone, Debug)]
struct HeldItem {
    kind: AnnouncementKind,
    issue: u64,
    ends: Instant,
    learned: Instant,
    sends: u32,
}

/// The items that a daemon holds.
#[derive(Clone, Debug, Default)]
pub struct AnnouncementTable {
    items: Vec<HeldItem>,
}

impl AnnouncementTable {
    /// Takes an item; true if this begins its life here.
    pub fn merge(&mut self, now: Instant, item: &AnnouncementRecord) -> bool {
        let left = Duration::from_millis(item.left_ms).min(MAX_LIFETIME);
        let ends = now + left;
        let known = self
            .items
            .iter_mut()
            .find(|held| held.issue == item.issue && held.kind == item.kind);
        if let Some(held) = known {
            held.ends = held.ends.min(ends);
            return false;
        }
        if left.is_zero() || !self.make_room(item.kind, ends) {
            return false;
        }
        let was_active = self.is_active(now, item.kind);
        self.items.push(HeldItem {
            kind: item.kind,
            issue: item.issue,
            ends,
            learned: now,
            sends: 0,
        });
        !was_active
    }

    /// Whether something is said now.
    pub fn is_active(&self, now: Instant, kind: AnnouncementKind) -> bool {
        self.items
            .iter()
            .any(|held| held.kind == kind && held.ends > now)
    }

    /// Everything that is said now with the time left, sorted.
    pub fn active(&self, now: Instant) -> Vec<(AnnouncementKind, Duration)> {
        let mut active: Vec<(AnnouncementKind, Duration)> = self
            .items
            .iter()
            .filter(|held| held.ends > now)
            .map(|held| (held.kind, held.ends - now))
            .collect();
        active.sort_unstable();
        active.reverse();
        active.dedup_by_key(|entry| entry.0);
        active.reverse();
        active
    }

    /// Ends what has run out; returns the kinds that are no longer said.
    pub fn expire(&mut self, before: Instant, now: Instant) -> Vec<AnnouncementKind> {
        let mut ended: Vec<AnnouncementKind> = self
            .items
            .iter()
            .filter(|held| held.ends > before && held.ends <= now)
            .map(|held| held.kind)
            .collect();
        ended.retain(|&kind| !self.is_active(now, kind));
        ended.sort_unstable();
        ended.dedup();
        self.items.retain(|held| held.ends + ENDED_KEPT > now);
        ended
    }

    /// When the next item ends.
    pub fn next_end(&self, now: Instant) -> Option<Instant> {
        self.items
            .iter()
            .map(|held| held.ends)
            .filter(|&ends| ends > now)
            .min()
    }

    /// The recent items, at most `limit`, those that were sent least before others.
    pub fn rumors(&mut self, now: Instant, limit: usize) -> Vec<AnnouncementRecord> {
        let mut due: Vec<&mut HeldItem> = self
            .items
            .iter_mut()
            .filter(|held| now.saturating_duration_since(held.learned) < RUMOR_PERIOD)
            .filter(|held| held.ends > now + LEAST_SENT)
            .collect();
        due.sort_by_key(|held| held.sends);
        due.into_iter()
            .take(limit)
            .map(|held| {
                held.sends += 1;
                held.item(now)
            })
            .collect()
    }

    /// Every item that is said now, for a daemon that has just come.
    pub fn all(&self, now: Instant) -> Vec<AnnouncementRecord> {
        self.items
            .iter()
            .filter(|held| held.ends > now + LEAST_SENT)
            .map(|held| held.item(now))
            .collect()
    }

    /// Makes room for one item of a kind, giving up the one that ends first; false if the new one
    /// would end before all that are held.
    fn make_room(&mut self, kind: AnnouncementKind, ends: Instant) -> bool {
        let same =
            |held: &HeldItem| std::mem::discriminant(&held.kind) == std::mem::discriminant(&kind);
        if self.items.iter().filter(|held| same(held)).count() < MAX_ITEMS_PER_KIND {
            return true;
        }
        let first = self
            .items
            .iter()
            .enumerate()
            .filter(|(_, held)| same(held))
            .min_by_key(|(_, held)| held.ends);
        match first {
            Some((position, held)) if held.ends < ends => {
                self.items.swap_remove(position);
                true
            }
            _ => false,
        }
    }
}

impl HeldItem {
    fn item(&self, now: Instant) -> AnnouncementRecord {
        let left = self.ends.saturating_duration_since(now);
        AnnouncementRecord {
            kind: self.kind,
            issue: self.issue,
            left_ms: left.as_millis() as u64,
        }
    }
}
