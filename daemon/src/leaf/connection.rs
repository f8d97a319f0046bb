//! One connection to a target: an `awc` client that holds one stream for its whole life.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use awc::http::header::{CONTENT_TYPE, HOST};
use awc::http::{Method, StatusCode};
use awc::{Client, Connector, FrozenClientRequest};
use yuccalift_core::connection_watch::ConnectionId;

use super::stream::{ConnectionPlace, SingleConnector, StreamRecord};

/// The longest that a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long the pool beneath may keep an idle stream; the keep-alive probes decide before that.
const STREAM_KEEP: Duration = Duration::from_secs(24 * 60 * 60);
/// The largest reply that is read, in bytes.
const REPLY_LIMIT: usize = 4 * 1024 * 1024;

/// What a target is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LeafCall {
    Search,
    Execute,
    Cancel,
    Ping,
    Status,
}

/// The requests of each kind, made once for each target so that a call costs no formatting.
#[derive(Debug)]
pub(super) struct LeafPaths {
    address: SocketAddr,
    host: Box<str>,
}

impl LeafPaths {
    pub(super) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            host: address.to_string().into(),
        }
    }

    pub(super) fn host(&self) -> &str {
        &self.host
    }

    fn freeze(&self, client: &Client, method: Method, path: &str) -> Option<FrozenClientRequest> {
        let request = client
            .request(method, format!("http://{}{path}", self.host))
            .insert_header((HOST, self.host.as_ref()))
            .insert_header((CONTENT_TYPE, "application/json"));
        request.freeze().ok()
    }
}

/// A whole answer, not yet read.
#[derive(Debug)]
pub(super) struct LeafAnswer {
    pub(super) status: StatusCode,
    pub(super) body: actix_web::web::Bytes,
}

/// The exchange failed beneath the messages; the connection can't be used again.
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
    _place: Rc<ConnectionPlace>,
}

impl LeafConnection {
    /// Makes a connection, whose stream is opened by its first call.
    ///
    /// None if the address gives no valid URL, which no socket address does.
    pub(super) fn new(
        id: ConnectionId,
        paths: &LeafPaths,
        place: Rc<ConnectionPlace>,
    ) -> Option<Self> {
        let record = StreamRecord::new(Instant::now());
        let connector = Connector::new()
            .connector(SingleConnector {
                address: paths.address,
                record: Rc::clone(&record),
                place: Rc::clone(&place),
            })
            .limit(1)
            .timeout(CONNECT_TIMEOUT)
            .disconnect_timeout(Duration::ZERO)
            .conn_keep_alive(STREAM_KEEP)
            .conn_lifetime(STREAM_KEEP);
        let client = Client::builder()
            .connector(connector)
            .disable_timeout()
            .disable_redirects()
            .finish();
        Some(Self {
            id,
            record,
            search: paths.freeze(&client, Method::POST, "/search")?,
            execute: paths.freeze(&client, Method::POST, "/execute")?,
            cancel: paths.freeze(&client, Method::POST, "/cancel")?,
            ping: paths.freeze(&client, Method::GET, "/ping")?,
            status: paths.freeze(&client, Method::GET, "/status")?,
            _place: place,
        })
    }

    /// Sends one request, its first byte before `write_by`, and reads the whole answer.
    pub(super) async fn exchange(
        &self,
        call: LeafCall,
        body: Vec<u8>,
        write_by: Option<Instant>,
    ) -> Result<LeafAnswer, ExchangeError> {
        self.record.arm(write_by);
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
        let mut response = sent.await.map_err(|_beneath| ExchangeError)?;
        let status = response.status();
        let body = response
            .body()
            .limit(REPLY_LIMIT)
            .await
            .map_err(|_beneath| ExchangeError)?;
        Ok(LeafAnswer { status, body })
    }
}
