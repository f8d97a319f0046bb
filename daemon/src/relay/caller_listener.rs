//! The listener for callers: handles a request from its head to its answer.

use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_http::body::BoxBody;
use actix_http::{ConnectionType, Request, Response, StatusCode};
use actix_web::web::Bytes;
use yuccalift_core::relay::route::ServiceName;
use yuccalift_core::relay::{
    RelayAnswer, RelayRefusal, RelayRequest, RequestKey, RequestOrigin, RouteEntry,
};
use yuccalift_platform::caller::{self, CallerHead};
use yuccalift_platform::target::forwarded_head;

use super::attempt::CallerMessage;
use super::engine_driver::{EngineDriver, RefusedRequest, RelayResult};
use super::forward_client::{remove_mark, unserved_answer};
use super::readiness::RelayReadiness;
use super::report::RequestEnd;
use super::request_body::RequestBody;

/// Retry delay of a request whose body has no room: the time in which the bodies of others arrive.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// State shared by the handlers of callers' requests.
pub(super) struct CallerListenerState {
    pub(super) driver: Rc<EngineDriver>,
    pub(super) readiness: Rc<RelayReadiness>,
    /// Number of requests of peers that have no answer yet.
    pub(super) peer_requests: Cell<usize>,
}

/// Answers a request that a peer has forwarded. Until it ends, it keeps the process from ending.
pub(super) async fn answer_forwarded(
    state: Rc<CallerListenerState>,
    request: Request,
    origin: RequestOrigin,
) -> Result<Response<BoxBody>, Infallible> {
    if state.readiness.stopping.get() || !state.readiness.configured.get() {
        return Ok(unserved_answer(false));
    }
    state.driver.report.count_peer_request();
    let _count = PeerRequestCount::new(&state.peer_requests);
    answer_caller(Rc::clone(&state), request, origin).await
}

/// Counts a request of a peer while it exists.
struct PeerRequestCount<'state>(&'state Cell<usize>);

impl<'state> PeerRequestCount<'state> {
    fn new(count: &'state Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for PeerRequestCount<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Answers one request of a caller, which a peer may have forwarded, and logs its end.
pub(super) async fn answer_caller(
    state: Rc<CallerListenerState>,
    mut request: Request,
    origin: RequestOrigin,
) -> Result<Response<BoxBody>, Infallible> {
    let arrived_at = Instant::now();
    let caller = caller::read_head(request.head());
    let mut end = RequestEnd::new(&caller.request);
    let mut body = RequestBody::take(&mut request);
    let mut response = state
        .relay((arrived_at, origin), &caller, &request, &mut body, &mut end)
        .await;
    if state.readiness.stopping.get() {
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
    }
    end.status = response.status().as_u16();
    end.took = arrived_at.elapsed();
    state.driver.report.log_request_end(&end);
    Ok(body.attach_to(response))
}

impl CallerListenerState {
    async fn relay(
        &self,
        (arrived_at, origin): (Instant, RequestOrigin),
        caller: &CallerHead,
        request: &Request,
        body: &mut RequestBody,
        end: &mut RequestEnd,
    ) -> Response<BoxBody> {
        if !self.readiness.configured.get() {
            end.cause = "unconfigured";
            let retry_after = Some(self.readiness.retry_after(arrived_at));
            return caller::empty_answer(StatusCode::SERVICE_UNAVAILABLE, retry_after);
        }
        let routes = self.driver.routes();
        end.version = routes.version;
        let Some(route) = routes.find(&caller.host, request.path()).map(Arc::clone) else {
            end.cause = "no_route";
            return caller::empty_answer(StatusCode::NOT_FOUND, None);
        };
        end.route = route.name.clone();
        end.latency_aim = route.latency_aim;
        // A peer has checked the head before it added to it.
        let is_long = caller::head_bytes(request.head()) > routes.limits.head_bytes;
        if is_long && origin == RequestOrigin::Caller {
            end.cause = "large_head";
            return caller::empty_answer(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, None);
        }
        let timeout = caller.time_left.unwrap_or(route.timeout);
        // Nothing has been passed on while the body arrives, so that 408 and 503 are true.
        let body_deadline = arrived_at + timeout.min(route.timeout);
        let body = match body.read_by(body_deadline, routes.limits.body_bytes).await {
            Ok(body) => body,
            Err(status) => {
                end.cause = body_fault(status);
                let is_full = status == StatusCode::SERVICE_UNAVAILABLE;
                return caller::empty_answer(status, is_full.then_some(FULL_RETRY_AFTER));
            }
        };
        let message = Rc::new(caller_message(caller, request, body));
        let result = self
            .submit_and_wait(message, &route, arrived_at + timeout, origin)
            .await;
        response(caller, result, end)
    }

    async fn submit_and_wait(
        &self,
        message: Rc<CallerMessage>,
        route: &Arc<RouteEntry>,
        deadline: Instant,
        origin: RequestOrigin,
    ) -> RelayResult {
        let request = RelayRequest {
            key: 0,
            fingerprint: message.fingerprint(&route.host),
            route: Arc::clone(route),
            deadline,
            origin,
        };
        let (key, receiver) = self.driver.submit(message, request);
        let mut guard = DisconnectGuard {
            driver: &self.driver,
            key,
            is_waiting: true,
        };
        let lost = RefusedRequest {
            refusal: RelayRefusal::Failed,
            service: ServiceName::default(),
        };
        let result = receiver.await.unwrap_or(Err(lost));
        guard.is_waiting = false;
        result
    }
}

/// Names the fault of a body that was refused with a status.
fn body_fault(status: StatusCode) -> &'static str {
    match status {
        StatusCode::REQUEST_TIMEOUT => "late_body",
        StatusCode::SERVICE_UNAVAILABLE => "no_memory",
        _ => "bad_body",
    }
}

/// Reports to the engine, when dropped, that the caller's connection ended before the answer.
struct DisconnectGuard<'driver> {
    driver: &'driver Rc<EngineDriver>,
    key: RequestKey,
    is_waiting: bool,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if self.is_waiting {
            self.driver.remove_caller(self.key);
        }
    }
}

