//! One key of the configuration store: newest change, value in effect, and patches for peers.

use std::sync::Arc;

use super::config_delta::{
    ConfigValue, DeltaContent, DeltaEntry, DeltaFormat, ValuePatch, value_hash,
};
use super::packed_value::PackedValue;
use super::store_change::{StoreChange, ValueRank};
use crate::ids::{ConfigVersion, ValueKey};

/// Maximum number of patches retained per key, for peers that lag behind.
const MAX_PATCHES: usize = 8;
/// Minimum length of a value that is worth compressing, in bytes.
const MIN_PACKED_BYTES: usize = 4 * 1024;
/// Multiplier that spreads a version over all bits of a hash.
const VERSION_HASH_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// State of one key.
#[derive(Clone, Debug)]
pub(super) struct StoredEntry {
    pub(super) newest: ConfigValue,
    pub(super) oversize: bool,
    pub(super) in_effect: Option<ConfigValue>,
    pub(super) rejection: Option<Box<str>>,
    pub(super) patches: Vec<ValuePatch>,
}

impl StoredEntry {
    /// Creates the entry of a key that has never been set.
    pub(super) fn unset(key: ValueKey) -> Self {
        Self {
            newest: ConfigValue {
                key,
                version: 0,
                value: None,
            },
            oversize: false,
            in_effect: None,
            rejection: None,
            patches: Vec::new(),
        }
    }

    /// Turns the value in effect into one of an earlier era, with version 0. Returns false if there
    /// is none, so that the entry is of no use.
    pub(super) fn begin_era(&mut self) -> bool {
        self.oversize = false;
        self.rejection = None;
        self.patches.clear();
        let Some(in_effect) = self
            .in_effect
            .as_mut()
            .filter(|value| value.value.is_some())
        else {
            return false;
        };
        in_effect.version = 0;
        self.newest = in_effect.clone();
        true
    }

    /// Returns whether nothing is known of the key in the current era.
    fn is_of_earlier_era(&self) -> bool {
        self.newest.version == 0
    }

    /// Refuses the newest value if its writer wrote it before the one of an earlier era that is in
    /// effect: the platform was restored from a copy without the latter.
    pub(super) fn check_rank(&self, rank: ValueRank) -> Result<(), Box<str>> {
        let former = self.in_effect.as_ref().filter(|value| value.version == 0);
        let key = &self.newest.key;
        let ranks = self
            .newest
            .value
            .as_ref()
            .zip(former.and_then(|value| value.value.as_ref()));
        match ranks {
            Some((newest, former)) if rank(key, newest) < rank(key, former) => {
                Err("it was written before the value in effect, which the platform has lost".into())
            }
            Some(_) | None => Ok(()),
        }
    }

    /// Returns whether a peer holds a value of an earlier era that was written after the one in
    /// effect here.
    pub(super) fn is_before(&self, good: &ConfigValue, rank: ValueRank) -> bool {
        let in_effect = self
            .in_effect
            .as_ref()
            .and_then(|value| value.value.as_ref());
        let values = in_effect.zip(good.value.as_ref());
        good.version == 0
            && values.is_some_and(|(known, good)| {
                rank(&self.newest.key, known) < rank(&self.newest.key, good)
            })
    }

    /// Makes a value of an earlier era take effect instead of the newest one.
    pub(super) fn hold(&mut self, former: ConfigValue, changes: &mut Vec<StoreChange>) {
        self.rejection = Some("a peer knows a value that was written later".into());
        self.in_effect = Some(former.clone());
        changes.push(StoreChange::Applied(former));
    }

    /// Replaces the newest change.
    pub(super) fn replace(&mut self, value: ConfigValue, oversize: bool) {
        assert!(
            value.version > self.newest.version,
            "invariant: the version of key {} never decreases ({} to {})",
            value.key,
            self.newest.version,
            value.version
        );
        self.record_patch(&value);
        self.newest = value;
        self.oversize = oversize;
        if oversize {
            self.newest.value = None;
        }
    }

