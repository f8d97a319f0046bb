//! HTTP listener for callers: searches, tickets and non-idempotent requests.

use std::sync::Arc;
use std::time::Duration;

use actix::Addr;
use actix_web::http::StatusCode;
use actix_web::{HttpResponse, web};
use serde::de::DeserializeOwned;
use tokio::sync::oneshot;
use xxhash_rust::xxh3::Xxh3;
use yuccalift_core::event::EngineEvent;
use yuccalift_core::ids::{Fingerprint, QueryId};
use yuccalift_core::{Outcome, Refusal, RefusalCode, RequestKind, SearchAnswer, SearchRequest};
use yuccalift_wire::caller::{ExecuteAnswer, ExecuteBody, SearchBody, TicketBody};
use yuccalift_wire::codec::from_json;

use crate::execute::{OwnerClient, TicketService, run_without_ticket};
use crate::lane::{EngineLane, FeedEngine, SubmitRequest};
use crate::ready_flag::ReadyFlag;

/// State shared by the handlers of the callers' listener.
#[derive(Clone)]
pub(crate) struct CallerState {
    /// Data-path thread that runs the requests.
    pub(crate) lane: Addr<EngineLane>,
    /// Readiness of the daemon.
    pub(crate) ready: Arc<ReadyFlag>,
    /// Tickets granted by this daemon.
    pub(crate) tickets: Arc<TicketService>,
}

impl CallerState {
    /// Refuses with `NotReady` while no configuration is known; otherwise the refusal would wrongly
    /// say that the account is unknown.
    fn check_configured(&self) -> Result<(), Refusal> {
        if self.ready.is_configured() {
            return Ok(());
        }
        let message = "the daemon has no configuration yet";
        Err(Refusal::not_run(RefusalCode::NotReady, "admit", message))
    }
}

/// Registers the routes of the callers' listener.
pub(crate) fn configure(config: &mut web::ServiceConfig) {
    config.route("/v1/search", web::post().to(search));
    config.route("/v1/tickets", web::post().to(grant_ticket));
    config.route("/v1/execute", web::post().to(execute));
    config.route("/ready", web::get().to(ready));
}

async fn ready(state: web::Data<CallerState>) -> HttpResponse {
    if state.ready.is_ready() {
        HttpResponse::Ok().finish()
    } else {
        HttpResponse::ServiceUnavailable().finish()
    }
}

async fn search(state: web::Data<CallerState>, body: web::Bytes) -> HttpResponse {
    match run_search(&state, &body).await {
        Ok(answer) => HttpResponse::Ok().json(answer),
        Err(refusal) => refusal_response(&refusal),
    }
}

async fn run_search(state: &CallerState, body: &[u8]) -> Result<SearchAnswer, Refusal> {
    state.check_configured()?;
    let body: SearchBody = read_body("read search", body)?;
    let request = search_request(body);
    let mut guard = DisconnectGuard {
        lane: &state.lane,
        query: request.query,
        is_waiting: true,
    };
    let result = submit(&state.lane, request).await;
    guard.is_waiting = false;
    result
}

async fn grant_ticket(state: web::Data<CallerState>, body: web::Bytes) -> HttpResponse {
    let granted = state
        .check_configured()
        .and_then(|()| read_body::<TicketBody>("read ticket request", &body))
        .and_then(|body| state.tickets.grant(&body.account));
    match granted {
        Ok(grant) => HttpResponse::Ok().json(grant),
        Err(refusal) => refusal_response(&refusal),
    }
}

async fn execute(
    state: web::Data<CallerState>,
    owners: web::Data<OwnerClient>,
    body: web::Bytes,
) -> HttpResponse {
    match run_execute(&state, &owners, &body).await {
        Ok(answer) => HttpResponse::Ok().json(answer),
        Err(refusal) => refusal_response(&refusal),
    }
}