fn caller_message(caller: &CallerHead, request: &Request, body: Bytes) -> CallerMessage {
    let head = request.head();
    let mut forwarded = forwarded_head(head);
    remove_mark(&mut forwarded);
    let has_body = !body.is_empty() || head.headers.contains_key("content-length");
    CallerMessage {
        request_id: caller.request.clone(),
        head: Rc::new(forwarded),
        body: has_body.then_some(body),
    }
}

fn response(caller: &CallerHead, result: RelayResult, end: &mut RequestEnd) -> Response<BoxBody> {
    match result {
        Ok(RelayAnswer::Forwarded(reply)) => {
            end.cause = "answered";
            caller::target_answer(reply)
        }
        Ok(RelayAnswer::FromPeer(reply)) => {
            end.cause = "peer";
            caller::target_answer(reply)
        }
        Ok(RelayAnswer::Merged {
            signatures,
            missing,
            body,
        }) => {
            end.cause = if missing == 0 { "answered" } else { "partial" };
            end.parts = signatures.len() as u32;
            end.missing = missing;
            caller::merged_answer(&caller.request, &signatures, missing, body)
        }
        Err(RefusedRequest { refusal, service }) => {
            end.service = service;
            refused_answer(refusal, end)
        }
    }
}

fn refused_answer(refusal: RelayRefusal, end: &mut RequestEnd) -> Response<BoxBody> {
    match refusal {
        RelayRefusal::NotRun { retry_after, cause } => {
            end.cause = cause.as_str();
            caller::empty_answer(StatusCode::SERVICE_UNAVAILABLE, Some(retry_after))
        }
        RelayRefusal::Failed => {
            end.cause = "failed";
            caller::empty_answer(StatusCode::BAD_GATEWAY, None)
        }
        RelayRefusal::TimedOut => {
            end.cause = "timed_out";
            caller::empty_answer(StatusCode::GATEWAY_TIMEOUT, None)
        }
        RelayRefusal::CutOff { may_have_run } => {
            end.cause = "cut_off";
            unserved_answer(may_have_run)
        }
    }
}
