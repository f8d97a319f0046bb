//! The configuration known to one daemon, and the values of it that are in effect.
//!
//! The platform's versions are ordered over all keys, so one number describes the progress of a
//! store within an era: [`ConfigStore::position`] is the position up to which the store has every
//! change. Neither this position nor, within an era, the version of any key ever decreases, even
//! when a platform replica or a peer is stale; this is asserted in release builds too. See
//! `docs/DESIGN.md`, "Configuration".
//!
//! A later era begins with all values of the platform that was restored. Until they are known,
//! those of the earlier era stay in effect, under version 0. So does one that its writer wrote after
//! the restored one ([`ValueRank`]), until the writer has written it again.
//!
//! A store that began with a listing of the platform never learned which keys had been removed
//! before. It tells a peer that has older keys by the list of the keys that exist, so that the peer
//! drops the others.

use std::sync::Arc;

use super::config_delta::{
    ConfigDelta, ConfigValue, DeltaContent, DeltaEntry, DeltaFormat, MAX_VALUE_BYTES, ValuePatch,
};
pub use super::store_change::{
    RefusedValue, StoreChange, UpdateOutcome, ValueCheck, ValueRank, WriterRank,
};
use super::store_position::StorePosition;
use super::stored_entry::StoredEntry;
use crate::ids::{ConfigVersion, StoreEra, ValueKey};

/// The configuration known to one daemon.
#[derive(Clone, Debug)]
pub struct ConfigStore {
    check: ValueCheck,
    rank: ValueRank,
    era: StoreEra,
    version: ConfigVersion,
    /// Version after which every removal is known.
    removals_since: ConfigVersion,
    hash: u64,
    entries: Vec<StoredEntry>,
    keys_to_request: Vec<ValueKey>,
}

impl ConfigStore {
    /// Creates an empty store at version 0.
    pub fn new(check: ValueCheck) -> Self {
        Self {
            check,
            rank: |_key, _value| WriterRank::default(),
            era: 0,
            version: 0,
            removals_since: 0,
            hash: 0,
            entries: Vec::new(),
            keys_to_request: Vec::new(),
        }
    }

    /// Sets the order by which a value of an earlier era may stay in effect.
    #[must_use]
    pub fn ranked_by(mut self, rank: ValueRank) -> Self {
        self.rank = rank;
        self
    }

    /// Returns the version within the current era up to which every change is known; 0 if none is.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns the position up to which every change is known.
    pub fn position(&self) -> StorePosition {
        StorePosition {
            era: self.era,
            version: self.version,
        }
    }

    /// Returns a hash over the newest value of every key, equal for stores with equal content. Keys
    /// that were removed do not count, since not all stores have known them.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// Returns the value in effect for a key, if any.
    pub fn in_effect(&self, key: &str) -> Option<&ConfigValue> {
        let entry = &self.entries[self.find(key).ok()?];
        entry
            .in_effect
            .as_ref()
            .filter(|value| value.value.is_some())
    }

    /// Returns the keys that have a value, sorted; includes keys whose newest value was refused.
    pub fn keys(&self) -> impl Iterator<Item = &ValueKey> {
        self.entries
            .iter()
            .filter(|entry| entry.newest.value.is_some())
            .map(|entry| &entry.newest.key)
    }

    /// Returns the newest values that were refused, sorted by key.
    pub fn refused_values(&self) -> Vec<RefusedValue> {
        self.entries.iter().filter_map(refused_value).collect()
    }

    /// Returns the keys whose whole value is to be requested from the next peer, sorted.
    pub fn keys_to_request(&self) -> &[ValueKey] {
        &self.keys_to_request
    }

    /// Applies the platform's answer: every change after a position that the store had reached, or
    /// all keys that exist (`is_listing`). A later era begins with all keys.
    pub fn apply_published(
        &mut self,
        position: impl Into<StorePosition>,
        published: &[ConfigValue],
        is_listing: bool,
        changes: &mut Vec<StoreChange>,
    ) -> UpdateOutcome {
        let position = position.into();
        let version = position.version;
        if position < self.position() {
            return UpdateOutcome::Stale;
        }
        if position.era > self.era {
            if !is_listing {
                return UpdateOutcome::Gap;
            }
            self.begin_era(position.era);
        }
        if is_listing {
            let mut listed: Vec<ValueKey> =
                published.iter().map(|value| value.key.clone()).collect();
            listed.sort_unstable();
            self.remove_other_keys(&listed, version, changes);
            self.removals_since = version;
        }
        for value in published {
            let oversize = value
                .value
                .as_ref()
                .is_some_and(|text| text.len() > MAX_VALUE_BYTES);
            self.put(value.clone(), oversize, changes);
        }
        self.advance_version(version)
    }

