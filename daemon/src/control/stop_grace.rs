//! Grace period in which a stopping daemon, having announced that it leaves, still takes requests.

use std::time::Duration;

/// Maximum time that the balancer takes to notice that the daemon is no longer ready.
const BALANCER_GRACE: Duration = Duration::from_secs(3);
/// Divisor of the stop timeout that limits the grace period.
const GRACE_DIVISOR: u32 = 4;

/// Returns the grace period of a stop that may take up to `stop_timeout`.
pub(super) fn stop_grace(stop_timeout: Duration) -> Duration {
    BALANCER_GRACE.min(stop_timeout / GRACE_DIVISOR)
}
