//! Whether the daemon takes requests, shared by its services.

use std::sync::atomic::{AtomicBool, Ordering};

/// A daemon is ready when its configuration is confirmed, the fleet's bounds are known (no
/// connection share can be counted without them), and it is not stopping.
#[derive(Debug, Default)]
pub(crate) struct ReadyFlag {
    confirmed: AtomicBool,
    bounded: AtomicBool,
    stopping: AtomicBool,
}

impl ReadyFlag {
    /// Notes whether the configuration that is known is confirmed.
    pub(crate) fn set_confirmed(&self, confirmed: bool) {
        self.confirmed.store(confirmed, Ordering::Release);
    }

    /// Notes that the fleet's bounds are known.
    pub(crate) fn set_bounds_known(&self) {
        self.bounded.store(true, Ordering::Release);
    }

    /// Whether the daemon has a configuration to go by. It may have one and not be ready: while it
    /// stops, and while what it has is not confirmed.
    pub(crate) fn is_configured(&self) -> bool {
        self.bounded.load(Ordering::Acquire)
    }

    /// Notes that the daemon stops; it is never ready again.
    pub(crate) fn set_stopping(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Whether the daemon stops.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Whether the daemon takes requests.
    pub(crate) fn is_ready(&self) -> bool {
        let confirmed = self.confirmed.load(Ordering::Acquire);
        let bounded = self.bounded.load(Ordering::Acquire);
        confirmed && bounded && !self.is_stopping()
    }
}
