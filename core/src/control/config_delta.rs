//! What passes configuration from one daemon to another: whole values, or patches to them.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{ConfigVersion, ValueKey};

/// The largest value that the platform holds, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// One key with the version of its last change; no value where the key was removed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigValue {
    /// The key.
    pub key: ValueKey,
    /// The configuration version that the change made.
    pub version: ConfigVersion,
    /// The value; none where the key was removed.
    pub value: Option<Arc<str>>,
}

/// The part of a value that a change replaced, between a kept prefix and a kept suffix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ValuePatch {
    /// The version of the value that the patch applies to.
    pub base: ConfigVersion,
    /// The version of the value that results.
    pub version: ConfigVersion,
    /// How many bytes at the beginning are kept.
    pub prefix: u32,
    /// How many bytes at the end are kept.
    pub suffix: u32,
    /// What stands between them afterwards.
    pub middle: Box<str>,
    /// The hash of the whole result.
    pub hash: u64,
}

impl ValuePatch {
    /// Makes the patch that leads from one value to the next.
    pub fn between(base: ConfigVersion, old: &str, version: ConfigVersion, new: &str) -> Self {
        let prefix = common_prefix(old, new);
        let suffix = common_suffix(&old[prefix..], &new[prefix..]);
        Self {
            base,
            version,
            prefix: prefix as u32,
            suffix: suffix as u32,
            middle: new[prefix..new.len() - suffix].into(),
            hash: value_hash(new),
        }
    }

    /// The patched value; none if `old` is not the value that the patch was made for.
    pub fn apply(&self, old: &str) -> Option<Arc<str>> {
        let prefix = self.prefix as usize;
        let suffix_start = old.len().checked_sub(self.suffix as usize)?;
        if suffix_start < prefix {
            return None;
        }
        let head = old.get(..prefix)?;
        let tail = old.get(suffix_start..)?;
        let length = head.len() + self.middle.len() + tail.len();
        if length > MAX_VALUE_BYTES {
            return None;
        }
        let mut new = String::with_capacity(length);
        new.push_str(head);
        new.push_str(&self.middle);
        new.push_str(tail);
        (value_hash(&new) == self.hash).then(|| Arc::from(new))
    }
}

/// What became of a key, as a peer passes it on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DeltaContent {
    /// The key was removed.
    Removed,
    /// The value is larger than a value may be and is not passed on.
    Oversize,
    /// The whole value.
    Whole(Arc<str>),
    /// Patches, to be applied one after the other.
    Patches(Vec<ValuePatch>),
}

impl DeltaContent {
    /// The bytes of text that it carries.
    pub fn bytes(&self) -> usize {
        match self {
            Self::Removed | Self::Oversize => 0,
            Self::Whole(value) => value.len(),
            Self::Patches(patches) => patches.iter().map(|patch| patch.middle.len()).sum(),
        }
    }
}

/// One changed key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeltaEntry {
    /// The key.
    pub key: ValueKey,
    /// The version of its newest change.
    pub version: ConfigVersion,
    /// The change.
    pub content: DeltaContent,
    /// The last value that passed its check, where the newest did not; so that a fresh daemon
    /// has it in force as well.
    pub last_good: Option<ConfigValue>,
}

impl DeltaEntry {
    /// The bytes of text that it carries.
    pub fn bytes(&self) -> usize {
        let last_good = self.last_good.as_ref();
        let kept = last_good.and_then(|good| good.value.as_ref());
        self.content.bytes() + kept.map_or(0, |value| value.len())
    }
}

/// All changes after one version and through another, in the order of their versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigDelta {
    /// The version that the receiver must have reached.
    pub base: ConfigVersion,
    /// The version that the receiver reaches by it.
    pub through: ConfigVersion,
    /// The changed keys, sorted by version.
    pub entries: Vec<DeltaEntry>,
}

impl ConfigDelta {
    /// The bytes of text that it carries.
    pub fn bytes(&self) -> usize {
        self.entries.iter().map(DeltaEntry::bytes).sum()
    }
}

/// The hash by which a patched value is checked.
pub fn value_hash(value: &str) -> u64 {
    xxh3_64(value.as_bytes())
}

fn common_prefix(old: &str, new: &str) -> usize {
    let equal = old
        .bytes()
        .zip(new.bytes())
        .take_while(|(left, right)| left == right)
        .count();
    (0..=equal)
        .rev()
        .find(|&end| old.is_char_boundary(end) && new.is_char_boundary(end))
        .unwrap_or(0)
}

fn common_suffix(old: &str, new: &str) -> usize {
    let equal = old
        .bytes()
        .rev()
        .zip(new.bytes().rev())
        .take_while(|(left, right)| left == right)
        .count();
    (0..=equal)
        .rev()
        .find(|&kept| {
            old.is_char_boundary(old.len() - kept) && new.is_char_boundary(new.len() - kept)
        })
        .unwrap_or(0)
}
