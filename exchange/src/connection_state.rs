//! What an open connection of a server waits for: [`ConnectionState`].

use std::rc::Rc;

use actix_http::body::BoxBody;
use actix_http::header::CONTENT_LENGTH;
use actix_http::{ConnectionType, HttpMessage, Payload, Request, Response};

use crate::held_body::hold_with_body;
use crate::holder::{HolderStage, MemoryHolder};

/// State of one connection, shared by the connection and its requests.
///
/// Each connection has its own. The peer's address does not identify one: a peer may connect again
/// from the same port before the server has noticed that the earlier connection has ended.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionState {
    holder: Rc<MemoryHolder>,
}

impl ConnectionState {
    pub(crate) fn new(holder: Rc<MemoryHolder>) -> Self {
        Self { holder }
    }

    /// Returns what the connection holds.
    pub(crate) fn holder(&self) -> &Rc<MemoryHolder> {
        &self.holder
    }

    /// Returns whether the connection may be closed without losing an answer.
    pub(crate) fn is_idle(&self) -> bool {
        self.holder.is_idle()
    }

    /// Marks the connection as busy for as long as the returned guard exists.
    pub(crate) fn begin_request(&self, request: &mut Request) -> RequestGuard {
        let stage = match request.payload() {
            Payload::None => HolderStage::Busy,
            _ => HolderStage::Receiving {
                chunked: request.chunked().unwrap_or(true),
            },
        };
        self.holder.begin_request(stage, declared_body(request));
        RequestGuard {
            state: self.clone(),
            next_stage: HolderStage::Idle,
        }
    }
}

/// Returns the size of a request's body as its head tells; 0 if it doesn't.
fn declared_body(request: &Request) -> usize {
    let length = request.headers().get(CONTENT_LENGTH);
    let length = length.and_then(|length| length.to_str().ok()?.trim().parse().ok());
    length.unwrap_or(0)
}

/// A request that has been received and whose answer is not complete.
#[derive(Debug)]
pub(crate) struct RequestGuard {
    state: ConnectionState,
    next_stage: HolderStage,
}

impl RequestGuard {
    /// Returns the answer to the request, which holds the guard until it has been encoded. What has
    /// been encoded and not written is known to the connection's stream.
    pub(crate) fn attach_to(mut self, response: Response<BoxBody>) -> Response<BoxBody> {
        if response.head().connection_type() == ConnectionType::Close {
            self.next_stage = HolderStage::Ending;
        }
        hold_with_body(response, self)
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.state.holder.end_request(self.next_stage);
    }
}