    /// Applies changes from a peer.
    pub fn apply_delta(
        &mut self,
        delta: &ConfigDelta,
        changes: &mut Vec<StoreChange>,
    ) -> UpdateOutcome {
        if delta.era < self.era {
            return UpdateOutcome::Stale;
        }
        if delta.era > self.era {
            let tells_removals = delta.live_keys.is_some() || !self.position().is_known();
            if delta.base > 0 || delta.through == 0 || !tells_removals {
                return UpdateOutcome::Gap;
            }
            self.begin_era(delta.era);
        } else if delta.base > self.version || self.lacks_removals(delta) {
            return UpdateOutcome::Gap;
        }
        if delta.through >= self.version {
            if let Some(live_keys) = &delta.live_keys {
                self.remove_other_keys(live_keys, delta.through, changes);
                self.removals_since = self.removals_since.max(delta.through);
            }
            if self.version < delta.removals_since {
                self.removals_since = self.removals_since.max(delta.removals_since);
            }
        }
        for entry in &delta.entries {
            if !self.apply_entry(entry, changes) {
                self.request_whole_value(&entry.key);
                self.advance_version(entry.version - 1);
                return UpdateOutcome::Mismatch;
            }
        }
        if delta.through < self.version {
            return UpdateOutcome::Stale;
        }
        self.advance_version(delta.through)
    }

    /// Begins a later era. What is in effect stays so until the values of the new era are known.
    fn begin_era(&mut self, era: StoreEra) {
        assert!(
            era > self.era,
            "invariant: the era of the configuration never decreases ({} to {era})",
            self.era
        );
        self.era = era;
        self.version = 0;
        self.removals_since = 0;
        self.hash = 0;
        self.keys_to_request.clear();
        self.entries.retain_mut(StoredEntry::begin_era);
    }

    /// Returns whether a delta leads to a version by which keys of this store may have been removed
    /// without the delta telling so. It was made for an empty store, and this one has been filled
    /// since.
    fn lacks_removals(&self, delta: &ConfigDelta) -> bool {
        let is_behind = self.version > 0 && self.version < delta.removals_since;
        is_behind && delta.base < delta.removals_since && delta.live_keys.is_none()
    }

    /// Removes the keys that are not among `live_keys`, sorted, which are all that exist at the
    /// version `through` or a later one.
    fn remove_other_keys(
        &mut self,
        live_keys: &[ValueKey],
        through: ConfigVersion,
        changes: &mut Vec<StoreChange>,
    ) {
        let removed: Vec<ValueKey> = self
            .entries
            .iter()
            .filter(|entry| entry.newest.version < through && entry.exists())
            .map(|entry| &entry.newest.key)
            .filter(|key| live_keys.binary_search(key).is_err())
            .cloned()
            .collect();
        for key in removed {
            let removal = ConfigValue {
                key,
                version: through,
                value: None,
            };
            self.put(removal, false, changes);
        }
    }

    /// Returns the changes after a peer's position, with at most `limit` bytes of text unless a single value
    /// is larger.
    ///
    /// Keys in `whole` are sent as whole values, even if the peer already knows their version. A
    /// store that is still being filled offers nothing, since it can't tell a removed key from one
    /// that it has not received yet.
    pub fn delta_since(
        &self,
        position: impl Into<StorePosition>,
        whole: &[ValueKey],
        format: DeltaFormat,
        limit: usize,
    ) -> ConfigDelta {
        let position = position.into();
        let base = position.version_in(self.era);
        if self.version < self.removals_since {
            return ConfigDelta {
                era: self.era,
                base,
                through: base,
                ..ConfigDelta::default()
            };
        }
        let mut due: Vec<&StoredEntry> = self
            .entries
            .iter()
            .filter(|entry| {
                let is_requested = whole.contains(&entry.newest.key) && entry.has_last_good();
                entry.newest.version > base || is_requested
            })
            .collect();
        due.sort_by_key(|entry| entry.newest.version);
        let mut bytes = 0;
        let mut entries: Vec<DeltaEntry> = Vec::new();
        for entry in &due {
            let is_whole = whole.contains(&entry.newest.key);
            let next = entry.delta_entry(base, is_whole, format);
            bytes += next.bytes();
            // Removals that a listing shows have its version, which other keys may have as well.
            // The receiver reaches that version, so it must get all of them.
            let is_complete = entries
                .last()
                .is_some_and(|last| last.version < next.version);
            if bytes > limit && is_complete {
                break;
            }
            entries.push(next);
        }
        let through = if entries.len() == due.len() {
            self.version
        } else {
            entries.last().map_or(base, |entry| entry.version.max(base))
        };
        let is_of_earlier_era = position.is_known() && position.era < self.era;
        let misses_removals = is_of_earlier_era || (base > 0 && base < self.removals_since);
        ConfigDelta {
            era: self.era,
            base,
            through,
            entries,
            removals_since: self.removals_since,
            live_keys: misses_removals.then(|| self.live_keys()),
        }
    }

    /// Returns the keys that exist, sorted, also if their value is too large or was refused.
    fn live_keys(&self) -> Vec<ValueKey> {
        let existing = self.entries.iter().filter(|entry| entry.exists());
        existing.map(|entry| entry.newest.key.clone()).collect()
    }

