//! Whether the relay takes requests, and the balancer's listener that asks.

use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;

use actix_http::{Request, Response, StatusCode};
use yuccalift_platform::caller::{is_ready_path, plain_answer};

/// Why the relay does not take requests, where it does not.
#[derive(Debug, Default)]
pub(super) struct RelayReadiness {
    /// Whether routes and targets have been read.
    pub(super) configured: Cell<bool>,
    /// Whether a planned stop has begun.
    pub(super) stopping: Cell<bool>,
}

impl RelayReadiness {
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
    let status = if !is_ready_path(request.path()) {
        StatusCode::NOT_FOUND
    } else if readiness.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    Ok(plain_answer(status, None))
}
