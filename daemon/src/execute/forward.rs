//! Forwards requests whose ticket another daemon owns; they never run on this daemon.

use std::rc::Rc;
use std::time::Duration;

use yuccalift_core::{Refusal, RefusalCode};
use yuccalift_wire::caller::{ExecuteAnswer, ExecuteBody, Ticket};
use yuccalift_wire::codec::{from_rmp, to_rmp};
use yuccalift_wire::operator::KEY_HEADER;
use yuccalift_wire::peer::{PeerExecute, PeerExecuteReply};

use crate::events::LogEvent;
use crate::peer_directory::PeerAddress;
use crate::peer_locator::PeerLocator;

/// Maximum time to wait for the owner's answer; also used if the caller gives no limit.
const MAX_WAIT: Duration = Duration::from_secs(125);
/// Time to wait for the owner's answer beyond the caller's own limit.
const ANSWER_GRACE: Duration = Duration::from_millis(500);
/// Maximum size of an answer in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Client for the owners of tickets, used by one thread.
#[derive(Clone)]
pub(crate) struct OwnerClient {
    client: awc::Client,
    locator: PeerLocator,
    key: Rc<str>,
}

impl OwnerClient {
    pub(crate) fn new(locator: PeerLocator, key: &str) -> Self {
        let client = awc::Client::builder()
            .disable_redirects()
            .disable_timeout()
            .finish();
        Self {
            client,
            locator,
            key: key.into(),
        }
    }

    /// Forwards a request to its ticket's owner.
    ///
    /// If the owner does not answer, for whatever reason, the outcome is unknown: the request may
    /// have run there when it was sent before.
    pub(crate) async fn forward(
        &self,
        ticket: &Ticket,
        body: &ExecuteBody,
    ) -> Result<ExecuteAnswer, Refusal> {
        if ticket.account != body.account {
            return Err(Refusal::not_run(
                RefusalCode::TicketInvalid,
                "check ticket",
                "the ticket was granted to another account",
            ));
        }
        let owner = self.find_owner(ticket).await?;
        LogEvent::RequestPassedOn {
            ticket: ticket.number,
            request: &body.request,
            owner: &owner.host,
        }
        .emit();
        let unreachable = |message: &str| {
            Refusal::unknown(RefusalCode::OwnerUnreachable, "pass on request", message)
                .at_peer(owner.host.clone())
        };
        match self.call_owner(&owner, body).await {
            Ok(PeerExecuteReply::Ran(answer)) => Ok(answer),
            Ok(PeerExecuteReply::Refused(refusal)) => Err(refusal),
            Err(message) => Err(unreachable(&message)),
        }
    }

    async fn find_owner(&self, ticket: &Ticket) -> Result<PeerAddress, Refusal> {
        let refuse = |code, message: &str| {
            let refusal = Refusal::unknown(code, "find owner", message);
            Err(refusal.at_peer(ticket.owner.clone()))
        };
        match self.locator.find(&ticket.owner, ticket.incarnation).await {
            None => refuse(
                RefusalCode::OwnerUnreachable,
                "this daemon does not know the ticket's owner",
            ),
            Some(owner) if owner.incarnation > ticket.incarnation => refuse(
                RefusalCode::TicketInvalid,
                "the ticket's owner was replaced; the request may have run there",
            ),
            Some(owner) => Ok(owner),
        }
    }

    async fn call_owner(
        &self,
        owner: &PeerAddress,
        body: &ExecuteBody,
    ) -> Result<PeerExecuteReply, Box<str>> {
        let time_left = body.time_left_ms.map_or(MAX_WAIT, Duration::from_millis);
        let message = PeerExecute {
            body: body.clone(),
            time_left_ms: time_left.as_millis() as u64,
        };
        let payload = to_rmp("write execute", &owner.host, &message).map_err(error_text)?;
        let url = format!("http://{}{EXECUTE_PATH}", owner.address);
        let request = self
            .client
            .post(url)
            .insert_header((KEY_HEADER, &*self.key));
        let call = async {
            let mut response = request.send_body(payload).await.map_err(error_text)?;
            let body = response
                .body()
                .limit(MAX_ANSWER_BYTES)
                .await
                .map_err(error_text)?;
            from_rmp("read execute reply", &owner.host, &body).map_err(error_text)
        };
        let limit = time_left.min(MAX_WAIT) + ANSWER_GRACE;
        match tokio::time::timeout(limit, call).await {
            Ok(result) => result,
            Err(_elapsed) => Err("the owner did not answer in time".into()),
        }
    }
}

/// Path of forwarded requests on the peers' listener.
pub(super) const EXECUTE_PATH: &str = "/peer/v1/execute";

fn error_text(error: impl std::fmt::Display) -> Box<str> {
    error.to_string().into()
}
