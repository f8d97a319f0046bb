//! Sends a message of the control plane to a peer: [`call_peer`].

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::header::{HOST, HeaderValue};
use actix_http::{Method, RequestHead, ServiceConfig, StatusCode, Uri};
use yuccalift_core::control::ExchangeMessage;
use yuccalift_exchange::{
    AnswerOwner, ExchangeLink, LinkOptions, OutgoingRequest, TransferLimit, TransferProgress,
};
use yuccalift_wire::codec::{from_rmp, to_rmp};
use yuccalift_wire::peer::EXCHANGE_PATH;

use crate::control::EXCHANGE_TIMEOUT;

/// Connect timeout and liveness probing of connections to peers.
pub(super) const PEER_LINK_OPTIONS: LinkOptions = LinkOptions {
    connect_timeout: Duration::from_millis(500),
    keepalive_interval: Duration::from_secs(1),
    keepalive_probes: 2,
};
/// Time limits of an exchange: a configuration may be long and the links between daemons narrow.
const EXCHANGE_LIMIT: TransferLimit = TransferLimit {
    stall: EXCHANGE_TIMEOUT,
    total: Duration::from_secs(10),
};

/// Sends a message to a peer and returns its answer, or what went wrong.
pub(super) async fn call_peer(
    peer: SocketAddr,
    message: &ExchangeMessage,
    link_config: &ServiceConfig,
) -> Result<ExchangeMessage, String> {
    let progress = TransferProgress::default();
    let call = exchange(peer, message, link_config, progress.clone());
    let result = progress.run(EXCHANGE_LIMIT, call).await;
    result.unwrap_or_else(|| Err("timed out".to_owned()))
}

async fn exchange(
    peer: SocketAddr,
    message: &ExchangeMessage,
    link_config: &ServiceConfig,
    progress: TransferProgress,
) -> Result<ExchangeMessage, String> {
    let name = peer.to_string();
    let body = to_rmp("write exchange", &name, message).map_err(|error| error.to_string())?;
    let mut link = ExchangeLink::open(peer, &PEER_LINK_OPTIONS, link_config)
        .await
        .map_err(|error| error.to_string())?
        .counting(progress);
    let mut head = RequestHead::default();
    head.method = Method::POST;
    head.uri = Uri::from_static(EXCHANGE_PATH);
    if let Ok(host) = HeaderValue::from_str(&name) {
        head.headers.insert(HOST, host);
    }
    let request = OutgoingRequest::new(head, Some(body.into()));
    let answer = link
        .exchange(request, |_head| AnswerOwner::ThisRequest)
        .await;
    let answer = answer.map_err(|error| error.to_string())?;
    if answer.status != StatusCode::OK {
        return Err(format!("status {}", answer.status));
    }
    from_rmp("read exchange", &name, &answer.body).map_err(|error| error.to_string())
}
