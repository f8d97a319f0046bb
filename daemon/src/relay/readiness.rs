//! Readiness of the relay, and the balancer's listener that reports it.

use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::{Request, Response, StatusCode};
use yuccalift_platform::caller::{empty_answer, is_readiness_path};

/// Minimum retry delay for a caller that reaches a relay without routes: other daemons have them,
/// and the balancer checks readiness each second.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Conditions for the relay to take requests.
#[derive(Debug)]
pub(super) struct RelayReadiness {
    /// Time by which routes should have been read, if the store is available.
    routes_expected_at: Instant,
    /// Whether routes and targets have been read.
    pub(super) configured: Cell<bool>,
    /// Whether a graceful stop has begun.
    pub(super) stopping: Cell<bool>,
}

impl RelayReadiness {
    /// Creates the state of a relay that starts now and reads its routes within `start_window`.
    pub(super) fn new(start_window: Duration) -> Self {
        Self {
            routes_expected_at: Instant::now() + start_window,
            configured: Cell::new(false),
            stopping: Cell::new(false),
        }
    }

    /// Returns when a caller should retry if there are no routes yet: once this relay expects to
    /// have them, as do all daemons of a fleet that restarted together.
    pub(super) fn retry_after(&self, now: Instant) -> Duration {
        let time_left = self.routes_expected_at.saturating_duration_since(now);
        time_left.max(MIN_RETRY_AFTER)
    }

    /// Returns whether new callers should be sent to this relay.
    pub(super) fn is_ready(&self) -> bool {
        self.configured.get() && !self.stopping.get()
    }
}

/// Answers a readiness check of the balancer.
pub(super) async fn answer_balancer(
    readiness: Rc<RelayReadiness>,
    request: Request,
) -> Result<Response<actix_http::body::BoxBody>, Infallible> {
    let status = if !is_readiness_path(request.path()) {
        StatusCode::NOT_FOUND
    } else if readiness.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    Ok(empty_answer(status, None))
}
