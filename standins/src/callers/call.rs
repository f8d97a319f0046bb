//! One request, from when it is due to its result.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use awc::Client;
use awc::error::SendRequestError;
use serde::Serialize;
use serde::de::DeserializeOwned;
use yuccalift_core::ids::ShardId;
use yuccalift_core::{Refusal, SearchAnswer};
use yuccalift_wire::caller::{
    DEFAULT_HIT_LIMIT, ExecuteAnswer, ExecuteBody, SearchBody, Ticket, TicketBody, TicketGrant,
};

use super::balancer::DaemonList;
use super::record::{AnsweredSearch, CallRecord, CallResult, read_key};
use super::stream::{CallKind, LoadStream};

/// How much longer than it said a caller waits, for an answer that is on its way.
const WAIT_GRACE: Duration = Duration::from_secs(1);
/// How long a caller waits before it sends its request again.
const RESEND_PAUSE: Duration = Duration::from_millis(50);
/// The largest answer that is read, in bytes.
const ANSWER_LIMIT: usize = 16 << 20;

/// One request that is to be made.
#[derive(Clone, Debug)]
pub(super) struct DueCall {
    pub(super) position: usize,
    pub(super) request: Box<str>,
    pub(super) text: Box<str>,
    pub(super) shard: ShardId,
    pub(super) due: Duration,
    pub(super) due_at: Instant,
}

/// What the calls of a load share.
#[derive(Clone)]
pub(super) struct CallContext {
    pub(super) client: Client,
    pub(super) daemons: DaemonList,
}

/// What one sending got, if not an answer.
enum SendFailure {
    /// No daemon could be connected to.
    Unreached(Box<str>),
    /// The connection was lost, or what came could not be read.
    Lost(Box<str>),
    /// A typed refusal.
    Refused(Refusal),
}

/// The progress of one call over its sendings.
struct CallProgress<'a> {
    context: &'a CallContext,
    stream: &'a LoadStream,
    call: &'a DueCall,
    sends: u32,
    lost_sends: u32,
    refusals: Vec<Refusal>,
}

/// Makes a request and records what it got.
pub(super) async fn make_call(
    context: &CallContext,
    stream: &LoadStream,
    call: DueCall,
) -> CallRecord {
    let mut progress = CallProgress {
        context,
        stream,
        call: &call,
        sends: 0,
        lost_sends: 0,
        refusals: Vec::new(),
    };
    let result = match &stream.kind {
        CallKind::Search => progress.search().await,
        CallKind::Execute { copies, .. } => progress.execute_with_ticket(*copies).await,
        CallKind::ExecuteOnce { .. } => progress.execute(None).await,
    };
    let CallProgress {
        sends,
        lost_sends,
        refusals,
        ..
    } = progress;
    CallRecord {
        stream: call.position,
        request: call.request.clone(),
        due: call.due,
        latency: call.due_at.elapsed(),
        sends,
        lost_sends,
        refusals,
        result,
    }
}

