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
pub const EXPIRED_RETENTION: Duration = Duration::from_secs(30);
/// How long an item is passed on after it was learned.
const RUMOR_PERIOD: Duration = Duration::from_secs(10);
/// With how little time left an item is no longer passed on.
const MIN_SEND_REMAINING: Duration = Duration::from_millis(500);

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
    pub id: u64,
    /// How long it is still true, in milliseconds.
    #[serde(rename = "l")]
    pub remaining_ms: u64,
}

#[derive(Clone, Debug)]
struct AnnouncementEntry {
    kind: AnnouncementKind,
    id: u64,
    expires_at: Instant,
    learned_at: Instant,
    send_count: u32,
}

/// The items that a daemon holds.
#[derive(Clone, Debug, Default)]
pub struct AnnouncementTable {
    items: Vec<AnnouncementEntry>,
}

impl AnnouncementTable {
    /// Takes an item; true if this begins its life here.
    pub fn merge(&mut self, now: Instant, item: &AnnouncementRecord) -> bool {
        let left = Duration::from_millis(item.remaining_ms).min(MAX_LIFETIME);
        let expires_at = now + left;
        let known = self
            .items
            .iter_mut()
            .find(|entry| entry.id == item.id && entry.kind == item.kind);
        if let Some(entry) = known {
            entry.expires_at = entry.expires_at.min(expires_at);
            return false;
        }
        if left.is_zero() || !self.make_room(item.kind, expires_at) {
            return false;
        }
        let was_active = self.is_active(now, item.kind);
        self.items.push(AnnouncementEntry {
            kind: item.kind,
            id: item.id,
            expires_at,
            learned_at: now,
            send_count: 0,
        });
        !was_active
    }

    /// Whether something is said now.
    pub fn is_active(&self, now: Instant, kind: AnnouncementKind) -> bool {
        self.items
            .iter()
            .any(|entry| entry.kind == kind && entry.expires_at > now)
    }

    /// Everything that is said now with the time left, sorted.
    pub fn active(&self, now: Instant) -> Vec<(AnnouncementKind, Duration)> {
        let mut active: Vec<(AnnouncementKind, Duration)> = self
            .items
            .iter()
            .filter(|entry| entry.expires_at > now)
            .map(|entry| (entry.kind, entry.expires_at - now))
            .collect();
        active.sort_unstable();
        active.reverse();
        active.dedup_by_key(|entry| entry.0);
        active.reverse();
        active
    }

    /// Ends what has run out; returns the kinds that are no longer said.
    pub fn expire(&mut self, before: Instant, now: Instant) -> Vec<AnnouncementKind> {
        let mut expired: Vec<AnnouncementKind> = self
            .items
            .iter()
            .filter(|entry| entry.expires_at > before && entry.expires_at <= now)
            .map(|entry| entry.kind)
            .collect();
        expired.retain(|&kind| !self.is_active(now, kind));
        expired.sort_unstable();
        expired.dedup();
        self.items
            .retain(|entry| entry.expires_at + EXPIRED_RETENTION > now);
        expired
    }

    /// When the next item ends.
    pub fn next_expiry(&self, now: Instant) -> Option<Instant> {
        self.items
            .iter()
            .map(|entry| entry.expires_at)
            .filter(|&expires_at| expires_at > now)
            .min()
    }

    /// The recent items, at most `limit`, those that were sent least before others.
    pub fn rumors(&mut self, now: Instant, limit: usize) -> Vec<AnnouncementRecord> {
        let mut due: Vec<&mut AnnouncementEntry> = self
            .items
            .iter_mut()
            .filter(|entry| now.saturating_duration_since(entry.learned_at) < RUMOR_PERIOD)
            .filter(|entry| entry.expires_at > now + MIN_SEND_REMAINING)
            .collect();
        due.sort_by_key(|entry| entry.send_count);
        due.into_iter()
            .take(limit)
            .map(|entry| {
                entry.send_count += 1;
                entry.item(now)
            })
            .collect()
    }

    /// Every item that is said now, for a daemon that has just come.
    pub fn all(&self, now: Instant) -> Vec<AnnouncementRecord> {
        self.items
            .iter()
            .filter(|entry| entry.expires_at > now + MIN_SEND_REMAINING)
            .map(|entry| entry.item(now))
            .collect()
    }

    /// Makes room for one item of a kind, giving up the one that ends first; false if the new one
    /// would end before all that are held.
    fn make_room(&mut self, kind: AnnouncementKind, expires_at: Instant) -> bool {
        let same = |entry: &AnnouncementEntry| {
            std::mem::discriminant(&entry.kind) == std::mem::discriminant(&kind)
        };
        if self.items.iter().filter(|entry| same(entry)).count() < MAX_ITEMS_PER_KIND {
            return true;
        }
        let first = self
            .items
            .iter()
            .enumerate()
            .filter(|(_, entry)| same(entry))
            .min_by_key(|(_, entry)| entry.expires_at);
        match first {
            Some((position, entry)) if entry.expires_at < expires_at => {
                self.items.swap_remove(position);
                true
            }
            _ => false,
        }
    }
}

impl AnnouncementEntry {
    fn item(&self, now: Instant) -> AnnouncementRecord {
        let left = self.expires_at.saturating_duration_since(now);
        AnnouncementRecord {
            kind: self.kind,
            id: self.id,
            remaining_ms: left.as_millis() as u64,
        }
    }
}
