//! The ledger of this daemon's tickets, and the callers that wait for the result of an execution.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use actix::Addr;
use tokio::sync::oneshot;
use xxhash_rust::xxh3::Xxh3;
use yuccalift_core::ids::{HostName, Incarnation};
use yuccalift_core::ticket_ledger::{
    ExecutionResult, LedgerLimits, RequestDigest, TicketClaim, TicketLedger, TicketNumber,
    TicketVerdict,
};
use yuccalift_core::{Refusal, RefusalCode};
use yuccalift_wire::caller::{ExecuteAnswer, ExecuteBody, Ticket, TicketGrant};

use super::execution::{answer, run_with_ticket};
use crate::events::LogEvent;
use crate::lane::EngineLane;

/// A caller that waits for the result of an execution.
struct ResultWaiter {
    number: TicketNumber,
    sender: oneshot::Sender<ExecutionResult>,
}

struct TicketState {
    ledger: TicketLedger,
    waiters: Vec<ResultWaiter>,
}

/// The tickets of one daemon, shared by the threads of its listeners.
pub(crate) struct TicketService {
    host: HostName,
    incarnation: Incarnation,
    max_execution_time: Duration,
    state: Mutex<TicketState>,
}

impl TicketService {
    pub(crate) fn new(host: HostName, incarnation: Incarnation) -> Arc<Self> {
        let limits = LedgerLimits::default();
        let ledger = TicketLedger::new(host.clone(), incarnation, limits);
        Arc::new(Self {
            host,
            incarnation,
            max_execution_time: limits.max_execution_time,
            state: Mutex::new(TicketState {
                ledger,
                waiters: Vec::new(),
            }),
        })
    }

    /// Grants a ticket that this daemon owns.
    pub(crate) fn grant(&self, account: &str) -> Result<TicketGrant, Refusal> {
        let mut state = self.lock();
        let number = state.ledger.grant(Instant::now(), account)?;
        let expires_in_ms = state.ledger.lifetime().as_millis() as u64;
        let ticket = Ticket {
            owner: self.host.clone(),
            incarnation: self.incarnation,
            number,
            account: account.into(),
        };
        Ok(TicketGrant {
            ticket,
            expires_in_ms,
        })
    }

    /// Returns whether a ticket was granted on this daemon's host, in any incarnation.
    pub(crate) fn is_owner(&self, ticket: &Ticket) -> bool {
        ticket.owner == self.host
    }

    /// Runs a request under its ticket, or returns the result of its earlier execution.
    ///
    /// The execution is a separate task, so that it completes and is remembered even if the caller
    /// has disconnected by then.
    pub(crate) async fn execute(
        self: &Arc<Self>,
        lane: &Addr<EngineLane>,
        ticket: &Ticket,
        body: &ExecuteBody,
    ) -> Result<ExecuteAnswer, Refusal> {
        let (verdict, result) = self.begin(ticket, body);
        LogEvent::TicketChecked {
            ticket: ticket.number,
            request: &body.request,
            verdict: verdict_name(&verdict),
        }
        .emit();
        match verdict {
            TicketVerdict::Run { time_left } => {
                let run = run_with_ticket(
                    Arc::clone(self),
                    lane.clone(),
                    ticket.number,
                    body,
                    time_left,
                );
                actix::spawn(run);
                answer(body, self.wait(result, body).await?, false)
            }
            TicketVerdict::Wait => answer(body, self.wait(result, body).await?, true),
            TicketVerdict::Repeat(result) => answer(body, result, true),
            TicketVerdict::Refuse(refusal) => Err(refusal.at_peer(self.host.clone())),
        }
    }

    /// Records the result of an execution in the ledger, and sends it to all callers that wait for
    /// it.
    pub(super) fn finish(&self, number: TicketNumber, result: ExecutionResult) {
        let mut state = self.lock();
        let result = state.ledger.finish(number, result);
        let (due, others) = std::mem::take(&mut state.waiters)
            .into_iter()
            .partition::<Vec<_>, _>(|waiter| waiter.number == number);
        state.waiters = others;
        drop(state);
        for waiter in due {
            let _waiter_may_have_gone = waiter.sender.send(result.clone());
        }
    }

    fn begin(
        &self,
        ticket: &Ticket,
        body: &ExecuteBody,
    ) -> (TicketVerdict, oneshot::Receiver<ExecutionResult>) {
        let claim = TicketClaim {
            owner: ticket.owner.clone(),
            incarnation: ticket.incarnation,
            number: ticket.number,
            ticket_account: ticket.account.clone(),
            request_account: body.account.clone(),
            digest: digest(body),
        };
        let (sender, receiver) = oneshot::channel();
        let mut state = self.lock();
        let verdict = state.ledger.begin(Instant::now(), &claim);
        if matches!(verdict, TicketVerdict::Run { .. } | TicketVerdict::Wait) {
            state.waiters.retain(|waiter| !waiter.sender.is_closed());
            state.waiters.push(ResultWaiter {
                number: ticket.number,
                sender,
            });
        }
        (verdict, receiver)
    }

    /// Waits for the result of an execution, at most for the caller's time limit.
    async fn wait(
        &self,
        result: oneshot::Receiver<ExecutionResult>,
        body: &ExecuteBody,
    ) -> Result<ExecutionResult, Refusal> {
        let limit = body
            .time_left_ms
            .map_or(self.max_execution_time, Duration::from_millis);
        let limit = limit.min(self.max_execution_time) + ANSWER_GRACE;
        match tokio::time::timeout(limit, result).await {
            Ok(Ok(result)) => Ok(result),
            Ok(Err(_closed)) => Err(unknown_outcome(
                RefusalCode::Internal,
                "the daemon stopped before the request ended",
            )),
            Err(_elapsed) => Err(unknown_outcome(
                RefusalCode::DeadlineExceeded,
                "the request is still running",
            )),
        }
    }

    fn lock(&self) -> MutexGuard<'_, TicketState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Time to wait beyond the deadline for the answer that the engine gives at the deadline.
const ANSWER_GRACE: Duration = Duration::from_millis(250);

fn unknown_outcome(code: RefusalCode, message: &str) -> Refusal {
    Refusal::unknown(code, "wait for execution", message)
}

fn verdict_name(verdict: &TicketVerdict) -> &'static str {
    match verdict {
        TicketVerdict::Run { .. } => "run",
        TicketVerdict::Wait => "wait",
        TicketVerdict::Repeat(_) => "repeat",
        TicketVerdict::Refuse(_) => "refuse",
    }
}

/// Hashes all parts of a request that determine its effect, each prefixed with its length.
fn digest(body: &ExecuteBody) -> RequestDigest {
    let mut hasher = Xxh3::new();
    let shard = body.shard.to_le_bytes();
    let parts: [&[u8]; 5] = [
        body.request.as_bytes(),
        body.account.as_bytes(),
        body.collection.as_bytes(),
        &shard,
        body.text.as_bytes(),
    ];
    for part in parts {
        hasher.update(&part.len().to_le_bytes());
        hasher.update(part);
    }
    hasher.digest128()
}
