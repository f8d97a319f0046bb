//! Whether the relay takes requests, and the balancer's listener that asks.

use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::{Request, Response, StatusCode};
use yuccalift_platform::caller::{empty_answer, is_readiness_path};

/// The soonest that a caller is asked to come back to a relay that has no routes yet: other daemons
/// have them, and the balancer asks for readiness each second.
const SOONEST_RETURN: Duration = Duration::from_millis(100);

/// Why the relay does not take requests, where it does not.
#[derive(Debug)]
pub(super) struct RelayReadiness {
    /// By when routes should have been read, if the store can be.
    expected: Instant,
    /// Whether routes and targets have been read.
    pub(super) configured: Cell<bool>,
    /// Whether a planned stop has begun.
    pub(super) stopping: Cell<bool>,
}

impl RelayReadiness {
    /// Of a relay that starts now and reads its routes within `start_window`.
    pub(super) fn new(start_window: Duration) -> Self {
        Self {
            expected: Instant::now() + start_window,
            configured: Cell::new(false),
            stopping: Cell::new(false),
        }
    }

    /// After how long a caller should come back that the relay has no routes for yet: when it is
    /// expected to have them, and so is every daemon of a fleet that came back with it.
    pub(super) fn return_time(&self, now: Instant) -> Duration {
        let left = self.expected.saturating_duration_since(now);
        left.max(SOONEST_RETURN)
    }

    /// Whether new callers should be sent here.
    pub(super) fn is_ready(&self) -> bool {
        self.configured.get() && !self.stopping.get()
    }
}

/// Answers the balancer.
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
