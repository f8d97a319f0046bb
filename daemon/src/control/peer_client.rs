//! Client for exchanges with peers.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use awc::{Client, Connector};
use yuccalift_core::control::ExchangeMessage;
use yuccalift_core::control::exchange::MAX_MESSAGE_BYTES;
use yuccalift_wire::codec::{from_rmp, to_rmp};
use yuccalift_wire::operator::KEY_HEADER;
use yuccalift_wire::peer::EXCHANGE_PATH;

use super::control_traffic::ControlTraffic;

/// Time limit for one exchange, beyond the time in which its message is sent.
pub(crate) const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Slowest rate at which a message must be sent, in bytes per second.
const MIN_SEND_RATE: f64 = 250_000.0;
/// How long an idle connection to the platform is kept open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Failure of an exchange with a peer.
#[derive(Clone, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("exchange, peer {peer}: {message}"))]
pub(crate) struct ExchangeError {
    peer: SocketAddr,
    message: Box<str>,
}

/// Creates the HTTP client for calls to peers and to the platform.
pub(crate) fn control_client(local_address: Option<IpAddr>) -> Client {
    let mut connector = Connector::new()
        .timeout(EXCHANGE_TIMEOUT)
        .conn_keep_alive(IDLE_TIMEOUT);
    if let Some(address) = local_address {
        connector = connector.local_address(address);
    }
    Client::builder()
        .connector(connector)
        .disable_redirects()
        .finish()
}

/// Sends a message to a peer and returns its answer.
///
/// The connection is closed afterwards. A random peer is rarely contacted again soon, and the
/// client closes an idle connection only at the next call to the same peer, so that a daemon would
/// end up holding one to each member of its data centre.
pub(crate) async fn exchange(
    client: Client,
    peer: SocketAddr,
    key: &str,
    message: &ExchangeMessage,
    traffic: &ControlTraffic,
) -> Result<ExchangeMessage, ExchangeError> {
    let fail = |message: String| ExchangeError {
        peer,
        message: message.into(),
    };
    let name = peer.to_string();
    let body = to_rmp("write exchange", &name, message).map_err(|error| fail(error.to_string()))?;
    traffic.count_sent(body.len());
    let request = client
        .post(format!("http://{peer}{EXCHANGE_PATH}"))
        .force_close()
        .timeout(EXCHANGE_TIMEOUT + Duration::from_secs_f64(body.len() as f64 / MIN_SEND_RATE))
        .insert_header((KEY_HEADER, key));
    let sent = request.send_body(body).await;
    let mut response = sent.map_err(|error| fail(error.to_string()))?;
    if !response.status().is_success() {
        return Err(fail(format!("status {}", response.status())));
    }
    let body = response.body().limit(MAX_MESSAGE_BYTES).await;
    let body = body.map_err(|error| fail(error.to_string()))?;
    traffic.count_received(body.len());
    from_rmp("read exchange", &name, &body).map_err(|error| fail(error.to_string()))
}
