//! Bytes that stay on the account until the last reference to them is dropped: [`leased_bytes`].

use bytes::{Bytes, BytesMut};

/// Bytes and the lease for them.
struct LeasedBytes<L> {
    bytes: BytesMut,
    _lease: L,
}

impl<L> AsRef<[u8]> for LeasedBytes<L> {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Returns bytes that drop `lease` with their last reference; at once if there are none.
pub(crate) fn leased_bytes<L: Send + 'static>(bytes: BytesMut, lease: L) -> Bytes {
    if bytes.is_empty() {
        return Bytes::new();
    }
    Bytes::from_owner(LeasedBytes {
        bytes,
        _lease: lease,
    })
}
