//! One request to one target.

use std::time::Instant;

use actix_http::RequestHead;
use actix_http::header::HeaderMap;
use actix_web::web::Bytes;
use tokio_util::sync::CancellationToken;
use yuccalift_core::ids::Fingerprint;
use yuccalift_core::relay::{AttemptOrder, TargetOutcome};
use yuccalift_exchange::{ExchangeError, OutgoingRequest};
use yuccalift_platform::target;

use super::pool::{CheckedLink, LinkPool};
use crate::caller::fingerprint;

/// What a caller sent, as it is passed on to each target.
pub(super) struct CallerMessage {
    /// The caller's name for this try.
    pub(super) request: Box<str>,
    /// The head as it came.
    pub(super) head: RequestHead,
    /// The headers that are passed on.
    pub(super) passed: HeaderMap,
    /// The body, if there is one.
    pub(super) body: Option<Bytes>,
}

impl CallerMessage {
    /// A hash of all that is asked of a host, equal for the same request sent again.
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

/// Sends a request to a target and waits for what becomes of it.
pub(super) async fn run_attempt(
    pool: &LinkPool,
    order: &AttemptOrder,
    message: &CallerMessage,
    cancel: CancellationToken,
) -> TargetOutcome {
    let deadline = tokio::time::Instant::from_std(order.deadline);
    let link = tokio::select! {
        link = pool.check_out(order) => link,
        () = cancel.cancelled() => return TargetOutcome::Abandoned { sent: false },
        () = tokio::time::sleep_until(deadline) => {
            return TargetOutcome::Abandoned { sent: false };
        }
    };
    let Ok(link) = link else {
        return TargetOutcome::NotSent;
    };
    let now = Instant::now();
    if now >= order.deadline || cancel.is_cancelled() {
        return TargetOutcome::Abandoned { sent: false };
    }
    // Dropping the exchange closes the connection, by which the target learns to stop.
    tokio::select! {
        outcome = exchange(pool, link, order, message, now) => outcome,
        () = cancel.cancelled() => TargetOutcome::Abandoned { sent: true },
        () = tokio::time::sleep_until(deadline) => TargetOutcome::Abandoned { sent: true },
    }
}

async fn exchange(
    pool: &LinkPool,
    checked: CheckedLink,
    order: &AttemptOrder,
    message: &CallerMessage,
    now: Instant,
) -> TargetOutcome {
    let CheckedLink { mut link, new } = checked;
    let left = order.deadline.saturating_duration_since(now);
    let head = target::request_head(&message.head, &message.passed, &order.name, left);
    let request = OutgoingRequest {
        head,
        body: message.body.clone(),
    };
    let is_own = |head: &_| target::is_answer_to(head, &message.request);
    match link.exchange(request, is_own).await {
        Ok(answer) => {
            if answer.reusable {
                pool.put_back(order.target, link, answer.idle_timeout());
            }
            target::classify_answer(answer)
        }
        Err(ExchangeError::Garbled { .. }) => TargetOutcome::Garbled,
        Err(ExchangeError::ConnectionFailed { source, .. }) => {
            if new {
                pool.note_reset(source.kind());
            }
            TargetOutcome::Lost
        }
        Err(ExchangeError::UnexpectedEnd { .. }) => TargetOutcome::Lost,
    }
}
