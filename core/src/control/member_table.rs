//! The daemons of the own data centre, as one daemon believes them to be.
//!
//! A member that does not answer is suspected; if it does not refute that in time, it is gone.
//! Only a member itself raises its refutation count, so a belief and its refutation can't be
//! confused, and a replaced process is told apart by its incarnation. See `docs/DESIGN.md`,
//! "Membership".

use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::member_record::{MemberRecord, MemberState};
use crate::ids::{ConfigVersion, HostName, Incarnation};

/// How long a suspected member has to refute the suspicion.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a member that is gone is remembered and tried again now and then.
pub const GONE_RETENTION: Duration = Duration::from_secs(600);
/// How long one that the platform does not list is.
pub const UNLISTED_GONE_RETENTION: Duration = Duration::from_secs(60);
/// How long a change is passed on after it was learned.
pub const RUMOR_PERIOD: Duration = Duration::from_secs(10);
/// How many members a table holds.
pub const MAX_MEMBERS: usize = 1_000;

/// What a merged record meant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// Nothing new.
    Known,
    /// The belief changed.
    Changed,
    /// Somebody believes that this daemon is not alive; it has refuted that.
    Refuted,
    /// A later process runs on this daemon's host; this one must stop.
    Replaced,
}

#[derive(Clone, Debug)]
struct MemberEntry {
    record: MemberRecord,
    changed_at: Instant,
    is_rumor: bool,
    send_count: u32,
    reported_version: ConfigVersion,
}

/// The daemons of the own data centre.
#[derive(Clone, Debug)]
pub struct MemberTable {
    own: MemberRecord,
    members: Vec<MemberEntry>,
    last_changed: Instant,
}

impl MemberTable {
    /// Makes a table that knows only this daemon.
    pub fn new(now: Instant, own: MemberRecord) -> Self {
        Self {
            own,
            members: Vec::new(),
            last_changed: now,
        }
    }