async fn run_execute(
    state: &CallerState,
    owners: &OwnerClient,
    body: &[u8],
) -> Result<ExecuteAnswer, Refusal> {
    state.check_configured()?;
    let body: ExecuteBody = read_body("read execute", body)?;
    match &body.ticket {
        None => run_without_ticket(&state.lane, &body).await,
        Some(ticket) if state.tickets.is_owner(ticket) => {
            state.tickets.execute(&state.lane, ticket, &body).await
        }
        Some(ticket) => owners.forward(ticket, &body).await,
    }
}

fn read_body<T: DeserializeOwned>(step: &str, body: &[u8]) -> Result<T, Refusal> {
    from_json(step, "caller", body)
        .map_err(|error| Refusal::not_run(RefusalCode::BadRequest, step, error.to_string()))
}

fn search_request(body: SearchBody) -> SearchRequest {
    let fingerprint = fingerprint(&[
        body.account.as_bytes(),
        body.collection.as_bytes(),
        body.text.as_bytes(),
    ]);
    SearchRequest {
        query: rand::random::<QueryId>(),
        request: body.request,
        account: body.account,
        collection: body.collection,
        kind: RequestKind::Search,
        text: body.text,
        limit: body.limit,
        fingerprint,
        time_left: body.time_left_ms.map(Duration::from_millis),
    }
}

/// Submits a request to the lane and waits for its answer.
pub(crate) async fn submit(
    lane: &Addr<EngineLane>,
    request: SearchRequest,
) -> Result<SearchAnswer, Refusal> {
    let (reply, answer) = oneshot::channel();
    if lane.try_send(SubmitRequest { request, reply }).is_err() {
        return Err(Refusal::not_run(
            RefusalCode::QueueFull,
            "submit",
            "the daemon is overloaded",
        ));
    }
    answer.await.unwrap_or_else(|_closed| {
        Err(Refusal::unknown(
            RefusalCode::Internal,
            "submit",
            "the daemon stopped before the request ended",
        ))
    })
}

/// Reports to the lane, when dropped, that the caller disconnected before its answer arrived, so
/// that targets stop working on the query.
struct DisconnectGuard<'lane> {
    lane: &'lane Addr<EngineLane>,
    query: QueryId,
    is_waiting: bool,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if self.is_waiting {
            self.lane
                .do_send(FeedEngine(EngineEvent::CallerDisconnected {
                    query: self.query,
                }));
        }
    }
}

/// Returns a hash that is equal for resent requests. The length of each part is hashed too, so
/// that moving a boundary between parts changes the result.
pub(crate) fn fingerprint(parts: &[&[u8]]) -> Fingerprint {
    let mut hasher = Xxh3::new();
    for part in parts {
        hasher.update(&part.len().to_le_bytes());
        hasher.update(part);
    }
    hasher.digest()
}

/// Converts a refusal into the HTTP response that carries it.
pub(crate) fn refusal_response(refusal: &Refusal) -> HttpResponse {
    HttpResponse::build(refusal_status(refusal)).json(refusal)
}

fn refusal_status(refusal: &Refusal) -> StatusCode {
    match refusal.code {
        RefusalCode::BadRequest => StatusCode::BAD_REQUEST,
        RefusalCode::KeyInvalid | RefusalCode::UnknownAccount => StatusCode::FORBIDDEN,
        RefusalCode::UnknownCollection => StatusCode::NOT_FOUND,
        RefusalCode::TicketInvalid => StatusCode::CONFLICT,
        RefusalCode::QueueFull | RefusalCode::RateLimited | RefusalCode::Hopeless => {
            StatusCode::TOO_MANY_REQUESTS
        }
        RefusalCode::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        RefusalCode::TargetLost | RefusalCode::OwnerUnreachable => StatusCode::BAD_GATEWAY,
        RefusalCode::Internal if refusal.outcome == Outcome::Unknown => {
            StatusCode::INTERNAL_SERVER_ERROR
        }
        RefusalCode::NotReady
        | RefusalCode::Stopping
        | RefusalCode::Quarantined
        | RefusalCode::NoSnapshot
        | RefusalCode::TargetRefused
        | RefusalCode::Internal => StatusCode::SERVICE_UNAVAILABLE,
    }
}
