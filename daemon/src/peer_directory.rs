//! Where the other daemons' peer listeners are, by host: [`PeerDirectory`].
//!
//! The control plane fills it from the members that it knows; the data path reads it to find the
//! owner of a ticket.

use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};

use yuccalift_core::ids::{HostName, Incarnation};

/// The name under which the directory is published.
pub const PEER_DIRECTORY_SERVICE: &str = "peer-directory";

/// One peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerAddress {
    /// Its host.
    pub host: HostName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its peer listener.
    pub address: SocketAddr,
}

/// The peers of one daemon; cheap to clone, all clones are the same table.
#[derive(Clone, Debug, Default)]
pub struct PeerDirectory {
    peers: Arc<RwLock<Vec<PeerAddress>>>,
}

impl PeerDirectory {
    /// Makes an empty directory.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces what is known of the peers.
    pub fn replace(&self, mut peers: Vec<PeerAddress>) {
        peers.sort_by(|left, right| left.host.cmp(&right.host));
        *self.peers.write().unwrap_or_else(PoisonError::into_inner) = peers;
    }

    /// The peer on a host, if one is known.
    pub fn find(&self, host: &str) -> Option<PeerAddress> {
        let peers = self.peers.read().unwrap_or_else(PoisonError::into_inner);
        let position = peers
            .binary_search_by(|peer| peer.host.as_ref().cmp(host))
            .ok()?;
        peers.get(position).cloned()
    }
}