    fn apply_entry(&mut self, entry: &DeltaEntry, changes: &mut Vec<StoreChange>) -> bool {
        let known = self.find(&entry.key).ok();
        let exists = known.is_some_and(|position| self.entries[position].exists());
        if !exists && entry.version <= self.version {
            // The key has been removed or changed since, or this store would have it.
            return true;
        }
        let known_version = known.map_or(0, |position| self.entries[position].newest.version);
        if entry.version > known_version {
            let old = known.map(|position| &self.entries[position].newest);
            let Some(value) = resolve(entry, old) else {
                return false;
            };
            let oversize = entry.content == DeltaContent::Oversize;
            self.put(value, oversize, changes);
        }
        if let Some(good) = &entry.last_good {
            self.apply_last_good(good, changes);
        }
        true
    }

    /// Applies a peer's last valid value of a key whose newest value was refused here as well.
    fn apply_last_good(&mut self, good: &ConfigValue, changes: &mut Vec<StoreChange>) {
        let Ok(position) = self.find(&good.key) else {
            return;
        };
        let entry = &mut self.entries[position];
        let in_effect = entry.in_effect.as_ref().map_or(0, |value| value.version);
        // A last valid value that claims to be newer than the newest one comes from a faulty peer.
        let is_plausible = good.version > in_effect && good.version <= entry.newest.version;
        let is_later = entry.is_before(good, self.rank);
        if !is_later && (entry.rejection.is_none() || !is_plausible) {
            return;
        }
        if check_value(self.check, good, false).is_ok() {
            if is_later {
                entry.hold(good.clone(), changes);
            } else {
                entry.apply(good.clone(), changes);
            }
        }
        self.keys_to_request.retain(|key| *key != good.key);
    }

    fn put(&mut self, value: ConfigValue, oversize: bool, changes: &mut Vec<StoreChange>) {
        let position = match self.find(&value.key) {
            Ok(position) => position,
            Err(position) => {
                self.entries
                    .insert(position, StoredEntry::unset(value.key.clone()));
                position
            }
        };
        let check = self.check;
        let entry = &mut self.entries[position];
        if value.version <= entry.newest.version {
            return;
        }
        self.keys_to_request.retain(|key| *key != value.key);
        self.hash ^= entry.hash();
        entry.replace(value, oversize);
        self.hash ^= entry.hash();
        let checked = check_value(check, &entry.newest, oversize);
        match checked.and_then(|()| entry.check_rank(self.rank)) {
            Ok(()) => {
                entry.rejection = None;
                entry.apply_newest(changes);
            }
            Err(reason) => {
                entry.rejection = Some(reason);
                changes.extend(refused_value(entry).map(StoreChange::Refused));
                if entry.in_effect.is_none() {
                    let key = entry.newest.key.clone();
                    self.request_whole_value(&key);
                }
            }
        }
    }

    fn request_whole_value(&mut self, key: &ValueKey) {
        if let Err(position) = self.keys_to_request.binary_search(key) {
            self.keys_to_request.insert(position, key.clone());
        }
    }

    fn advance_version(&mut self, version: ConfigVersion) -> UpdateOutcome {
        if version <= self.version {
            return UpdateOutcome::Known;
        }
        let before = self.version;
        self.version = version;
        assert!(
            self.version > before,
            "invariant: the version of the configuration never decreases ({before} to {version})"
        );
        UpdateOutcome::Advanced
    }

    fn find(&self, key: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.newest.key.as_ref().cmp(key))
    }
}

fn refused_value(entry: &StoredEntry) -> Option<RefusedValue> {
    let reason = entry.rejection.clone()?;
    Some(RefusedValue {
        key: entry.newest.key.clone(),
        version: entry.newest.version,
        reason,
    })
}

fn check_value(check: ValueCheck, value: &ConfigValue, oversize: bool) -> Result<(), Box<str>> {
    if oversize {
        return Err(format!("the value is larger than {MAX_VALUE_BYTES} bytes").into());
    }
    match &value.value {
        Some(text) => check(&value.key, text),
        None => Ok(()),
    }
}

/// Returns the value that a delta entry leads to, or `None` if a patch does not apply or a packed
/// value is damaged.
fn resolve(entry: &DeltaEntry, old: Option<&ConfigValue>) -> Option<ConfigValue> {
    let value = match &entry.content {
        DeltaContent::Removed | DeltaContent::Oversize => None,
        DeltaContent::Whole(value) => Some(Arc::clone(value)),
        DeltaContent::Patches(patches) => Some(apply_patches(patches, old?, entry.version)?),
        DeltaContent::Packed(packed) => Some(packed.unpack()?),
    };
    Some(ConfigValue {
        key: entry.key.clone(),
        version: entry.version,
        value,
    })
}

fn apply_patches(
    patches: &[ValuePatch],
    old: &ConfigValue,
    version: ConfigVersion,
) -> Option<Arc<str>> {
    let mut reached = old.version;
    let mut value = old.value.clone()?;
    for patch in patches {
        if patch.version <= reached {
            continue;
        }
        if patch.base != reached {
            return None;
        }
        value = patch.apply(&value)?;
        reached = patch.version;
    }
    (reached == version).then_some(value)
}
