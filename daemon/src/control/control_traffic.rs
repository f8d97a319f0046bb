//! Counters of the control plane's messages, bytes and platform calls since the start.

use std::sync::atomic::{AtomicU64, Ordering};

use yuccalift_wire::operator::ControlReport;

/// Approximate size of an HTTP message without its body, in bytes.
const HTTP_OVERHEAD: u64 = 200;

/// Traffic counters, shared by the services of one control plane.
#[derive(Debug, Default)]
pub struct ControlTraffic {
    messages_sent: AtomicU64,
    bytes: AtomicU64,
    platform_calls: AtomicU64,
}

impl ControlTraffic {
    /// Counts a sent message, given the length of its body in bytes.
    pub fn count_sent(&self, body: usize) {
        self.messages_sent.fetch_add(1, Ordering::Relaxed);
        self.add_bytes(body);
    }

    /// Counts a received message, given the length of its body in bytes.
    pub fn count_received(&self, body: usize) {
        self.add_bytes(body);
    }

    /// Counts a call to the platform, whose request has no body.
    pub fn count_platform_call(&self) {
        self.platform_calls.fetch_add(1, Ordering::Relaxed);
        self.add_bytes(0);
    }

    /// Returns the counts so far.
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
