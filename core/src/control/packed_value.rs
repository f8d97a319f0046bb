//! A value in compressed form, for transfer between daemons: [`PackedValue`].

use std::io::{Read, Write};
use std::sync::Arc;

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::{Deserialize, Serialize};

use super::config_delta::{MAX_VALUE_BYTES, value_hash};

/// The text of a value, compressed.
///
/// Published configurations repeat themselves, so that a long one is packed to about a tenth. Links
/// between daemons may be narrow, and a change of the configuration crosses each of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedValue {
    /// Text in the format of RFC 1951.
    #[serde(with = "serde_bytes")]
    deflated: Box<[u8]>,
    /// Hash of the text.
    hash: u64,
}

impl PackedValue {
    /// Compresses a text; returns `None` if that does not shorten it.
    pub fn pack(text: &str) -> Option<Self> {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(text.as_bytes()).ok()?;
        let deflated = encoder.finish().ok()?;
        (deflated.len() < text.len()).then(|| Self {
            deflated: deflated.into(),
            hash: value_hash(text),
        })
    }

    /// Returns the text, or `None` if it is longer than [`MAX_VALUE_BYTES`], is not UTF-8 or does
    /// not match its hash.
    pub fn unpack(&self) -> Option<Arc<str>> {
        let mut text = String::new();
        let limit = MAX_VALUE_BYTES as u64 + 1;
        let decoder = DeflateDecoder::new(&*self.deflated);
        decoder.take(limit).read_to_string(&mut text).ok()?;
        let is_intact = text.len() <= MAX_VALUE_BYTES && value_hash(&text) == self.hash;
        is_intact.then(|| text.into())
    }

    /// Returns the number of bytes of the compressed text.
    pub fn bytes(&self) -> usize {
        self.deflated.len()
    }
}
