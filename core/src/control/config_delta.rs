//! Wire format of configuration changes between daemons: whole values or patches.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::packed_value::PackedValue;
use crate::ids::{ConfigVersion, StoreEra, ValueKey};

/// Maximum size of a value that the platform stores, in bytes; a larger one is refused.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// The last change of a configuration key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigValue {
    /// Key that was changed.
    pub key: ValueKey,
    /// Configuration version that the change created.
    pub version: ConfigVersion,
    /// New value, or `None` if the key was removed.
    pub value: Option<Arc<str>>,
}

/// A change of a value: replaces everything between a kept prefix and a kept suffix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ValuePatch {
    /// Version of the value that the patch applies to.
    pub base: ConfigVersion,
    /// Version of the resulting value.
    pub version: ConfigVersion,
    /// Number of bytes kept at the start.
    pub prefix: u32,
    /// Number of bytes kept at the end.
    pub suffix: u32,
    /// New text between prefix and suffix.
    pub middle: Box<str>,
    /// Hash of the resulting value.
    pub hash: u64,
}

impl ValuePatch {
    /// Creates the patch from one value to the next.
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

    /// Returns the patched value, or `None` if `old` is not the value that the patch was made for.
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

/// The change of a key, as sent to a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DeltaContent {
    /// The key was removed.
    Removed,
    /// The value exceeds [`MAX_VALUE_BYTES`] and is not sent.
    Oversize,
    /// The whole value.
    Whole(Arc<str>),
    /// Patches to apply in order.
    Patches(Vec<ValuePatch>),
    /// The whole value, compressed; sent only to a receiver that asks for [`DeltaFormat::Packed`].
    Packed(PackedValue),
}

/// Forms of [`DeltaContent`] that a receiver can read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum DeltaFormat {
    /// All but [`DeltaContent::Packed`], which older daemons can't read.
    #[default]
    Plain,
    /// All.
    Packed,
}

impl DeltaContent {
    /// Returns the number of bytes of text in the change.
    pub fn bytes(&self) -> usize {
        match self {
            Self::Removed | Self::Oversize => 0,
            Self::Whole(value) => value.len(),
            Self::Patches(patches) => patches.iter().map(|patch| patch.middle.len()).sum(),
            Self::Packed(packed) => packed.bytes(),
        }
    }
}

/// A changed key in a [`ConfigDelta`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeltaEntry {
    /// Key that was changed.
    pub key: ValueKey,
    /// Version of the key's newest change.
    pub version: ConfigVersion,
    /// Content of the change.
    pub content: DeltaContent,
    /// Last valid value, if the newest one is invalid; lets a new daemon apply it as well.
    pub last_good: Option<ConfigValue>,
}

impl DeltaEntry {
    /// Returns the number of bytes of text in the entry.
    pub fn bytes(&self) -> usize {
        let last_good = self.last_good.as_ref();
        let kept = last_good.and_then(|good| good.value.as_ref());
        self.content.bytes() + kept.map_or(0, |value| value.len())
    }
}

/// All changes after the version `base` up to and including the version `through`, both of the same
/// era.
///
/// Fields that an older daemon does not send have their default value.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ConfigDelta {
    /// Era of all versions in the delta.
    pub era: StoreEra,
    /// Version that the receiver must have reached.
    pub base: ConfigVersion,
    /// Version that the receiver reaches by applying the delta.
    pub through: ConfigVersion,
    /// Changed keys, sorted by version.
    pub entries: Vec<DeltaEntry>,
    /// Version after which the sender knows every removal.
    pub removals_since: ConfigVersion,
    /// All keys that the sender has a value for, sorted, if it does not know every removal after
    /// `base`; the receiver's other keys have been removed.
    pub live_keys: Option<Vec<ValueKey>>,
}

impl ConfigDelta {
    /// Returns the number of bytes of text in the delta.
    pub fn bytes(&self) -> usize {
        let entries: usize = self.entries.iter().map(DeltaEntry::bytes).sum();
        let keys = self.live_keys.iter().flatten();
        entries + keys.map(|key| key.len()).sum::<usize>()
    }
}

/// Returns the hash that verifies a patched value.
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
