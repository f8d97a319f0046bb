//! The callers' listener: from a request's head to its answer.

use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use actix_http::body::BoxBody;
use actix_http::error::PayloadError;
use actix_http::{ConnectionType, Payload, Request, Response, StatusCode};
use actix_web::web::{Bytes, BytesMut};
use futures_util::StreamExt;
use yuccalift_core::relay::{RelayAnswer, RelayRefusal, RelayRequest, RequestKey, RouteEntry};
use yuccalift_platform::caller::{self, CallerHead};
use yuccalift_platform::target::forwarded_headers;

use super::attempt::CallerMessage;
use super::hub::{RelayHub, RelayResult};
use super::readiness::RelayReadiness;
use super::report::RequestEnd;

/// What the handler of callers' requests needs.
pub(super) struct FrontState {
    pub(super) hub: Rc<RelayHub>,
    pub(super) readiness: Rc<RelayReadiness>,
}

/// Answers a caller.
pub(super) async fn answer_caller(
    state: Rc<FrontState>,
    request: Request,
) -> Result<Response<BoxBody>, Infallible> {
    let arrived = Instant::now();
    let caller = caller::read_head(request.head());
    let mut end = RequestEnd::new(&caller.request);
    let mut response = state.relay(arrived, &caller, request, &mut end).await;
    if state.readiness.stopping.get() {
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
    }
    end.status = response.status().as_u16();
    end.took = arrived.elapsed();
    state.hub.report.request(&end);
    Ok(response)
}

impl FrontState {
    async fn relay(
        &self,
        arrived: Instant,
        caller: &CallerHead,
        mut request: Request,
        end: &mut RequestEnd,
    ) -> Response<BoxBody> {
        if !self.readiness.configured.get() {
            end.cause = "unconfigured";
            let wait = Some(self.readiness.return_time(arrived));
            return caller::empty_answer(StatusCode::SERVICE_UNAVAILABLE, wait);
        }
        let routes = self.hub.routes();
        end.version = routes.version;
        let Some(route) = routes.find(&caller.host, request.path()).map(Arc::clone) else {
            end.cause = "no_route";
            return caller::empty_answer(StatusCode::NOT_FOUND, None);
        };
        end.route = route.name.clone();
        end.latency_aim = route.latency_aim;
        if caller::head_bytes(request.head()) > routes.limits.head_bytes {
            end.cause = "large_head";
            return caller::empty_answer(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, None);
        }
        let body = read_body(request.take_payload(), routes.limits.body_bytes).await;
        let body = match body {
            Ok(body) => body,
            Err(status) => {
                end.cause = "bad_body";
                return caller::empty_answer(status, None);
            }
        };
        let wait = caller.time_left.unwrap_or(route.timeout);
        let message = Rc::new(caller_message(caller, &request, body));
        let result = self.run(message, &route, arrived + wait).await;
        response(caller, result, end)
    }

    async fn run(
        &self,
        message: Rc<CallerMessage>,
        route: &Arc<RouteEntry>,
        deadline: Instant,
    ) -> RelayResult {
        let request = RelayRequest {
            key: 0,
            fingerprint: message.fingerprint(&route.host),
            route: Arc::clone(route),
            deadline,
        };
        let (key, end) = self.hub.submit(message, request);
        let mut watch = CallerWatch {
            hub: &self.hub,
            key,
            waiting: true,
        };
        let result = end.await.unwrap_or(Err(RelayRefusal::Failed));
        watch.waiting = false;
        result
    }
}

/// Tells the engine when a caller's connection ends before its answer.
struct CallerWatch<'hub> {
    hub: &'hub Rc<RelayHub>,
    key: RequestKey,
    waiting: bool,
}

impl Drop for CallerWatch<'_> {
    fn drop(&mut self) {
        if self.waiting {
            self.hub.drop_caller(self.key);
        }
    }
}

fn caller_message(caller: &CallerHead, request: &Request, body: Bytes) -> CallerMessage {
    let head = request.head();
    let has_body = !body.is_empty() || head.headers.contains_key("content-length");
    CallerMessage {
        request: caller.request.clone(),
        passed: forwarded_headers(head),
        head: clone_head(head),
        body: has_body.then_some(body),
    }
}

/// The method and target of a head; its headers are kept apart.
fn clone_head(head: &actix_http::RequestHead) -> actix_http::RequestHead {
    let mut copy = actix_http::RequestHead::default();
    copy.method = head.method.clone();
    copy.uri = head.uri.clone();
    copy
}

pub(super) async fn read_body(payload: Payload, limit: usize) -> Result<Bytes, StatusCode> {
    let mut payload = payload;
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|error: PayloadError| body_status(&error))?;
        if body.len() + chunk.len() > limit {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

fn body_status(error: &PayloadError) -> StatusCode {
    match error {
        PayloadError::Overflow => StatusCode::PAYLOAD_TOO_LARGE,
        _ => StatusCode::BAD_REQUEST,
    }
}

fn response(caller: &CallerHead, result: RelayResult, end: &mut RequestEnd) -> Response<BoxBody> {
    match result {
        Ok(RelayAnswer::Whole(reply)) => {
            end.cause = "answered";
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
        Err(RelayRefusal::NotRun { retry_after, cause }) => {
            end.cause = cause.word();
            caller::empty_answer(StatusCode::SERVICE_UNAVAILABLE, Some(retry_after))
        }
        Err(RelayRefusal::Failed) => {
            end.cause = "failed";
            caller::empty_answer(StatusCode::BAD_GATEWAY, None)
        }
        Err(RelayRefusal::TimedOut) => {
            end.cause = "timed_out";
            caller::empty_answer(StatusCode::GATEWAY_TIMEOUT, None)
        }
    }
}
