//! Readiness of the daemon, shared by its services.

use std::sync::atomic::{AtomicBool, Ordering};

/// Readiness of a daemon. It is ready if its configuration is confirmed, the fleet's bounds are
/// known (its share of connections cannot be computed without them), and it is not stopping.
#[derive(Debug, Default)]
pub(crate) struct ReadyFlag {
    config_confirmed: AtomicBool,
    bounds_known: AtomicBool,
    stopping: AtomicBool,
}

impl ReadyFlag {
    /// Records whether the known configuration is confirmed.
    pub(crate) fn set_confirmed(&self, config_confirmed: bool) {
        self.config_confirmed
            .store(config_confirmed, Ordering::Release);
    }

    /// Records that the fleet's bounds are known.
    pub(crate) fn set_bounds_known(&self) {
        self.bounds_known.store(true, Ordering::Release);
    }

    /// Returns whether the daemon knows a configuration. A configured daemon may still not be ready:
    /// while it stops, and while its configuration is not confirmed.
    pub(crate) fn is_configured(&self) -> bool {
        self.bounds_known.load(Ordering::Acquire)
    }

    /// Records that the daemon is stopping; it never becomes ready again.
    pub(crate) fn set_stopping(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Returns whether the daemon accepts requests.
    pub(crate) fn is_ready(&self) -> bool {
        let config_confirmed = self.config_confirmed.load(Ordering::Acquire);
        let bounds_known = self.bounds_known.load(Ordering::Acquire);
        config_confirmed && bounds_known && !self.is_stopping()
    }
}
