//! The connections to one target, and the calls over them.
//!
//! Each connection is an `awc` client of its own that holds one connection, so that the daemon
//! knows which connection a call used, how many it holds, and can retire one by itself.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use awc::Client;
use awc::http::StatusCode;
use yuccalift_core::action::AttemptPlan;
use yuccalift_core::event::{AttemptFailure, AttemptReply, EngineEvent};
use yuccalift_core::ids::AttemptId;
use yuccalift_core::search::RequestKind;
use yuccalift_wire::codec::{CodecError, from_json, to_json};
use yuccalift_wire::leaf::{LeafCancel, LeafRefusal, LeafRefusalCode, LeafReply, LeafRequest};

/// The longest that a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long an idle connection is kept.
const IDLE_KEEP: Duration = Duration::from_secs(600);
/// The largest reply that is read, in bytes.
const REPLY_LIMIT: usize = 4 * 1024 * 1024;
/// How long a request to cancel may take.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);

/// One connection to a target.
#[derive(Clone)]
struct LeafConnection {
    client: Client,
}

/// The connections of this daemon to one target.
pub(crate) struct LeafClient {
    address: SocketAddr,
    sender: Box<str>,
    state: RefCell<PoolState>,
}

#[derive(Default)]
struct PoolState {
    idle: Vec<LeafConnection>,
    open: u32,
    limit: u32,
}

impl LeafClient {
    /// Makes a client that holds no connection yet and may hold `limit` of them.
    pub(crate) fn new(address: SocketAddr, sender: &str, limit: u32) -> Rc<Self> {
        let state = RefCell::new(PoolState {
            limit,
            ..PoolState::default()
        });
        Rc::new(Self {
            address,
            sender: sender.into(),
            state,
        })
    }

    /// Changes how many connections may be held; those above it are closed once they are idle.
    pub(crate) fn set_limit(&self, limit: u32) {
        let mut state = self.state.borrow_mut();
        state.limit = limit;
        while state.open > limit && state.idle.pop().is_some() {
            state.open -= 1;
        }
    }

    /// Sends an attempt and waits for what becomes of it, until its deadline.
    pub(crate) async fn call(&self, plan: AttemptPlan) -> EngineEvent {
        let attempt = plan.attempt;
        match self.try_call(plan).await {
            Ok(reply) => EngineEvent::Reply(reply),
            Err(failure) => EngineEvent::Failed { attempt, failure },
        }
    }

    /// Asks the target to give up an attempt, if a connection is free for asking.
    pub(crate) async fn cancel(&self, attempt: AttemptId) {
        let Some(connection) = self.check_out() else {
            return;
        };
        let message = LeafCancel {
            sender: self.sender.clone(),
            attempt,
        };
        let sent = self.post(&connection, "cancel", &message);
        match tokio::time::timeout(CANCEL_TIMEOUT, sent).await {
            Ok(Ok(_response)) => self.check_in(connection),
            Ok(Err(_)) | Err(_) => self.discard(connection),
        }
    }

