//! One attempt: sends a request to one target and classifies the outcome.

use std::rc::Rc;
use std::time::Instant;

use actix_http::RequestHead;
use actix_web::web::Bytes;
use tokio_util::sync::CancellationToken;
use yuccalift_core::ids::Fingerprint;
use yuccalift_core::relay::{AttemptOrder, TargetOutcome};
use yuccalift_exchange::{ExchangeError, OutgoingRequest};
use yuccalift_platform::self_report::{DecodedReport, decode_report};
use yuccalift_platform::target;

use super::pool::{LinkPool, PooledLink};
use crate::caller::fingerprint;

/// A caller's request, as it is forwarded to each target.
pub(super) struct CallerMessage {
    /// Request id that the caller chose.
    pub(super) request_id: Box<str>,
    /// Head that is forwarded to each target.
    pub(super) head: Rc<RequestHead>,
    /// Request body; `None` if the request has none.
    pub(super) body: Option<Bytes>,
}

impl CallerMessage {
    /// Returns a hash of host, method, path and body, equal for repeats of the same request.
    pub(super) fn fingerprint(&self, host: &str) -> Fingerprint {
        let path = self.head.uri.path_and_query();
        fingerprint(&[
            host.as_bytes(),
            self.head.method.as_str().as_bytes(),
            path.map_or(&[], |path| path.as_str().as_bytes()),
            self.body.as_deref().unwrap_or_default(),
        ])
    }
}

/// The end of an attempt.
pub(super) struct AttemptEnd {
    pub(super) outcome: TargetOutcome,
    /// Time until which the connection of the attempt is kept for another one; `None` if it was
    /// closed.
    pub(super) idle_until: Option<Instant>,
    /// What the target said of itself, if it sent a complete answer.
    pub(super) report: Option<DecodedReport>,
}

impl AttemptEnd {
    fn closed(outcome: TargetOutcome) -> Self {
        Self {
            outcome,
            idle_until: None,
            report: None,
        }
    }
}

/// Sends a request to a target and waits for the outcome, the deadline or a cancellation.
/// `on_opened` is called when a new connection has been opened for it.
pub(super) async fn run_attempt(
    pool: &LinkPool,
    order: &AttemptOrder,
    message: &CallerMessage,
    cancel: CancellationToken,
    on_opened: impl FnOnce(),
) -> AttemptEnd {
    let unsent = || AttemptEnd::closed(TargetOutcome::Abandoned { sent: false });
    let unanswered = || AttemptEnd::closed(TargetOutcome::Abandoned { sent: true });
    let deadline = tokio::time::Instant::from_std(order.deadline);
    let link = tokio::select! {
        link = pool.check_out(order, &message.request_id) => link,
        () = cancel.cancelled() => return unsent(),
        () = tokio::time::sleep_until(deadline) => return unsent(),
    };
    let Ok(link) = link else {
        return AttemptEnd::closed(TargetOutcome::NotSent);
    };
    if link.history.is_new() {
        on_opened();
    }
    let now = Instant::now();
    if now >= order.deadline || cancel.is_cancelled() {
        return unsent();
    }
    // Dropping the exchange closes the connection, which tells the target to stop.
    tokio::select! {
        end = exchange(pool, link, order, message, now) => end,
        () = cancel.cancelled() => unanswered(),
        () = tokio::time::sleep_until(deadline) => unanswered(),
    }
}

async fn exchange(
    pool: &LinkPool,
    mut pooled: PooledLink,
    order: &AttemptOrder,
    message: &CallerMessage,
    now: Instant,
) -> AttemptEnd {
    let is_new = pooled.history.is_new();
    pooled
        .history
        .record(now, &message.request_id, order.deadline);
    let time_left = order.deadline.saturating_duration_since(now);
    let request = OutgoingRequest {
        head: Rc::clone(&message.head),
        headers: target::target_headers(&order.name, time_left),
        body: message.body.clone(),
    };
    let owner_of = |head: &_| target::answer_owner(head, &message.request_id, is_new);
    let outcome = match pooled.link.exchange(request, owner_of).await {
        Ok(answer) => {
            let is_reusable = answer.reusable && target::is_distinguishable(&answer);
            let idle_until =
                is_reusable.then(|| pool.put_back(order.target, pooled, answer.idle_timeout()));
            let report = decode_report(&answer);
            let outcome = target::classify_answer(answer, order.is_part);
            // Another target answered at the address.
            let is_own = outcome != TargetOutcome::Misdirected;
            return AttemptEnd {
                outcome,
                idle_until,
                report: is_own.then_some(report),
            };
        }
        Err(ExchangeError::Garbled { .. }) => TargetOutcome::Garbled,
        Err(ExchangeError::ConnectionFailed { source, .. }) => {
            if is_new {
                pool.record_reset(source.kind());
            }
            TargetOutcome::Lost
        }
        Err(ExchangeError::UnexpectedEnd { .. }) => TargetOutcome::Lost,
    };
    AttemptEnd::closed(outcome)
}
