//! Addresses of the other daemons' peer listeners, by host: [`PeerDirectory`].
//!
//! The directory is filled from the members that the control plane knows; the data path reads it
//! to find the owner of a ticket.

use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};

use yuccalift_core::ids::{HostName, Incarnation};

/// Registry name of the [`PeerDirectory`].
pub const PEER_DIRECTORY_SERVICE: &str = "peer-directory";

/// Address of a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerAddress {
    /// Host of the peer.
    pub host: HostName,
    /// Incarnation of the peer's process.
    pub incarnation: Incarnation,
    /// Address of the peer's peer listener.
    pub address: SocketAddr,
}

/// Peers known to one daemon. Clones share the same table.
#[derive(Clone, Debug, Default)]
pub struct PeerDirectory {
    peers: Arc<RwLock<Vec<PeerAddress>>>,
}

impl PeerDirectory {
    /// Creates an empty directory.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces all entries.
    pub fn replace(&self, mut peers: Vec<PeerAddress>) {
        peers.sort_by(|left, right| left.host.cmp(&right.host));
        *self.peers.write().unwrap_or_else(PoisonError::into_inner) = peers;
    }

    /// Returns the peer on a host, if one is known.
    pub fn find(&self, host: &str) -> Option<PeerAddress> {
        let peers = self.peers.read().unwrap_or_else(PoisonError::into_inner);
        let position = peers
            .binary_search_by(|peer| peer.host.as_ref().cmp(host))
            .ok()?;
        peers.get(position).cloned()
    }
}
