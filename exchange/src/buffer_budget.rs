//! Memory for answers that are being received: [`BufferLease`].
//!
//! A faulty peer may send bytes without end, on every connection at once. Each answer may therefore
//! grow to [`FREE_BYTES`] freely, and beyond that only while all larger answers of the thread stay
//! within [`MAX_LEASED_BYTES`] together. Usual answers need no lease, so that faulty peers can't
//! starve them. See `docs/PLATFORM.md`, "Bytes without end".

use std::cell::Cell;

/// Size up to which an answer needs no lease, in bytes.
pub(crate) const FREE_BYTES: usize = 64 * 1024;
/// Maximum size of all larger answers that one thread receives at a time, in bytes.
pub(crate) const MAX_LEASED_BYTES: usize = 32 * 1024 * 1024;

thread_local! {
    static LEASED: Cell<usize> = const { Cell::new(0) };
}

/// The leased part of one answer's memory; returned when dropped.
#[derive(Debug, Default)]
pub(crate) struct BufferLease {
    bytes: usize,
}

impl BufferLease {
    /// Extends the lease to an answer of `size` bytes; returns false if that exceeds the budget of
    /// the thread.
    pub(crate) fn extend_to(&mut self, size: usize) -> bool {
        let wanted = size.saturating_sub(FREE_BYTES);
        let more = wanted.saturating_sub(self.bytes);
        let leased = LEASED.get() + more;
        if leased > MAX_LEASED_BYTES {
            return false;
        }
        LEASED.set(leased);
        self.bytes += more;
        true
    }
}

impl Drop for BufferLease {
    fn drop(&mut self) {
        LEASED.set(LEASED.get().saturating_sub(self.bytes));
    }
}