    async fn try_call(&self, plan: AttemptPlan) -> Result<AttemptReply, AttemptFailure> {
        let connection = self.check_out().ok_or(AttemptFailure::NotSent)?;
        let left = plan.deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            self.check_in(connection);
            return Err(AttemptFailure::Expired);
        }
        match tokio::time::timeout(left, self.exchange(&connection, &plan, left)).await {
            Ok(Ok(result)) => {
                self.check_in(connection);
                result
            }
            Ok(Err(failure)) => {
                self.discard(connection);
                Err(failure)
            }
            Err(_elapsed) => {
                self.discard(connection);
                Err(AttemptFailure::Lost)
            }
        }
    }

    /// One call; the outer error means that the connection can't be used again.
    async fn exchange(
        &self,
        connection: &LeafConnection,
        plan: &AttemptPlan,
        left: Duration,
    ) -> Result<Result<AttemptReply, AttemptFailure>, AttemptFailure> {
        let path = match plan.kind {
            RequestKind::Search => "search",
            RequestKind::Execute { .. } => "execute",
        };
        let message = self.request(plan, left);
        let mut response =
            self.post(connection, path, &message)
                .await
                .map_err(|error| match error {
                    awc::error::SendRequestError::Connect(_) => AttemptFailure::NotSent,
                    _ => AttemptFailure::Lost,
                })?;
        let status = response.status();
        let body = response
            .body()
            .limit(REPLY_LIMIT)
            .await
            .map_err(|_error| AttemptFailure::Lost)?;
        let peer = self.address.to_string();
        read_reply(status, &peer, &body).map_err(|_error| AttemptFailure::Garbled)
    }

    fn request(&self, plan: &AttemptPlan, left: Duration) -> LeafRequest {
        LeafRequest {
            request: plan.request.clone(),
            query: plan.query,
            attempt: plan.attempt,
            sender: self.sender.clone(),
            shard: plan.shard,
            epoch: plan.snapshot.epoch,
            version: plan.snapshot.version,
            text: plan.text.as_ref().into(),
            limit: plan.limit,
            time_left_ms: left.as_millis() as u64,
        }
    }

    fn post<T: serde::Serialize>(
        &self,
        connection: &LeafConnection,
        path: &str,
        message: &T,
    ) -> awc::SendClientRequest {
        let body = to_json("write leaf request", "leaf", message).unwrap_or_default();
        connection
            .client
            .post(format!("http://{}/{path}", self.address))
            .content_type("application/json")
            .send_body(body)
    }

    fn check_out(&self) -> Option<LeafConnection> {
        let mut state = self.state.borrow_mut();
        if let Some(connection) = state.idle.pop() {
            return Some(connection);
        }
        if state.open >= state.limit {
            return None;
        }
        state.open += 1;
        Some(open_connection())
    }

    fn check_in(&self, connection: LeafConnection) {
        let mut state = self.state.borrow_mut();
        if state.open > state.limit {
            state.open -= 1;
            return;
        }
        state.idle.push(connection);
    }

    fn discard(&self, connection: LeafConnection) {
        drop(connection);
        self.state.borrow_mut().open -= 1;
    }
}

fn open_connection() -> LeafConnection {
    let connector = awc::Connector::new()
        .limit(1)
        .timeout(CONNECT_TIMEOUT)
        .conn_keep_alive(IDLE_KEEP)
        .conn_lifetime(IDLE_KEEP);
    let client = Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects();
    LeafConnection {
        client: client.finish(),
    }
}

fn read_reply(
    status: StatusCode,
    peer: &str,
    body: &[u8],
) -> Result<Result<AttemptReply, AttemptFailure>, CodecError> {
    if status == StatusCode::OK {
        let reply: LeafReply = from_json("read leaf reply", peer, body)?;
        return Ok(Ok(attempt_reply(reply)));
    }
    let refusal: LeafRefusal = from_json("read leaf refusal", peer, body)?;
    Ok(Err(attempt_failure(refusal)))
}

fn attempt_reply(reply: LeafReply) -> AttemptReply {
    AttemptReply {
        attempt: reply.attempt,
        query: reply.query,
        shard: reply.shard,
        version: reply.version,
        held: reply.held,
        hits: reply.hits,
        complete: reply.complete,
    }
}

fn attempt_failure(refusal: LeafRefusal) -> AttemptFailure {
    if refusal.ran {
        return AttemptFailure::Cancelled;
    }
    match refusal.code {
        LeafRefusalCode::Shed => AttemptFailure::Shed,
        LeafRefusalCode::Draining => AttemptFailure::Draining,
        LeafRefusalCode::WrongVersion => AttemptFailure::WrongVersion { held: refusal.held },
        LeafRefusalCode::NotHosted => AttemptFailure::NotHosted,
        LeafRefusalCode::Expired => AttemptFailure::Expired,
        LeafRefusalCode::Cancelled => AttemptFailure::Cancelled,
    }
}
