//! Handler on the ticket's owner for requests that other daemons forward.

use std::sync::Arc;

use actix::Addr;
use actix_web::{HttpRequest, HttpResponse, web};
use yuccalift_core::{Refusal, RefusalCode};
use yuccalift_wire::codec::{from_rmp, to_rmp};
use yuccalift_wire::peer::{PeerExecute, PeerExecuteReply};

use super::forward::EXECUTE_PATH;
use super::ticket_service::TicketService;
use crate::lane::EngineLane;
use crate::listener::has_valid_key;

/// State shared by the handlers of forwarded requests.
#[derive(Clone)]
pub(crate) struct PeerExecuteState {
    pub(crate) tickets: Arc<TicketService>,
    pub(crate) lane: Addr<EngineLane>,
    pub(crate) key: Box<str>,
}

/// Adds the route for forwarded requests to the peers' listener.
pub(crate) fn configure(config: &mut web::ServiceConfig) {
    config.route(EXECUTE_PATH, web::post().to(execute));
}

async fn execute(
    state: web::Data<PeerExecuteState>,
    request: HttpRequest,
    body: web::Bytes,
) -> HttpResponse {
    if !has_valid_key(&request, &state.key) {
        return HttpResponse::Forbidden().finish();
    }
    let reply = match parse_message(&body) {
        Ok(message) => execute_forwarded(&state, message).await,
        Err(refusal) => PeerExecuteReply::Refused(refusal),
    };
    match to_rmp("write execute reply", "peer", &reply) {
        Ok(body) => HttpResponse::Ok().body(body),
        Err(_unwritable) => HttpResponse::InternalServerError().finish(),
    }
}

fn parse_message(body: &[u8]) -> Result<PeerExecute, Refusal> {
    let step = "read passed-on request";
    from_rmp(step, "peer", body)
        .map_err(|error| Refusal::not_run(RefusalCode::BadRequest, step, error.to_string()))
}

async fn execute_forwarded(state: &PeerExecuteState, message: PeerExecute) -> PeerExecuteReply {
    let mut body = message.body;
    body.time_left_ms = Some(message.time_left_ms);
    let Some(ticket) = body.ticket.clone() else {
        return PeerExecuteReply::Refused(Refusal::not_run(
            RefusalCode::BadRequest,
            "read passed-on request",
            "only requests with a ticket are forwarded",
        ));
    };
    match state.tickets.execute(&state.lane, &ticket, &body).await {
        Ok(answer) => PeerExecuteReply::Ran(answer),
        Err(refusal) => PeerExecuteReply::Refused(refusal),
    }
}
