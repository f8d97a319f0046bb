//! The configuration that one daemon knows, and the part of it that is in force.
//!
//! The platform's versions are ordered over all keys, so one number says how far a store has
//! come: it holds the newest change of every key whose newest change is not after
//! [`ConfigStore::version`]. Nothing in it ever steps back, whatever a stale platform or peer says;
//! this is asserted in every build. See `docs/DESIGN.md`, "Configuration".

use std::sync::Arc;

use super::config_delta::{
    ConfigDelta, ConfigValue, DeltaContent, DeltaEntry, MAX_VALUE_BYTES, ValuePatch,
};
use super::stored_entry::StoredEntry;
use crate::ids::{ConfigVersion, ValueKey};

/// Checks a key's value before it is put in force; the error says what is wrong.
pub type ValueCheck = fn(key: &str, value: &str) -> Result<(), Box<str>>;

/// A value that did not pass its check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusedValue {
    /// The key.
    pub key: ValueKey,
    /// The refused version.
    pub version: ConfigVersion,
    /// What is wrong with it.
    pub reason: Box<str>,
}

/// What a change of the store means for the daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreChange {
    /// The value is in force from now on; without a value the key has none.
    Applied(ConfigValue),
    /// The value was refused; the last good one stays in force.
    Refused(RefusedValue),
}

/// How far an offer of changes could be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateOutcome {
    /// The store reached a newer version.
    Advanced,
    /// The offer held nothing new.
    Known,
    /// The offer is older than what the store holds.
    Stale,
    /// The offer begins after a version that the store has not reached.
    Gap,
    /// A patch did not fit; the whole value is asked for next.
    Mismatch,
}

/// The configuration that one daemon knows.
#[derive(Clone, Debug)]
pub struct ConfigStore {
    check: ValueCheck,
    version: ConfigVersion,
    hash: u64,
    entries: Vec<StoredEntry>,
    keys_to_request: Vec<ValueKey>,
}

impl ConfigStore {
    /// Makes an empty store at version 0.
    pub fn new(check: ValueCheck) -> Self {
        Self {
            check,
            version: 0,
            hash: 0,
            entries: Vec::new(),
            keys_to_request: Vec::new(),
        }
    }

    /// The version through which every change is known; 0 if none is.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// A hash over every key's newest change, equal on all daemons that hold the same.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// The value in force for a key, if it has one.
    pub fn in_force(&self, key: &str) -> Option<&ConfigValue> {
        let entry = &self.entries[self.find(key).ok()?];
        entry
            .in_force
            .as_ref()
            .filter(|value| value.value.is_some())
    }

    /// The keys that have a value, sorted; refused values count.
    pub fn keys(&self) -> impl Iterator<Item = &ValueKey> {
        self.entries
            .iter()
            .filter(|entry| entry.newest.value.is_some())
            .map(|entry| &entry.newest.key)
    }

    /// Every refused value that is the newest of its key, sorted by key.
    pub fn refused(&self) -> Vec<RefusedValue> {
        self.entries.iter().filter_map(refused_value).collect()
    }

    /// The keys whose whole value is to be asked of the next peer, sorted.
    pub fn keys_to_request(&self) -> &[ValueKey] {
        &self.keys_to_request
    }

    /// Takes the platform's answer: every change after a version that the store had reached.
    pub fn apply_published(
        &mut self,
        version: ConfigVersion,
        published: &[ConfigValue],
        changes: &mut Vec<StoreChange>,
    ) -> UpdateOutcome {
        if version < self.version {
            return UpdateOutcome::Stale;
        }
        for value in published {
            let oversize = value
                .value
                .as_ref()
                .is_some_and(|text| text.len() > MAX_VALUE_BYTES);
            self.put(value.clone(), oversize, changes);
        }
        self.advance(version)
    }

    /// Takes changes from a peer.
    pub fn apply_delta(
        &mut self,
        delta: &ConfigDelta,
        changes: &mut Vec<StoreChange>,
    ) -> UpdateOutcome {
        if delta.base > self.version {
            return UpdateOutcome::Gap;
        }
        for entry in &delta.entries {
            if !self.apply_entry(entry, changes) {
                self.request_whole_value(&entry.key);
                self.advance(entry.version - 1);
                return UpdateOutcome::Mismatch;
            }
        }
        if delta.through < self.version {
            return UpdateOutcome::Stale;
        }
        self.advance(delta.through)
    }

    /// The changes after `base`, at most `limit` bytes of text unless one value alone is larger.
    ///
    /// Keys in `whole` are sent as whole values, also where the peer knows their version.
    pub fn delta_since(
        &self,
        base: ConfigVersion,
        whole: &[ValueKey],
        limit: usize,
    ) -> ConfigDelta {
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
        let mut entries = Vec::new();
        for entry in &due {
            let is_whole = whole.contains(&entry.newest.key);
            let next = entry.delta_entry(base, is_whole);
            bytes += next.bytes();
            if bytes > limit && !entries.is_empty() {
                break;
            }
            entries.push(next);
        }
        let through = if entries.len() == due.len() {
            self.version
        } else {
            entries.last().map_or(base, |entry| entry.version.max(base))
        };
        ConfigDelta {
            base,
            through,
            entries,
        }
    }

    fn apply_entry(&mut self, entry: &DeltaEntry, changes: &mut Vec<StoreChange>) -> bool {
        let known = self.find(&entry.key).ok();
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

    /// Puts a peer's last good value in force where the newest was refused here as well.
    fn apply_last_good(&mut self, good: &ConfigValue, changes: &mut Vec<StoreChange>) {
        let Ok(position) = self.find(&good.key) else {
            return;
        };
        let entry = &mut self.entries[position];
        let in_force = entry.in_force.as_ref().map_or(0, |value| value.version);
        if entry.rejection.is_none() || good.version <= in_force {
            return;
        }
        if check_value(self.check, good, false).is_ok() {
            entry.apply(good.clone(), changes);
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
        match check_value(check, &entry.newest, oversize) {
            Ok(()) => {
                entry.rejection = None;
                let newest = entry.newest.clone();
                entry.apply(newest, changes);
            }
            Err(reason) => {
                entry.rejection = Some(reason);
                changes.extend(refused_value(entry).map(StoreChange::Refused));
                if entry.in_force.is_none() {
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

    fn advance(&mut self, version: ConfigVersion) -> UpdateOutcome {
        if version <= self.version {
            return UpdateOutcome::Known;
        }
        let before = self.version;
        self.version = version;
        assert!(
            self.version > before,
            "invariant: the configuration's version never steps back ({before} to {version})"
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

/// The value that an entry of a delta stands for; none if its patches do not fit.
fn resolve(entry: &DeltaEntry, old: Option<&ConfigValue>) -> Option<ConfigValue> {
    let value = match &entry.content {
        DeltaContent::Removed | DeltaContent::Oversize => None,
        DeltaContent::Whole(value) => Some(Arc::clone(value)),
        DeltaContent::Patches(patches) => Some(apply_patches(patches, old?, entry.version)?),
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
