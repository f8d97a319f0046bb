//! One connection to a target: an `awc` client that uses a single stream for its whole life.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use awc::http::header::{CONTENT_TYPE, HOST};
use awc::http::{Method, StatusCode};
use awc::{Client, Connector, FrozenClientRequest};
use yuccalift_core::connection_watch::ConnectionId;

use super::stream::{ConnectionSlot, SingleConnector, StreamRecord};

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Idle limit of the `awc` connection pool, set so high that the keep-alive probes decide first.
const STREAM_KEEP_ALIVE: Duration = Duration::from_secs(24 * 60 * 60);
/// Maximum size of a reply body in bytes.
const MAX_REPLY_BYTES: usize = 4 * 1024 * 1024;

/// Kind of call to a target, which selects the prepared request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LeafCall {
    Search,
    Execute,
    Cancel,
    Ping,
    Status,
}

/// Address of a target, formatted once so that calls need no formatting.
#[derive(Debug)]
pub(super) struct LeafEndpoint {
    address: SocketAddr,
    host: Box<str>,
}

impl LeafEndpoint {
    pub(super) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            host: address.to_string().into(),
        }
    }

    pub(super) fn host(&self) -> &str {
        &self.host
    }

    fn freeze_request(
        &self,
        client: &Client,
        method: Method,
        path: &str,
    ) -> Option<FrozenClientRequest> {
        let request = client
            .request(method, format!("http://{}{path}", self.host))
            .insert_header((HOST, self.host.as_ref()))
            .insert_header((CONTENT_TYPE, "application/json"));
        request.freeze().ok()
    }
}

/// Status and complete body of an answer that has not been parsed yet.
#[derive(Debug)]
pub(super) struct LeafAnswer {
    pub(super) status: StatusCode,
    pub(super) body: actix_web::web::Bytes,
}

/// Transport failure of an exchange; the connection can't be used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ExchangeError;

/// One connection to a target.
pub(super) struct LeafConnection {
    pub(super) id: ConnectionId,
    pub(super) record: Rc<StreamRecord>,
    search: FrozenClientRequest,
    execute: FrozenClientRequest,
    cancel: FrozenClientRequest,
    ping: FrozenClientRequest,
    status: FrozenClientRequest,
    _slot: Rc<ConnectionSlot>,
}

impl LeafConnection {
    /// Creates a connection whose stream is opened by the first call.
    ///
    /// Returns `None` if the address does not form a valid URL; every socket address forms one.
    pub(super) fn new(
        id: ConnectionId,
        endpoint: &LeafEndpoint,
        slot: Rc<ConnectionSlot>,
    ) -> Option<Self> {
        let record = StreamRecord::new(Instant::now());
        let connector = Connector::new()
            .connector(SingleConnector {
                address: endpoint.address,
                record: Rc::clone(&record),
                slot: Rc::clone(&slot),
            })
            .limit(1)
            .timeout(CONNECT_TIMEOUT)
            .disconnect_timeout(Duration::ZERO)
            .conn_keep_alive(STREAM_KEEP_ALIVE)
            .conn_lifetime(STREAM_KEEP_ALIVE);
        let client = Client::builder()
            .connector(connector)
            .disable_timeout()
            .disable_redirects()
            .finish();
        Some(Self {
            id,
            record,
            search: endpoint.freeze_request(&client, Method::POST, "/search")?,
            execute: endpoint.freeze_request(&client, Method::POST, "/execute")?,
            cancel: endpoint.freeze_request(&client, Method::POST, "/cancel")?,
            ping: endpoint.freeze_request(&client, Method::GET, "/ping")?,
            status: endpoint.freeze_request(&client, Method::GET, "/status")?,
            _slot: slot,
        })
    }

    /// Sends one request and reads the complete answer. The request is withheld if its first byte
    /// can't be written before `write_deadline`.
    pub(super) async fn exchange(
        &self,
        call: LeafCall,
        body: Vec<u8>,
        write_deadline: Option<Instant>,
    ) -> Result<LeafAnswer, ExchangeError> {
        self.record.start_request(write_deadline);
        let request = match call {
            LeafCall::Search => &self.search,
            LeafCall::Execute => &self.execute,
            LeafCall::Cancel => &self.cancel,
            LeafCall::Ping => &self.ping,
            LeafCall::Status => &self.status,
        };
        let sent = match call {
            LeafCall::Search | LeafCall::Execute | LeafCall::Cancel => request.send_body(body),
            LeafCall::Ping | LeafCall::Status => request.send(),
        };
        let mut response = sent.await.map_err(|_source| ExchangeError)?;
        let status = response.status();
        let body = response
            .body()
            .limit(MAX_REPLY_BYTES)
            .await
            .map_err(|_source| ExchangeError)?;
        Ok(LeafAnswer { status, body })
    }
}
