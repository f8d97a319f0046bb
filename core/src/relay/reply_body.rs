//! Body of a target's answer: [`ReplyBody`].

use std::fmt::{Debug, Formatter};
use std::sync::Arc;

/// Body of a target's answer. Clones share its bytes, and the owner of the bytes, which may hold
/// more than them, is dropped with the last clone.
#[derive(Clone)]
pub struct ReplyBody {
    owner: Arc<dyn AsRef<[u8]> + Send + Sync>,
}

impl ReplyBody {
    /// Creates a body of the bytes that `owner` holds.
    pub fn new(owner: impl AsRef<[u8]> + Send + Sync + 'static) -> Self {
        Self {
            owner: Arc::new(owner),
        }
    }
}

impl Default for ReplyBody {
    fn default() -> Self {
        Self::new([])
    }
}

impl From<&[u8]> for ReplyBody {
    fn from(bytes: &[u8]) -> Self {
        Self::new(bytes.to_vec())
    }
}

impl AsRef<[u8]> for ReplyBody {
    fn as_ref(&self) -> &[u8] {
        (*self.owner).as_ref()
    }
}

impl Debug for ReplyBody {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        self.as_ref().fmt(f)
    }
}

impl PartialEq for ReplyBody {
    fn eq(&self, other: &Self) -> bool {
        self.as_ref() == other.as_ref()
    }
}

impl Eq for ReplyBody {}
