//! Time limits of a transfer that may be long: [`TransferProgress`].

use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

/// Number of times that progress is checked within [`TransferLimit::stall`].
const CHECKS: u32 = 10;

/// How long a transfer may take.
///
/// A limit on the whole time alone ends long transfers over a slow link, and the bytes that have
/// arrived are lost; the next attempt ends in the same way. See `docs/incidents/config-in-time.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TransferLimit {
    /// Maximum time in which no byte is sent or received.
    pub stall: Duration,
    /// Maximum duration of a transfer that makes progress.
    pub total: Duration,
}

/// Counts the bytes that one or more links send and receive; clones share the count.
#[derive(Clone, Debug, Default)]
pub struct TransferProgress {
    bytes: Rc<Cell<u64>>,
}

impl TransferProgress {
    /// Adds bytes that were sent or received.
    pub(crate) fn add(&self, bytes: usize) {
        self.bytes.set(self.bytes.get() + bytes as u64);
    }

    /// Runs a call on the counted links to its end; `None` if it exceeds a limit.
    pub async fn run<T>(&self, limit: TransferLimit, call: impl Future<Output = T>) -> Option<T> {
        let mut call = pin!(call);
        let interval = limit.stall / CHECKS;
        let (mut elapsed, mut stalled) = (Duration::ZERO, Duration::ZERO);
        while stalled < limit.stall && elapsed < limit.total {
            let before = self.bytes.get();
            if let Ok(ended) = tokio::time::timeout(interval, &mut call).await {
                return Some(ended);
            }
            elapsed += interval;
            stalled += interval;
            if self.bytes.get() > before {
                stalled = Duration::ZERO;
            }
        }
        None
    }
}