    /// This daemon.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// The others, sorted by host.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.iter().map(|entry| &entry.record)
    }

    /// The others with the configuration version that each told of itself; 0 if it has not yet.
    pub fn versions(&self) -> impl Iterator<Item = (&MemberRecord, ConfigVersion)> {
        self.members
            .iter()
            .map(|entry| (&entry.record, entry.reported_version))
    }

    /// Notes the configuration version that a member told of itself.
    pub fn record_version(&mut self, host: &str, version: ConfigVersion) {
        if let Ok(position) = self.position(host) {
            self.members[position].reported_version = version;
        }
    }

    /// The record of another member.
    pub fn find(&self, host: &str) -> Option<&MemberRecord> {
        let position = self.position(host).ok()?;
        Some(&self.members[position].record)
    }

    /// The others that are not gone.
    pub fn present(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records()
            .filter(|record| record.state != MemberState::Gone)
    }

    /// The others that are alive: neither suspected nor leaving.
    pub fn alive(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records()
            .filter(|record| record.state == MemberState::Alive)
    }

    /// Makes this daemon a later process than one that its host is said to run.
    pub fn supersede(&mut self, incarnation: Incarnation) {
        self.own.incarnation = self.own.incarnation.max(incarnation + 1);
    }

    /// The others that are gone but remembered.
    pub fn gone(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records()
            .filter(|record| record.state == MemberState::Gone)
    }

    /// A hash over the present members, this daemon included; equal where two tables agree.
    pub fn digest(&self) -> u64 {
        let own = member_hash(&self.own);
        self.present()
            .fold(own, |sum, record| sum ^ member_hash(record))
    }

    /// When the table last changed.
    pub fn last_changed(&self) -> Instant {
        self.last_changed
    }

    /// Takes a belief about a daemon of the own data centre.
    pub fn merge(&mut self, now: Instant, record: &MemberRecord) -> MergeOutcome {
        if record.host == self.own.host {
            return self.merge_own(record);
        }
        match self.position(&record.host) {
            Ok(position) => {
                if !record.supersedes(&self.members[position].record) {
                    return MergeOutcome::Known;
                }
                self.members[position].take(now, record.clone());
            }
            Err(_) if record.state == MemberState::Gone => return MergeOutcome::Known,
            Err(_) if self.members.len() >= MAX_MEMBERS => return MergeOutcome::Known,
            Err(position) => {
                let entry = MemberEntry::rumor(now, record.clone());
                self.members.insert(position, entry);
            }
        }
        self.last_changed = now;
        MergeOutcome::Changed
    }

    /// Suspects a member that did not answer as the process that it was taken for.
    pub fn suspect(&mut self, now: Instant, host: &str) -> bool {
        let Ok(position) = self.position(host) else {
            return false;
        };
        let record = &self.members[position].record;
        match record.state {
            MemberState::Alive => self.set_state(now, position, MemberState::Suspect),
            MemberState::Leaving => self.set_state(now, position, MemberState::Gone),
            MemberState::Suspect | MemberState::Gone => return false,
        }
        true
    }

    /// Says that this daemon is leaving.
    pub fn leave(&mut self, now: Instant) {
        self.own.state = MemberState::Leaving;
        self.last_changed = now;
    }

    /// Gives up members whose suspicion was not refuted in time and forgets those long gone.
    pub fn expire(&mut self, now: Instant) -> Vec<HostName> {
        let mut expired = Vec::new();
        for position in 0..self.members.len() {
            let entry = &self.members[position];
            let age = now.saturating_duration_since(entry.changed_at);
            if entry.record.state == MemberState::Suspect && age >= SUSPICION_TIMEOUT {
                expired.push(entry.record.host.clone());
                self.set_state(now, position, MemberState::Gone);
            }
        }
        self.members.retain(|entry| {
            let age = now.saturating_duration_since(entry.changed_at);
            entry.record.state != MemberState::Gone || age < GONE_RETENTION
        });
        expired
    }

    /// Forgets members that have been gone for a while and that the platform lists no more. Not
    /// at once: the list lags, and a member that is gone is the way back after a cut.
    pub fn forget_gone(&mut self, now: Instant, is_unlisted: impl Fn(&str) -> bool) {
        self.members.retain(|entry| {
            let age = now.saturating_duration_since(entry.changed_at);
            let is_gone = entry.record.state == MemberState::Gone && age >= UNLISTED_GONE_RETENTION;
            !is_gone || !is_unlisted(&entry.record.host)
        });
    }

    /// When [`MemberTable::expire`] has something to do next.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.members
            .iter()
            .filter(|entry| entry.record.state == MemberState::Suspect)
            .map(|entry| entry.changed_at + SUSPICION_TIMEOUT)
            .min()
    }

    /// Starts every period anew and passes on nothing learned before, after a pause: what this
    /// daemon believed may be long out of date.
    pub fn reset_timers(&mut self, now: Instant) {
        for entry in &mut self.members {
            entry.changed_at = now;
            entry.is_rumor = false;
        }
        self.last_changed = now;
    }

    /// The recent changes, at most `limit`, those that were sent least before others.
    pub fn rumors(&mut self, now: Instant, limit: usize) -> Vec<MemberRecord> {
        let mut due: Vec<&mut MemberEntry> = self
            .members
            .iter_mut()
            .filter(|entry| entry.is_rumor)
            .filter(|entry| now.saturating_duration_since(entry.changed_at) < RUMOR_PERIOD)
            .collect();
        due.sort_by_key(|entry| entry.send_count);
        due.into_iter()
            .take(limit)
            .map(|entry| {
                entry.send_count += 1;
                entry.record.clone()
            })
            .collect()
    }

    fn merge_own(&mut self, record: &MemberRecord) -> MergeOutcome {
        if record.incarnation > self.own.incarnation {
            return MergeOutcome::Replaced;
        }
        if !record.supersedes(&self.own) {
            return MergeOutcome::Known;
        }
        self.own.refutation = record.refutation + 1;
        MergeOutcome::Refuted
    }

    fn set_state(&mut self, now: Instant, position: usize, state: MemberState) {
        let mut record = self.members[position].record.clone();
        record.state = state;
        assert!(
            record.supersedes(&self.members[position].record),
            "invariant: a belief about {} never steps back",
            record.host
        );
        self.members[position].take(now, record);
        self.last_changed = now;
    }

    fn position(&self, host: &str) -> Result<usize, usize> {
        self.members
            .binary_search_by(|entry| entry.record.host.as_ref().cmp(host))
    }
}

impl MemberEntry {
    /// Replaces the belief; what the daemon itself told of its configuration stays.
    fn take(&mut self, now: Instant, record: MemberRecord) {
        let reported_version = self.reported_version;
        *self = Self {
            reported_version,
            ..Self::rumor(now, record)
        };
    }

    fn rumor(now: Instant, record: MemberRecord) -> Self {
        Self {
            record,
            changed_at: now,
            is_rumor: true,
            send_count: 0,
            reported_version: 0,
        }
    }
}

fn member_hash(record: &MemberRecord) -> u64 {
    xxh3_64_with_seed(record.host.as_bytes(), record.incarnation)
}
