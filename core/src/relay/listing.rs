//! Which targets are listed, through outages of the list: [`TargetListing`].
//!
//! See `docs/PLATFORM.md`, "A target's state".

use std::time::{Duration, Instant};

use super::event::RelayEvent;
use super::target_record::{TargetName, TargetRecord};

/// How long after the list can be read again an absent entry may only have lapsed meanwhile.
const LAPSED_GRACE: Duration = Duration::from_millis(2_500);

/// An entry of the list, with the list's own count of the change that made it.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ListedName {
    name: TargetName,
    revision: u64,
}

/// The names that are listed, sorted, and whether the list can be trusted.
#[derive(Debug, Default)]
pub struct TargetListing {
    names: Vec<ListedName>,
    out_of_reach: bool,
    reached_again: Option<Instant>,
}

impl TargetListing {
    /// Notes that the list can't be read.
    pub fn note_failure(&mut self) {
        self.out_of_reach = true;
    }

    /// Notes that the list was read.
    pub fn note_success(&mut self, now: Instant) {
        if std::mem::take(&mut self.out_of_reach) {
            self.reached_again = Some(now);
        }
    }

    /// How many names are listed.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether no name is listed.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// Takes an entry that was read; nothing follows from one that is older than what is known.
    pub fn put(&mut self, record: TargetRecord, revision: u64) -> Option<RelayEvent> {
        match self.place(&record.name) {
            Ok(place) if self.names[place].revision >= revision => return None,
            Ok(place) => self.names[place].revision = revision,
            Err(place) => {
                let name = record.name.clone();
                self.names.insert(place, ListedName { name, revision });
            }
        }
        Some(RelayEvent::TargetListed(record))
    }

    /// Takes the removal of an entry, or that it names no target any more.
    pub fn remove(&mut self, now: Instant, name: &str, revision: u64) -> Option<RelayEvent> {
        let place = self.place(name).ok()?;
        if self.names[place].revision > revision {
            return None;
        }
        let name = self.names.remove(place).name;
        let doubtful = self.is_doubtful(now);
        Some(RelayEvent::TargetUnlisted { name, doubtful })
    }

    /// Takes that a whole reading of the list, begun at a revision, found just these names.
    pub fn keep_only(
        &mut self,
        now: Instant,
        found: &[TargetName],
        revision: u64,
    ) -> Vec<RelayEvent> {
        let gone: Vec<TargetName> = self
            .names
            .iter()
            .filter(|listed| listed.revision <= revision && !found.contains(&listed.name))
            .map(|listed| listed.name.clone())
            .collect();
        gone.iter()
            .filter_map(|name| self.remove(now, name, revision))
            .collect()
    }

    /// Whether an absent entry may only have lapsed while the list was out of reach.
    fn is_doubtful(&self, now: Instant) -> bool {
        self.out_of_reach
            || self
                .reached_again
                .is_some_and(|since| now.saturating_duration_since(since) < LAPSED_GRACE)
    }

    fn place(&self, name: &str) -> Result<usize, usize> {
        self.names
            .binary_search_by(|listed| listed.name.as_ref().cmp(name))
    }
}
