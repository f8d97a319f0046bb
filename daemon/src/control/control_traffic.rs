//! What control has cost since the start, counted where the bytes are.

use std::sync::atomic::{AtomicU64, Ordering};

use yuccalift_wire::operator::ControlReport;

/// Bytes of an HTTP message besides its body, as these services write it.
const HTTP_OVERHEAD: u64 = 200;

/// Counts of messages, bytes and calls; shared by the services of one control plane.
#[derive(Debug, Default)]
pub struct ControlTraffic {
    messages_sent: AtomicU64,
    bytes: AtomicU64,
    platform_calls: AtomicU64,
}

impl ControlTraffic {
    /// Counts a message that was sent, with its body's length.
    pub fn sent(&self, body: usize) {
        self.messages_sent.fetch_add(1, Ordering::Relaxed);
        self.add_bytes(body);
    }

    /// Counts a message that was received, with its body's length.
    pub fn received(&self, body: usize) {
        self.add_bytes(body);
    }

    /// Counts a call to the platform.
    pub fn called_platform(&self) {
        self.platform_calls.fetch_add(1, Ordering::Relaxed);
        self.add_bytes(0);
    }

    /// The counts so far.
    pub fn report(&self) -> ControlReport {
        ControlReport {
            messages_sent: self.messages_sent.load(Ordering::Relaxed),
            bytes: self.bytes.load(Ordering::Relaxed),
            platform_calls: self.platform_calls.load(Ordering::Relaxed),
        }
    }

    fn add_bytes(&self, body: usize) {
        let bytes = body as u64 + HTTP_OVERHEAD;
        self.bytes.fetch_add(bytes, Ordering::Relaxed);
    }
}
