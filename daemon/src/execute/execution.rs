//! Execution of a non-idempotent request, and conversion of the engine's answer.

use std::sync::Arc;
use std::time::Duration;

use actix::Addr;
use yuccalift_core::ids::QueryId;
use yuccalift_core::ticket_ledger::{ExecutionResult, TicketNumber};
use yuccalift_core::{Outcome, Refusal, RefusalCode, RequestKind, SearchAnswer, SearchRequest};
use yuccalift_wire::caller::{ExecuteAnswer, ExecuteBody};

use super::ticket_service::TicketService;
use crate::caller::{fingerprint, submit};
use crate::lane::EngineLane;

/// Runs a request that the ledger has admitted, and records its result in the ledger.
pub(super) fn run_with_ticket(
    tickets: Arc<TicketService>,
    lane: Addr<EngineLane>,
    number: TicketNumber,
    body: &ExecuteBody,
    time_left: Duration,
) -> impl Future<Output = ()> + use<> {
    let request = execute_request(body, Some(time_left));
    let guard = ExecutionGuard {
        tickets,
        number,
        is_finished: false,
    };
    async move { guard.finish(execution_result(submit(&lane, request).await)) }
}

/// Runs a request without a ticket once; its result is not remembered. The execution is a separate
/// task, so that it continues if the caller disconnects.
pub(crate) async fn run_without_ticket(
    lane: &Addr<EngineLane>,
    body: &ExecuteBody,
) -> Result<ExecuteAnswer, Refusal> {
    let request = execute_request(body, None);
    let lane = lane.clone();
    let task = actix::spawn(async move { execution_result(submit(&lane, request).await) });
    let result = task
        .await
        .unwrap_or_else(|_stopped| daemon_stopped_result());
    answer(body, result, false)
}

/// Converts the result of an execution into the caller's answer; `repeated` marks a remembered
/// result.
pub(super) fn answer(
    body: &ExecuteBody,
    result: ExecutionResult,
    repeated: bool,
) -> Result<ExecuteAnswer, Refusal> {
    match result {
        ExecutionResult::Ran(result) => Ok(ExecuteAnswer {
            request: body.request.clone(),
            outcome: Outcome::Ran,
            result,
            repeated,
            complete: true,
        }),
        ExecutionResult::Refused(refusal) => Err(refusal),
    }
}

/// Ensures that an execution ends in the ledger, even if its task is dropped.
struct ExecutionGuard {
    tickets: Arc<TicketService>,
    number: TicketNumber,
    is_finished: bool,
}

impl ExecutionGuard {
    fn finish(mut self, result: ExecutionResult) {
        self.is_finished = true;
        self.tickets.finish(self.number, result);
    }
}

impl Drop for ExecutionGuard {
    fn drop(&mut self) {
        if !self.is_finished {
            self.tickets.finish(self.number, daemon_stopped_result());
        }
    }
}

fn execute_request(body: &ExecuteBody, max_time: Option<Duration>) -> SearchRequest {
    let shard = body.shard.to_string();
    let requested = body.time_left_ms.map(Duration::from_millis);
    SearchRequest {
        query: rand::random::<QueryId>(),
        request: body.request.clone(),
        account: body.account.clone(),
        collection: body.collection.clone(),
        kind: RequestKind::Execute { shard: body.shard },
        text: body.text.clone(),
        limit: 1,
        fingerprint: fingerprint(&[
            body.account.as_bytes(),
            body.collection.as_bytes(),
            shard.as_bytes(),
            body.text.as_bytes(),
        ]),
        time_left: match (requested, max_time) {
            (Some(requested), Some(max_time)) => Some(requested.min(max_time)),
            (requested, max_time) => requested.or(max_time),
        },
    }
}

/// Converts an engine result into the result of an execution. Without the shard's reply the outcome
/// is unknown.
fn execution_result(result: Result<SearchAnswer, Refusal>) -> ExecutionResult {
    match result {
        Ok(answer) if answer.coverage.is_complete() && answer.coverage.asked == 1 => {
            let hit = answer.hits.into_iter().next();
            ExecutionResult::Ran(hit.map(|hit| hit.key).unwrap_or_default())
        }
        Ok(_answer) => ExecutionResult::Refused(Refusal::unknown(
            RefusalCode::TargetLost,
            "execute",
            "the target did not reply",
        )),
        Err(refusal) => ExecutionResult::Refused(refusal),
    }
}

fn daemon_stopped_result() -> ExecutionResult {
    ExecutionResult::Refused(Refusal::unknown(
        RefusalCode::Internal,
        "execute",
        "the daemon stopped before the request ended",
    ))
}
