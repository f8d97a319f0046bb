//! Execution of one request, from its due time to its result.

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
use super::record::{AnsweredSearch, CallRecord, CallResult, parse_hit_key};
use super::stream::{CallKind, LoadStream};

/// Extra time for an answer that is on its way when the caller's own time limit ends.
const WAIT_GRACE: Duration = Duration::from_secs(1);
/// Delay before a request is sent again.
const RESEND_DELAY: Duration = Duration::from_millis(50);
/// Maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// A request that is due.
#[derive(Clone, Debug)]
pub(super) struct DueCall {
    pub(super) stream_index: usize,
    pub(super) request: Box<str>,
    pub(super) text: Box<str>,
    pub(super) shard: ShardId,
    pub(super) due: Duration,
    pub(super) due_at: Instant,
}

/// State that the calls of a load share.
#[derive(Clone)]
pub(super) struct CallContext {
    pub(super) client: Client,
    pub(super) daemons: DaemonList,
}

/// Failure of one send of a request.
enum SendFailure {
    /// No daemon accepted a connection.
    Unreachable(Box<str>),
    /// The connection was lost, or the response could not be parsed.
    Lost(Box<str>),
    /// The daemon answered with a typed refusal.
    Refused(Refusal),
}

/// Progress of one call over its sends.
struct CallProgress<'a> {
    context: &'a CallContext,
    stream: &'a LoadStream,
    call: &'a DueCall,
    sends: u32,
    lost_sends: u32,
    refusals: Vec<Refusal>,
}

/// Sends a request until it has a result, and records the result.
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
        CallKind::ExecuteWithoutTicket { .. } => progress.execute(None).await,
    };
    let CallProgress {
        sends,
        lost_sends,
        refusals,
        ..
    } = progress;
    CallRecord {
        stream: call.stream_index,
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
                    if let Some(result) = self.record_failure("search", failure).await {
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
                    if let Some(result) = self.record_failure("ticket", failure).await {
                        return result;
                    }
                }
            }
        };
        let mut copy_tasks = Vec::new();
        for _ in 1..copies {
            copy_tasks.push(actix_rt::spawn(send_copy(
                self.context.clone(),
                self.execute_body(Some(ticket.clone())),
                self.time_left() + WAIT_GRACE,
            )));
        }
        let result = self.execute(Some(ticket)).await;
        for copy_task in copy_tasks {
            self.sends += 1;
            if let Ok(Some(refusal)) = copy_task.await {
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
                    let text = parse_hit_key(&answer.result).map(|key| key.text);
                    let is_own = answer.request == self.call.request
                        && answer.complete
                        && text == Some(self.call.text.as_ref());
                    return CallResult::Executed {
                        repeated: answer.repeated,
                        foreign: !is_own,
                    };
                }
                Err(failure) => {
                    if let Some(result) = self.record_failure("execute", failure).await {
                        return result;
                    }
                    if ticket.is_none() {
                        return lost_call("execute", "not sent again without a ticket".into());
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

    /// Counts a failed send. Returns the result of the call if the request is not sent again.
    async fn record_failure(
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
            SendFailure::Unreachable(message) => message,
        };
        let may_resend = self.sends <= self.stream.max_resends && !self.time_left().is_zero();
        if !may_resend {
            return Some(lost_call(step, message));
        }
        actix_rt::time::sleep(RESEND_DELAY).await;
        None
    }
}

fn lost_call(step: &'static str, message: Box<str>) -> CallResult {
    CallResult::Lost { step, message }
}

/// Sends a further copy of a request. Returns its refusal, if it was refused.
async fn send_copy(context: CallContext, body: ExecuteBody, wait: Duration) -> Option<Refusal> {
    let sent = send_to_any::<_, ExecuteAnswer>(&context, "/v1/execute", &body, wait).await;
    match sent {
        Err(SendFailure::Refused(refusal)) => Some(refusal),
        Ok(_) | Err(SendFailure::Lost(_) | SendFailure::Unreachable(_)) => None,
    }
}

/// Sends a request to the first daemon that accepts a connection.
async fn send_to_any<B: Serialize, A: DeserializeOwned>(
    context: &CallContext,
    path: &str,
    body: &B,
    wait: Duration,
) -> Result<A, SendFailure> {
    let mut unreachable = SendFailure::Unreachable("no daemon is listed".into());
    for address in context.daemons.next_order() {
        match send_to(&context.client, address, path, body, wait).await {
            Err(SendFailure::Unreachable(message)) => {
                unreachable = SendFailure::Unreachable(message);
            }
            other => return other,
        }
    }
    Err(unreachable)
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
            SendRequestError::Connect(_) => SendFailure::Unreachable(message),
            _ => SendFailure::Lost(message),
        }
    })?;
    let unreadable =
        |message: String| SendFailure::Lost(format!("peer {address}: {message}").into());
    let status = response.status();
    let body = response.body().limit(MAX_ANSWER_BYTES).await;
    let body = body.map_err(|error| unreadable(error.to_string()))?;
    if status.is_success() {
        return serde_json::from_slice(&body).map_err(|error| unreadable(error.to_string()));
    }
    let refusal = serde_json::from_slice(&body);
    let refusal =
        refusal.map_err(|_error| unreadable(format!("status {status} without a typed refusal")))?;
    Err(SendFailure::Refused(refusal))
}
