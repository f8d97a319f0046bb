//! Listener for peers: exchanges over HTTP, authenticated by the shared key.

use actix::Addr;
use actix_web::{HttpRequest, HttpResponse, web};
use yuccalift_core::control::exchange::MAX_MESSAGE_BYTES;
use yuccalift_core::{Refusal, RefusalCode};
use yuccalift_wire::codec::{from_rmp, to_rmp};
use yuccalift_wire::peer::{EXCHANGE_PATH, ExchangeMessage};

use super::control_lane::{ControlLane, ReceiveExchange};
use crate::caller::refusal_response;
use crate::listener::has_valid_key;

/// State shared by the handlers of the peers' listener.
#[derive(Clone, Debug)]
pub struct PeerState {
    /// Control lane that answers exchanges.
    pub lane: Addr<ControlLane>,
    /// Key that a peer must present.
    pub key: Box<str>,
}

/// Adds the route for exchanges to a listener.
pub fn configure(config: &mut web::ServiceConfig) {
    let resource = web::resource(EXCHANGE_PATH)
        .app_data(web::PayloadConfig::new(MAX_MESSAGE_BYTES))
        .route(web::post().to(receive_exchange));
    config.service(resource);
}

async fn receive_exchange(
    request: HttpRequest,
    state: web::Data<PeerState>,
    body: web::Bytes,
) -> HttpResponse {
    if !has_valid_key(&request, &state.key) {
        return HttpResponse::Forbidden().finish();
    }
    answer(&request, &state.lane, &body).await
}

/// Answers an exchange whose key has already been checked.
pub(crate) async fn answer(
    request: &HttpRequest,
    lane: &Addr<ControlLane>,
    body: &[u8],
) -> HttpResponse {
    let peer = request
        .peer_addr()
        .map_or_else(String::new, |peer| peer.to_string());
    let message: ExchangeMessage = match from_rmp("read exchange", &peer, body) {
        Ok(message) => message,
        Err(error) => {
            let code = RefusalCode::BadRequest;
            let refusal = Refusal::not_run(code, "read exchange", error.to_string());
            return refusal_response(&refusal);
        }
    };
    let bytes = body.len();
    let Ok(reply) = lane.send(ReceiveExchange { message, bytes }).await else {
        return HttpResponse::ServiceUnavailable().finish();
    };
    match to_rmp("write exchange", &peer, &reply) {
        Ok(body) => HttpResponse::Ok()
            .content_type("application/msgpack")
            .body(body),
        Err(error) => HttpResponse::InternalServerError().body(error.to_string()),
    }
}
