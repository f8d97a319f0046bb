//! Forwards a caller's request to a peer: [`PeerLinks::forward`].
//!
//! The peer gets the request on its listener for peers, as the caller sent it, with a header that
//! keeps the peer from forwarding it again. See `docs/DESIGN.md`, "Hosts without targets".

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::body::BoxBody;
use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{Request, Response, ServiceConfig, StatusCode};
use tokio_util::sync::CancellationToken;
use yuccalift_core::relay::{ForwardOrder, ForwardOutcome, RequestOrigin};
use yuccalift_exchange::{AnswerOwner, ExchangeAnswer, ExchangeLink, OutgoingRequest};
use yuccalift_platform::caller::{
    empty_answer, is_target_answer, relayed_reply, time_left_headers,
};

use super::attempt::CallerMessage;
use super::peer_call::PEER_LINK_OPTIONS;

/// Header that marks a forwarded request, with the number of attempts used before.
const FORWARDED: HeaderName = HeaderName::from_static("yuccalift-forwarded");
/// Header of a peer that serves no forwarded requests now; says whether a target may have run the
/// request.
const UNSERVED: HeaderName = HeaderName::from_static("yuccalift-unserved");
const NOT_RUN: &str = "not-run";
const MAY_HAVE_RUN: &str = "may-have-run";
/// Time for which an idle connection to a peer is kept; peers keep them longer.
const MAX_IDLE_TIME: Duration = Duration::from_secs(5);

/// An idle connection to a peer.
struct IdlePeerLink {
    peer: SocketAddr,
    link: ExchangeLink,
    idle_since: Instant,
}

/// Connections to peers for forwarded requests.
pub(super) struct PeerLinks {
    idle: RefCell<Vec<IdlePeerLink>>,
    config: ServiceConfig,
}

impl PeerLinks {
    /// Creates a pool without connections.
    pub(super) fn new(config: ServiceConfig) -> Self {
        Self {
            idle: RefCell::default(),
            config,
        }
    }

    /// Forwards a request to a peer and waits for its answer or a cancellation, which closes the
    /// connection and thereby ends the request at the peer.
    pub(super) async fn forward(
        &self,
        order: &ForwardOrder,
        message: &CallerMessage,
        cancel: CancellationToken,
    ) -> ForwardOutcome {
        let link = tokio::select! {
            link = self.check_out(order) => link,
            () = cancel.cancelled() => return ForwardOutcome::NotSent,
        };
        let Ok(link) = link else {
            return ForwardOutcome::NotSent;
        };
        tokio::select! {
            outcome = self.exchange(link, order, message) => outcome,
            () = cancel.cancelled() => ForwardOutcome::Lost,
        }
    }

    async fn check_out(&self, order: &ForwardOrder) -> std::io::Result<ExchangeLink> {
        if let Some(link) = self.take_idle(order) {
            return Ok(link);
        }
        let link = ExchangeLink::open(order.peer, &PEER_LINK_OPTIONS, &self.config).await?;
        link.reset_on_close()
    }

    /// Returns an idle connection to the peer, unless the request must not run twice: the peer may
    /// just have closed it, which looks as if the answer had been lost.
    fn take_idle(&self, order: &ForwardOrder) -> Option<ExchangeLink> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|idle| now.saturating_duration_since(idle.idle_since) < MAX_IDLE_TIME);
        if order.at_most_once {
            return None;
        }
        while let Some(index) = idle.iter().rposition(|idle| idle.peer == order.peer) {
            let link = idle.remove(index).link;
            if link.is_idle() {
                return Some(link);
            }
        }
        None
    }

    async fn exchange(
        &self,
        mut link: ExchangeLink,
        order: &ForwardOrder,
        message: &CallerMessage,
    ) -> ForwardOutcome {
        let time_left = order.deadline.saturating_duration_since(Instant::now());
        let mut headers = time_left_headers(time_left);
        headers.insert(FORWARDED, HeaderValue::from(order.attempts_used));
        let request = OutgoingRequest {
            head: Rc::clone(&message.head),
            headers,
            body: message.body.clone(),
        };
        let answer = link
            .exchange(request, |_head| AnswerOwner::ThisRequest)
            .await;
        let Ok(answer) = answer else {
            return ForwardOutcome::Lost;
        };
        if answer.reusable {
            self.idle.borrow_mut().push(IdlePeerLink {
                peer: order.peer,
                link,
                idle_since: Instant::now(),
            });
        }
        outcome_of(answer)
    }
}

/// Returns what a peer's answer says of a forwarded request. A peer that does not know the route, or
/// does not take part, has not run it.
fn outcome_of(answer: ExchangeAnswer) -> ForwardOutcome {
    match answer.header(UNSERVED.as_str()) {
        Some(MAY_HAVE_RUN) => ForwardOutcome::Unserved { may_have_run: true },
        Some(_) => ForwardOutcome::Unserved {
            may_have_run: false,
        },
        None if answer.status == StatusCode::NOT_FOUND && !is_target_answer(&answer) => {
            ForwardOutcome::Unserved {
                may_have_run: false,
            }
        }
        None => ForwardOutcome::Answered(relayed_reply(answer, true)),
    }
}

/// Returns the origin of a request that a peer has forwarded; `None` if it is none.
pub(super) fn forwarded_origin(request: &Request) -> Option<RequestOrigin> {
    let used = request.head().headers.get(FORWARDED)?;
    let attempts_used = used.to_str().ok()?.parse().ok()?;
    Some(RequestOrigin::Peer { attempts_used })
}

/// Removes the mark of a forwarded request, which targets do not get.
pub(super) fn remove_mark(head: &mut actix_http::RequestHead) {
    head.headers.remove(FORWARDED);
}

/// Returns the answer to a forwarded request that is not served here.
pub(super) fn unserved_answer(may_have_run: bool) -> Response<BoxBody> {
    let state = if may_have_run { MAY_HAVE_RUN } else { NOT_RUN };
    let mut response = empty_answer(StatusCode::MISDIRECTED_REQUEST, None);
    let headers = response.headers_mut();
    headers.insert(UNSERVED, HeaderValue::from_static(state));
    response
}
