//! Membership records: the state of one daemon as another one knows it, and their precedence.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{DataCentreName, HostName, Incarnation};

/// State of a daemon as seen by others. For equal incarnations and refutations, a later variant
/// takes precedence over an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// The daemon answers.
    Alive,
    /// The daemon did not answer a peer; it may still refute the suspicion.
    Suspect,
    /// The daemon has reported that it is stopping.
    Leaving,
    /// The daemon has stopped, or did not refute a suspicion in time.
    Gone,
}

impl MemberState {
    /// Returns the name shown to operators.
    pub fn name(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Leaving => "leaving",
            Self::Gone => "gone",
        }
    }
}

/// State of one daemon, as passed from peer to peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Host that the daemon runs on.
    #[serde(rename = "h")]
    pub host: HostName,
    /// Data centre of the host.
    #[serde(rename = "d")]
    pub data_centre: DataCentreName,
    /// Address of the daemon's peer listener.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Incarnation of the process; a replacement on the same host has a greater one.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// Number of times the process has refuted a suspicion; only the process itself increases it.
    #[serde(rename = "r")]
    pub refutation: u32,
    /// State of the daemon.
    #[serde(rename = "s")]
    pub state: MemberState,
}

impl MemberRecord {
    /// Returns whether this record takes precedence over `other`: by a greater incarnation, then
    /// more refutations, then the worse state.
    pub fn supersedes(&self, other: &Self) -> bool {
        self.precedence() > other.precedence()
    }

    fn precedence(&self) -> (Incarnation, u32, MemberState) {
        (self.incarnation, self.refutation, self.state)
    }
}