    /// Retains the patch to a new value if it is much smaller than the value. A value of an earlier
    /// era is no base for a patch, since peers may have another one.
    fn record_patch(&mut self, value: &ConfigValue) {
        if self.is_of_earlier_era() {
            self.patches.clear();
            return;
        }
        let (Some(old), Some(new)) = (&self.newest.value, &value.value) else {
            self.patches.clear();
            return;
        };
        let patch = ValuePatch::between(self.newest.version, old, value.version, new);
        if patch.middle.len() > new.len() / 2 {
            self.patches.clear();
            return;
        }
        self.patches.push(patch);
        let surplus = self.patches.len().saturating_sub(MAX_PATCHES);
        self.patches.drain(..surplus);
    }

    /// Makes the newest value take effect, unless an equal one of an earlier era is in effect.
    pub(super) fn apply_newest(&mut self, changes: &mut Vec<StoreChange>) {
        let newest = self.newest.clone();
        match &mut self.in_effect {
            Some(known) if known.version == 0 && known.value == newest.value => *known = newest,
            Some(_) | None => self.apply(newest, changes),
        }
    }

    /// Makes a validated value take effect.
    pub(super) fn apply(&mut self, value: ConfigValue, changes: &mut Vec<StoreChange>) {
        let before = self.in_effect.as_ref().map_or(0, |known| known.version);
        assert!(
            value.version > before,
            "invariant: the version in effect for key {} never decreases ({before} to {})",
            value.key,
            value.version
        );
        self.in_effect = Some(value.clone());
        changes.push(StoreChange::Applied(value));
    }

    /// Returns whether the newest value was refused while an earlier one is in effect.
    pub(super) fn has_last_good(&self) -> bool {
        self.rejection.is_some() && self.in_effect.is_some()
    }

    /// Returns the change to send to a peer that has reached the version `base`.
    pub(super) fn delta_entry(
        &self,
        base: ConfigVersion,
        is_whole: bool,
        format: DeltaFormat,
    ) -> DeltaEntry {
        let last_good = self.rejection.as_ref().and(self.in_effect.clone());
        let content = match (self.content_since(base, is_whole), format) {
            (DeltaContent::Whole(value), DeltaFormat::Packed) if value.len() > MIN_PACKED_BYTES => {
                PackedValue::pack(&value).map_or(DeltaContent::Whole(value), DeltaContent::Packed)
            }
            (content, _) => content,
        };
        DeltaEntry {
            key: self.newest.key.clone(),
            version: self.newest.version,
            content,
            last_good,
        }
    }

    fn content_since(&self, base: ConfigVersion, is_whole: bool) -> DeltaContent {
        if self.oversize {
            return DeltaContent::Oversize;
        }
        let Some(value) = &self.newest.value else {
            return DeltaContent::Removed;
        };
        let whole = DeltaContent::Whole(Arc::clone(value));
        if is_whole {
            return whole;
        }
        let Some(first) = self.patches.iter().position(|patch| patch.version > base) else {
            return whole;
        };
        if self.patches[first].base > base {
            return whole;
        }
        let patches = DeltaContent::Patches(self.patches[first..].to_vec());
        if patches.bytes() < whole.bytes() / 2 {
            patches
        } else {
            whole
        }
    }

    /// Returns whether the key has a value, also if it is too large to be kept.
    pub(super) fn exists(&self) -> bool {
        self.newest.value.is_some() || self.oversize
    }

    /// Returns the key's contribution to the hash of the store; 0 if the key has no value in the
    /// current era.
    pub(super) fn hash(&self) -> u64 {
        if !self.exists() || self.is_of_earlier_era() {
            return 0;
        }
        let value = self.newest.value.as_deref().unwrap_or("");
        value_hash(&self.newest.key)
            ^ value_hash(value).rotate_left(17)
            ^ self.newest.version.wrapping_mul(VERSION_HASH_MULTIPLIER)
    }
}
