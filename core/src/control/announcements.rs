//! Announcements, which spread by gossip and expire: suspected and quarantined fingerprints, and
//! draining targets.
//!
//! Messages carry the remaining lifetime of an announcement, so that clocks need not agree. The
//! first copy that a daemon receives sets the expiry and later copies can only shorten it.
//! Otherwise an announcement could live on by the delay of each message that passes it on. See
//! `docs/DESIGN.md`, "Announcements".

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::ids::{Fingerprint, ShardId, TargetId};

/// Maximum number of announcements of each kind.
pub const MAX_ITEMS_PER_KIND: usize = 256;
/// Maximum lifetime of an announcement.
pub const MAX_LIFETIME: Duration = Duration::from_secs(600);
/// Time for which an expired announcement is remembered, so that a late copy does not revive it.
pub const EXPIRED_RETENTION: Duration = Duration::from_secs(30);
/// Time for which an announcement is passed on after it was first received.
const RUMOR_PERIOD: Duration = Duration::from_secs(10);
/// Minimum remaining lifetime for an announcement to be passed on.
const MIN_SEND_REMAINING: Duration = Duration::from_millis(500);

/// Content of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum AnnouncementKind {
    /// Requests of this fingerprint are quarantined.
    Quarantine(Fingerprint),
    /// A target was lost while it ran requests of this fingerprint.
    Suspect {
        /// Fingerprint of the suspected requests.
        #[serde(rename = "f")]
        fingerprint: Fingerprint,
        /// Shard whose target was lost.
        #[serde(rename = "s")]
        shard: ShardId,
        /// Whether targets of several shards were lost.
        #[serde(rename = "w")]
        wide: bool,
        /// Blame for lost targets, in thousandths of a target.
        #[serde(rename = "b")]
        blame: u32,
    },
    /// The target is draining and must get no new requests.
    Draining(TargetId),
}

/// An announcement in the form in which it is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncementRecord {
    /// Content of the announcement.
    #[serde(rename = "k")]
    pub kind: AnnouncementKind,
    /// Random id given by the daemon of origin; a repeated announcement gets a new one.
    #[serde(rename = "n")]
    pub id: u64,
    /// Remaining lifetime, in milliseconds.
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

/// The announcements that a daemon has received.
#[derive(Clone, Debug, Default)]
pub struct AnnouncementTable {
    items: Vec<AnnouncementEntry>,
}

impl AnnouncementTable {
    /// Merges an announcement. Returns true if its kind was not active before.
    pub fn merge(&mut self, now: Instant, record: &AnnouncementRecord) -> bool {
        let remaining = Duration::from_millis(record.remaining_ms).min(MAX_LIFETIME);
        let expires_at = now + remaining;
        let known = self
            .items
            .iter_mut()
            .find(|entry| entry.id == record.id && entry.kind == record.kind);
        if let Some(entry) = known {
            entry.expires_at = entry.expires_at.min(expires_at);
            return false;
        }
        if remaining.is_zero() || !self.ensure_capacity(record.kind, expires_at) {
            return false;
        }
        let was_active = self.is_active(now, record.kind);
        self.items.push(AnnouncementEntry {
            kind: record.kind,
            id: record.id,
            expires_at,
            learned_at: now,
            send_count: 0,
        });
        !was_active
    }

    /// Returns whether an announcement of the kind is active.
    pub fn is_active(&self, now: Instant, kind: AnnouncementKind) -> bool {
        self.items
            .iter()
            .any(|entry| entry.kind == kind && entry.expires_at > now)
    }

    /// Returns all active kinds with their remaining lifetimes, sorted by kind.
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

    /// Removes old announcements. Returns the kinds that stopped being active after `before`.
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

    /// Returns when the next announcement expires.
    pub fn next_expiry(&self, now: Instant) -> Option<Instant> {
        self.items
            .iter()
            .map(|entry| entry.expires_at)
            .filter(|&expires_at| expires_at > now)
            .min()
    }

    /// Returns at most `limit` recent announcements to pass on, those sent least often first.
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
                entry.to_record(now)
            })
            .collect()
    }

    /// Returns all active announcements, for a daemon that has just joined.
    pub fn active_records(&self, now: Instant) -> Vec<AnnouncementRecord> {
        self.items
            .iter()
            .filter(|entry| entry.expires_at > now + MIN_SEND_REMAINING)
            .map(|entry| entry.to_record(now))
            .collect()
    }

    /// Ensures that an announcement of a kind can be added, by evicting the one that expires first
    /// if there are too many. Returns false if the new announcement would expire before all others
    /// of its kind.
    fn ensure_capacity(&mut self, kind: AnnouncementKind, expires_at: Instant) -> bool {
        let is_same_kind = |entry: &AnnouncementEntry| {
            std::mem::discriminant(&entry.kind) == std::mem::discriminant(&kind)
        };
        if self
            .items
            .iter()
            .filter(|entry| is_same_kind(entry))
            .count()
            < MAX_ITEMS_PER_KIND
        {
            return true;
        }
        let earliest = self
            .items
            .iter()
            .enumerate()
            .filter(|(_, entry)| is_same_kind(entry))
            .min_by_key(|(_, entry)| entry.expires_at);
        match earliest {
            Some((position, entry)) if entry.expires_at < expires_at => {
                self.items.swap_remove(position);
                true
            }
            _ => false,
        }
    }
}

impl AnnouncementEntry {
    fn to_record(&self, now: Instant) -> AnnouncementRecord {
        let remaining = self.expires_at.saturating_duration_since(now);
        AnnouncementRecord {
            kind: self.kind,
            id: self.id,
            remaining_ms: remaining.as_millis() as u64,
        }
    }
}
