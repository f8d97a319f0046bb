//! What an open connection of a server waits for: [`ConnectionState`].

use std::cell::Cell;
use std::rc::Rc;

use actix_http::body::BoxBody;
use actix_http::{ConnectionType, Response};

use crate::held_body::hold_with_body;

/// Whether a connection may be closed without losing an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ConnectionStage {
    /// No request has been received since the last answer.
    #[default]
    Idle,
    /// A request has been received, and its answer is not complete.
    Busy,
    /// The last answer is being written; the connection closes by itself after it.
    Ending,
}

/// State of one connection, shared by the connection and its requests.
///
/// Each connection has its own. The peer's address does not identify one: a peer may connect again
/// from the same port before the server has noticed that the earlier connection has ended.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConnectionState {
    stage: Rc<Cell<ConnectionStage>>,
}

impl ConnectionState {
    /// Returns whether the connection may be closed without losing an answer.
    pub(crate) fn is_idle(&self) -> bool {
        self.stage.get() == ConnectionStage::Idle
    }

    /// Marks the connection as busy for as long as the returned guard exists.
    pub(crate) fn begin_request(&self) -> RequestGuard {
        self.stage.set(ConnectionStage::Busy);
        RequestGuard {
            state: self.clone(),
            next_stage: ConnectionStage::Idle,
        }
    }
}

/// A request that has been received and whose answer is not complete.
#[derive(Debug)]
pub(crate) struct RequestGuard {
    state: ConnectionState,
    next_stage: ConnectionStage,
}

impl RequestGuard {
    /// Returns the answer to the request, which holds the guard until it has been encoded.
    pub(crate) fn attach_to(mut self, response: Response<BoxBody>) -> Response<BoxBody> {
        if response.head().connection_type() == ConnectionType::Close {
            self.next_stage = ConnectionStage::Ending;
        }
        hold_with_body(response, self)
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.state.stage.set(self.next_stage);
    }
}
