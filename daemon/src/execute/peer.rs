//! The owner's end of a request that another daemon passes on.

use std::sync::Arc;

use actix::Addr;
use actix_web::http::StatusCode;
use actix_web::{HttpRequest, HttpResponse, web};
use yuccalift_core::{Refusal, RefusalCode};
use yuccalift_wire::codec::{from_rmp, to_rmp};
use yuccalift_wire::operator::KEY_HEADER;
use yuccalift_wire::peer::{PeerExecute, PeerExecuteReply};

use super::desk::TicketDesk;
use super::pass_on::PATH;
use crate::lane::EngineLane;

/// What the handler shares.
#[derive(Clone)]
pub(crate) struct PeerExecuteState {
    pub(crate) desk: Arc<TicketDesk>,
    pub(crate) lane: Addr<EngineLane>,
    pub(crate) key: Box<str>,
}

/// Adds the route to the peers' listener.
pub(crate) fn configure(config: &mut web::ServiceConfig) {
    config.route(PATH, web::post().to(execute));
}

async fn execute(
    state: web::Data<PeerExecuteState>,
    request: HttpRequest,
    body: Result<web::Bytes, actix_web::Error>,
) -> HttpResponse {
    if !has_key(&request, &state.key) {
        return HttpResponse::build(StatusCode::UNAUTHORIZED).finish();
    }
    let reply = match read(body) {
        Ok(message) => run(&state, message).await,
        Err(refusal) => PeerExecuteReply::Refused(refusal),
    };
    match to_rmp("write execute reply", "peer", &reply) {
        Ok(body) => HttpResponse::Ok().body(body),
        Err(_unwritable) => HttpResponse::InternalServerError().finish(),
    }
}

fn read(body: Result<web::Bytes, actix_web::Error>) -> Result<PeerExecute, Refusal> {
    let malformed = |message: String| {
        Refusal::unknown(RefusalCode::BadRequest, "read passed-on request", message)
    };
    let body = body.map_err(|error| malformed(error.to_string()))?;
    from_rmp("read passed-on request", "peer", &body).map_err(|error| malformed(error.to_string()))
}

async fn run(state: &PeerExecuteState, message: PeerExecute) -> PeerExecuteReply {
    let mut body = message.body;
    body.time_left_ms = Some(message.time_left_ms);
    let Some(ticket) = body.ticket.clone() else {
        return PeerExecuteReply::Refused(Refusal::not_run(
            RefusalCode::BadRequest,
            "read passed-on request",
            "only requests with a ticket are passed on",
        ));
    };
    match state.desk.execute(&state.lane, &ticket, &body).await {
        Ok(answer) => PeerExecuteReply::Ran(answer),
        Err(refusal) => PeerExecuteReply::Refused(refusal),
    }
}

/// Whether a request shows the shared key, compared in a time that does not tell where it differs.
fn has_key(request: &HttpRequest, key: &str) -> bool {
    let shown = request.headers().get(KEY_HEADER);
    let shown = shown.map_or(&[][..], awc::http::header::HeaderValue::as_bytes);
    shown.len() == key.len()
        && shown
            .iter()
            .zip(key.as_bytes())
            .fold(0, |differing, (left, right)| differing | (left ^ right))
            == 0
}
