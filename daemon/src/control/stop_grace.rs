//! How long a stopping daemon goes on taking requests after it has said that it is leaving.

use std::time::Duration;

/// How long the balancer may take to see that the daemon is no longer ready.
const BALANCER_GRACE: Duration = Duration::from_secs(3);
/// The part of the time for a stop that the grace may take.
const GRACE_DIVISOR: u32 = 4;

/// The grace within a stop of this length.
pub(super) fn stop_grace(stop_timeout: Duration) -> Duration {
    BALANCER_GRACE.min(stop_timeout / GRACE_DIVISOR)
}