impl CallProgress<'_> {
    fn time_left(&self) -> Duration {
        self.stream.wait.saturating_sub(self.call.due_at.elapsed())
    }

    fn time_left_ms(&self) -> u64 {
        (self.time_left().as_millis() as u64).max(1)
    }

    async fn search(&mut self) -> CallResult {
        loop {
            let body = SearchBody {
                request: self.call.request.clone(),
                account: self.stream.account.clone(),
                collection: self.stream.collection.clone(),
                text: self.call.text.clone(),
                limit: DEFAULT_HIT_LIMIT,
                time_left_ms: Some(self.time_left_ms()),
            };
            match self.send::<_, SearchAnswer>("/v1/search", &body).await {
                Ok(answer) => {
                    let DueCall { request, text, .. } = self.call;
                    return CallResult::Answered(AnsweredSearch::read(&answer, request, text));
                }
                Err(failure) => {
                    if let Some(result) = self.take_failure("search", failure).await {
                        return result;
                    }
                }
            }
        }
    }

    async fn execute_with_ticket(&mut self, copies: u32) -> CallResult {
        let body = TicketBody {
            account: self.stream.account.clone(),
        };
        let ticket = loop {
            match self.send::<_, TicketGrant>("/v1/tickets", &body).await {
                Ok(grant) => break grant.ticket,
                Err(failure) => {
                    if let Some(result) = self.take_failure("ticket", failure).await {
                        return result;
                    }
                }
            }
        };
        let mut others = Vec::new();
        for _ in 1..copies {
            others.push(actix_rt::spawn(send_copy(
                self.context.clone(),
                self.execute_body(Some(ticket.clone())),
                self.time_left() + WAIT_GRACE,
            )));
        }
        let result = self.execute(Some(ticket)).await;
        for other in others {
            self.sends += 1;
            if let Ok(Some(refusal)) = other.await {
                self.refusals.push(refusal);
            }
        }
        result
    }

    async fn execute(&mut self, ticket: Option<Ticket>) -> CallResult {
        loop {
            let body = self.execute_body(ticket.clone());
            match self.send::<_, ExecuteAnswer>("/v1/execute", &body).await {
                Ok(answer) => {
                    let text = read_key(&answer.result).map(|key| key.text);
                    let own = answer.request == self.call.request
                        && answer.complete
                        && text == Some(self.call.text.as_ref());
                    return CallResult::Executed {
                        repeated: answer.repeated,
                        foreign: !own,
                    };
                }
                Err(failure) => {
                    if let Some(result) = self.take_failure("execute", failure).await {
                        return result;
                    }
                    if ticket.is_none() {
                        return lost("execute", "not sent again without a ticket".into());
                    }
                }
            }
        }
    }

    fn execute_body(&self, ticket: Option<Ticket>) -> ExecuteBody {
        ExecuteBody {
            ticket,
            request: self.call.request.clone(),
            account: self.stream.account.clone(),
            collection: self.stream.collection.clone(),
            shard: self.call.shard,
            text: self.call.text.clone(),
            time_left_ms: Some(self.time_left_ms()),
        }
    }

    async fn send<B: Serialize, A: DeserializeOwned>(
        &mut self,
        path: &str,
        body: &B,
    ) -> Result<A, SendFailure> {
        self.sends += 1;
        let wait = self.time_left() + WAIT_GRACE;
        send_to_any(self.context, path, body, wait).await
    }

    /// Counts a failure; the result if the request is not sent again.
    async fn take_failure(
        &mut self,
        step: &'static str,
        failure: SendFailure,
    ) -> Option<CallResult> {
        let message = match failure {
            SendFailure::Refused(refusal) => {
                self.refusals.push(refusal.clone());
                return Some(CallResult::Refused(refusal));
            }
            SendFailure::Lost(message) => {
                self.lost_sends += 1;
                message
            }
            SendFailure::Unreached(message) => message,
        };
        let may_resend = self.sends <= self.stream.resends && !self.time_left().is_zero();
        if !may_resend {
            return Some(lost(step, message));
        }
        actix_rt::time::sleep(RESEND_PAUSE).await;
        None
    }
}

fn lost(step: &'static str, message: Box<str>) -> CallResult {
    CallResult::Lost { step, message }
}

/// Sends a further copy of a request; what it was refused with, if it was.
async fn send_copy(context: CallContext, body: ExecuteBody, wait: Duration) -> Option<Refusal> {
    let sent = send_to_any::<_, ExecuteAnswer>(&context, "/v1/execute", &body, wait).await;
    match sent {
        Err(SendFailure::Refused(refusal)) => Some(refusal),
        Ok(_) | Err(SendFailure::Lost(_) | SendFailure::Unreached(_)) => None,
    }
}

/// Sends to the next daemon that accepts a connection.
async fn send_to_any<B: Serialize, A: DeserializeOwned>(
    context: &CallContext,
    path: &str,
    body: &B,
    wait: Duration,
) -> Result<A, SendFailure> {
    let mut unreached = SendFailure::Unreached("no daemon is listed".into());
    for address in context.daemons.next_order() {
        match send_to(&context.client, address, path, body, wait).await {
            Err(SendFailure::Unreached(message)) => unreached = SendFailure::Unreached(message),
            other => return other,
        }
    }
    Err(unreached)
}

async fn send_to<B: Serialize, A: DeserializeOwned>(
    client: &Client,
    address: SocketAddr,
    path: &str,
    body: &B,
    wait: Duration,
) -> Result<A, SendFailure> {
    let url = format!("http://{address}{path}");
    let request = client.post(url).timeout(wait);
    let mut response = request.send_json(body).await.map_err(|error| {
        let message = format!("peer {address}: {error}").into();
        match error {
            SendRequestError::Connect(_) => SendFailure::Unreached(message),
            _ => SendFailure::Lost(message),
        }
    })?;
    let unreadable =
        |message: String| SendFailure::Lost(format!("peer {address}: {message}").into());
    let status = response.status();
    let body = response.body().limit(ANSWER_LIMIT).await;
    let body = body.map_err(|error| unreadable(error.to_string()))?;
    if status.is_success() {
        return serde_json::from_slice(&body).map_err(|error| unreadable(error.to_string()));
    }
    let refusal = serde_json::from_slice(&body);
    let refusal = refusal.map_err(|_error| unreadable(format!("untyped status {status}")))?;
    Err(SendFailure::Refused(refusal))
}
