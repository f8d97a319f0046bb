//! The connections that a server has open, and what each of them waits for: [`ConnectionTable`].

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use actix_http::body::BoxBody;
use actix_http::{ConnectionType, Response};

use crate::held_body::hold_with_body;

/// Whether a connection may be closed without losing an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionStage {
    /// No request has been received since the last answer.
    Idle,
    /// A request has been received, and its answer is not complete.
    Busy,
    /// The last answer is being written; the connection closes by itself after it.
    Ending,
}

#[derive(Debug)]
struct OpenConnection {
    peer: SocketAddr,
    stage: ConnectionStage,
}

/// All open connections of one server, sorted by the peer's address.
#[derive(Debug, Default)]
pub(crate) struct ConnectionTable {
    connections: RefCell<Vec<OpenConnection>>,
}

impl ConnectionTable {
    /// Adds a connection that has just been accepted.
    pub(crate) fn add(&self, peer: SocketAddr) {
        let mut connections = self.connections.borrow_mut();
        let stage = ConnectionStage::Idle;
        match connections.binary_search_by_key(&peer, |connection| connection.peer) {
            Ok(index) => connections[index].stage = stage,
            Err(index) => connections.insert(index, OpenConnection { peer, stage }),
        }
    }

    /// Removes a connection that has ended.
    pub(crate) fn remove(&self, peer: SocketAddr) {
        let mut connections = self.connections.borrow_mut();
        if let Ok(index) = connections.binary_search_by_key(&peer, |connection| connection.peer) {
            connections.remove(index);
        }
    }

    /// Returns whether the connection may be closed without losing an answer.
    pub(crate) fn is_idle(&self, peer: SocketAddr) -> bool {
        let connections = self.connections.borrow();
        let index = connections.binary_search_by_key(&peer, |connection| connection.peer);
        index.is_ok_and(|index| connections[index].stage == ConnectionStage::Idle)
    }

    /// Marks a connection as busy for as long as the returned guard exists.
    pub(crate) fn begin_request(self: &Rc<Self>, peer: Option<SocketAddr>) -> RequestGuard {
        self.set_stage(peer, ConnectionStage::Busy);
        RequestGuard {
            table: Rc::clone(self),
            peer,
            next_stage: ConnectionStage::Idle,
        }
    }

    fn set_stage(&self, peer: Option<SocketAddr>, stage: ConnectionStage) {
        let mut connections = self.connections.borrow_mut();
        let index = peer.map(|peer| connections.binary_search_by_key(&peer, |known| known.peer));
        if let Some(Ok(index)) = index {
            connections[index].stage = stage;
        }
    }
}

/// A request that has been received and whose answer is not complete.
#[derive(Debug)]
pub(crate) struct RequestGuard {
    table: Rc<ConnectionTable>,
    peer: Option<SocketAddr>,
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
        self.table.set_stage(self.peer, self.next_stage);
    }
}
