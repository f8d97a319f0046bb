//! The daemons of the local data centre, as known to one daemon.
//!
//! A member that does not answer becomes suspect, and gone if it does not refute the suspicion in
//! time. Only a member itself increases its refutation count, so a suspicion and its refutation
//! have a definite order. A replacement process is recognised by its incarnation. See
//! `docs/DESIGN.md`, "Membership".

use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::member_record::{MemberRecord, MemberState};
use crate::ids::{ConfigVersion, HostName, Incarnation};

/// Time that a suspect member has to refute the suspicion.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which a gone member is remembered and occasionally contacted, to reconnect after a
/// network partition.
pub const GONE_RETENTION: Duration = Duration::from_secs(600);
/// Time for which a gone member is remembered if the platform does not list it.
pub const UNLISTED_GONE_RETENTION: Duration = Duration::from_secs(60);
/// Time for which a changed record is passed on.
pub const RUMOR_PERIOD: Duration = Duration::from_secs(10);
/// Maximum number of members in a table.
pub const MAX_MEMBERS: usize = 1_000;

/// Result of merging a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The record was already known or is outdated.
    Known,
    /// The table changed.
    Changed,
    /// The record says that this daemon is not alive; the daemon has refuted it.
    Refuted,
    /// A later process runs on this daemon's host; this process must stop.
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

/// The daemons of the local data centre.
#[derive(Clone, Debug)]
pub struct MemberTable {
    own: MemberRecord,
    members: Vec<MemberEntry>,
    last_changed: Instant,
}

impl MemberTable {
    /// Creates a table that contains only this daemon.
    pub fn new(now: Instant, own: MemberRecord) -> Self {
        Self {
            own,
            members: Vec::new(),
            last_changed: now,
        }
    }

    /// Returns this daemon's own record.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Returns the records of all other members, sorted by host.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.iter().map(|entry| &entry.record)
    }

    /// Returns each other member with the configuration version it last reported, or 0 before its
    /// first report.
    pub fn versions(&self) -> impl Iterator<Item = (&MemberRecord, ConfigVersion)> {
        self.members
            .iter()
            .map(|entry| (&entry.record, entry.reported_version))
    }

    /// Records the configuration version that a member reports.
    pub fn record_version(&mut self, host: &str, version: ConfigVersion) {
        if let Ok(position) = self.position(host) {
            self.members[position].reported_version = version;
        }
    }

    /// Returns the record of another member.
    pub fn find(&self, host: &str) -> Option<&MemberRecord> {
        let position = self.position(host).ok()?;
        Some(&self.members[position].record)
    }

    /// Returns the other members that are not gone.
    pub fn present(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records()
            .filter(|record| record.state != MemberState::Gone)
    }

    /// Returns the other members that are alive: not suspect, leaving or gone.
    pub fn alive(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records()
            .filter(|record| record.state == MemberState::Alive)
    }

    /// Raises this daemon's incarnation above the one that peers report for its host.
    pub fn supersede(&mut self, incarnation: Incarnation) {
        self.own.incarnation = self.own.incarnation.max(incarnation.saturating_add(1));
    }

    /// Returns the other members that are gone but still remembered.
    pub fn gone(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records()
            .filter(|record| record.state == MemberState::Gone)
    }

    /// Returns a hash over the present members and this daemon; equal for tables that agree.
    pub fn digest(&self) -> u64 {
        let own = member_hash(&self.own);
        self.present()
            .fold(own, |sum, record| sum ^ member_hash(record))
    }

    /// Returns when the table last changed.
    pub fn last_changed(&self) -> Instant {
        self.last_changed
    }

    /// Merges the record of a daemon of the local data centre.
    pub fn merge(&mut self, now: Instant, record: &MemberRecord) -> MergeOutcome {
        if record.host == self.own.host {
            return self.merge_own(record);
        }
        match self.position(&record.host) {
            Ok(position) => {
                if !record.supersedes(&self.members[position].record) {
                    return MergeOutcome::Known;
                }
                self.members[position].replace_record(now, record.clone());
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

    /// Marks a member that did not answer as suspect, or a leaving one as gone. Returns whether its
    /// state changed.
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

    /// Marks this daemon as leaving.
    pub fn leave(&mut self, now: Instant) {
        self.own.state = MemberState::Leaving;
        self.last_changed = now;
    }

    /// Marks members as gone that did not refute a suspicion in time, and forgets members that have
    /// been gone for long. Returns the hosts newly marked as gone.
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

    /// Forgets gone members that the platform no longer lists, but only after a while: the list
    /// lags, and gone members are needed to reconnect after a network partition.
    pub fn forget_gone(&mut self, now: Instant, is_unlisted: impl Fn(&str) -> bool) {
        self.members.retain(|entry| {
            let age = now.saturating_duration_since(entry.changed_at);
            let is_gone = entry.record.state == MemberState::Gone && age >= UNLISTED_GONE_RETENTION;
            !is_gone || !is_unlisted(&entry.record.host)
        });
    }

    /// Returns when [`MemberTable::expire`] next has to be called.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.members
            .iter()
            .filter(|entry| entry.record.state == MemberState::Suspect)
            .map(|entry| entry.changed_at + SUSPICION_TIMEOUT)
            .min()
    }

    /// Restarts all timers and stops passing on earlier changes; called after a pause, when the
    /// table may be out of date.
    pub fn reset_timers(&mut self, now: Instant) {
        for entry in &mut self.members {
            entry.changed_at = now;
            entry.is_rumor = false;
        }
        self.last_changed = now;
    }

    /// Returns at most `limit` recently changed records to pass on, those sent least often first.
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
        // A malformed record must not overflow the counter, which would end the process.
        if let Some(refutation) = record.refutation.checked_add(1) {
            self.own.refutation = refutation;
        } else {
            self.own.incarnation = self.own.incarnation.saturating_add(1);
            self.own.refutation = 0;
        }
        MergeOutcome::Refuted
    }

    fn set_state(&mut self, now: Instant, position: usize, state: MemberState) {
        let mut record = self.members[position].record.clone();
        record.state = state;
        assert!(
            record.supersedes(&self.members[position].record),
            "invariant: an older record of {} never replaces a newer one",
            record.host
        );
        self.members[position].replace_record(now, record);
        self.last_changed = now;
    }

    fn position(&self, host: &str) -> Result<usize, usize> {
        self.members
            .binary_search_by(|entry| entry.record.host.as_ref().cmp(host))
    }
}

impl MemberEntry {
    /// Replaces the record and keeps the configuration version that the daemon reported.
    fn replace_record(&mut self, now: Instant, record: MemberRecord) {
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
