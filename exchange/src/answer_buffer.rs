//! Body of an answer that is being received, within the limits of its memory: [`AnswerBuffer`].

use bytes::{Bytes, BytesMut};

use crate::leased_bytes::leased_bytes;
use crate::memory_account::{BufferLease, FREE_BYTES, HeldLease};

/// Maximum size of an answer's body, in bytes. It is far above the size of real answers and bounds
/// the memory that a faulty peer can take.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Body of an answer that is being received. The memory that is allocated for it is leased, not only
/// the part that is filled: it grows by doubling, so that up to half of it may be empty.
#[derive(Debug)]
pub(crate) struct AnswerBuffer {
    bytes: BytesMut,
    lease: BufferLease,
}

impl AnswerBuffer {
    /// Creates a buffer that holds the first bytes of a body.
    pub(crate) fn new(bytes: BytesMut) -> Self {
        Self {
            bytes,
            lease: BufferLease::default(),
        }
    }

    /// Makes room for `more` bytes.
    ///
    /// # Errors
    ///
    /// The reason if the body would be too large, alone or together with those received meanwhile.
    pub(crate) fn reserve(&mut self, more: usize) -> Result<(), &'static str> {
        if self.bytes.len() > MAX_BODY_BYTES {
            return Err("the body is too large");
        }
        let needed = self.bytes.len() + more;
        if needed <= self.bytes.capacity() {
            return Ok(());
        }
        let capacity = needed.next_power_of_two().min(MAX_BODY_BYTES).max(needed);
        if !self.lease.extend_to(capacity) {
            return Err("too many large bodies are received at once");
        }
        self.bytes.reserve(capacity - self.bytes.len());
        Ok(())
    }

    /// Returns the bytes received so far; more of them than [`AnswerBuffer::reserve`] made room for
    /// must not be added.
    pub(crate) fn bytes_mut(&mut self) -> &mut BytesMut {
        &mut self.bytes
    }

    /// Returns the complete body, which is on the account until its last reference is dropped, now
    /// with all of its bytes: the parts of a merged answer wait for the slowest one.
    pub(crate) fn into_bytes(self) -> Bytes {
        let first = HeldLease::charge(self.bytes.capacity().min(FREE_BYTES));
        leased_bytes(self.bytes, (first, self.lease))
    }
}
