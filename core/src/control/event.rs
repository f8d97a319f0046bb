//! Input and output of the control plane: [`ControlEvent`] and [`ControlAction`].

use std::net::SocketAddr;
use std::time::Duration;

use super::announcements::AnnouncementKind;
use super::config_delta::ConfigValue;
use super::config_store::RefusedValue;
use super::exchange::ExchangeMessage;
use super::fleet_bounds::FleetBounds;
use super::knowledge_age::KnowledgeChange;
use super::store_position::StorePosition;
use crate::ids::{ConfigVersion, DataCentreName, HostName};

/// Number of an exchange that this daemon started.
pub type ExchangeId = u64;

/// A host in the platform's list of daemons, which may be stale.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedHost {
    /// Name of the host.
    pub host: HostName,
    /// Data centre of the host.
    pub data_centre: DataCentreName,
    /// Address of the daemon's peer listener.
    pub address: SocketAddr,
}

/// An event for the control plane to handle.
#[derive(Clone, Debug)]
pub enum ControlEvent {
    /// The time returned by [`super::ControlNode::next_wake`] has come.
    Tick,
    /// A peer replied to an exchange.
    Replied {
        /// Exchange that the reply belongs to.
        exchange: ExchangeId,
        /// Reply of the peer.
        message: Box<ExchangeMessage>,
    },
    /// An exchange failed or timed out.
    Unanswered {
        /// Exchange without a reply.
        exchange: ExchangeId,
    },
    /// The platform answered a read of values with every change after the requested version.
    Published {
        /// The platform's current position.
        position: StorePosition,
        /// Changed values.
        values: Vec<ConfigValue>,
        /// Whether the values are all that exist, instead of the changes after a version.
        is_listing: bool,
    },
    /// The platform answered with its list of hosts.
    Listed(Vec<ListedHost>),
    /// A read of values failed.
    ReadFailed,
    /// New fleet bounds take effect.
    BoundsChanged(FleetBounds),
    /// This daemon has an announcement to spread.
    Announce {
        /// Content of the announcement.
        kind: AnnouncementKind,
        /// Time after which the announcement expires.
        lifetime: Duration,
    },
    /// The process was paused for this long.
    Paused(Duration),
    /// The daemon starts its graceful stop.
    Leave,
}

/// An action that the control plane has decided on and that the daemon must carry out.
#[derive(Clone, Debug)]
pub enum ControlAction {
    /// Send a message to a peer and report the reply or its absence.
    Exchange {
        /// Number to report the reply under.
        exchange: ExchangeId,
        /// Address of the peer.
        address: SocketAddr,
        /// Message to send.
        message: Box<ExchangeMessage>,
    },
    /// Read the values that changed on the platform after a version.
    ReadValues {
        /// Position after which changes are wanted; everything is wanted if the platform is in
        /// another era.
        after: StorePosition,
        /// Maximum time for the platform to hold the call until there is a change.
        wait: Duration,
    },
    /// Read the platform's list of hosts.
    ReadHosts,
    /// Apply a configuration value; `None` means that the key was removed.
    ApplyValue(ConfigValue),
    /// An announcement became active or expired.
    AnnouncementChanged {
        /// Content of the announcement.
        kind: AnnouncementKind,
        /// Whether it became active; otherwise it expired.
        active: bool,
    },
    /// The platform is readable again after an outage. Entries missing from its answers may only
    /// have expired during the outage.
    PlatformRecovered,
    /// Report whether the daemon may accept requests with the configuration it knows.
    Ready(bool),
    /// A later process runs on this daemon's host; this process must stop.
    Replaced,
    /// Write a notice to the log.
    Notice(ControlNotice),
}

/// A control-plane event that is written to the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlNotice {
    /// The configuration advanced to a later position.
    ConfigAdvanced {
        /// Position that was reached.
        position: StorePosition,
        /// Peer that sent the changes; `None` if they came from the platform.
        peer: Option<HostName>,
        /// Bytes of text in the changes, as transferred.
        bytes: usize,
    },
    /// A value was refused; the last valid one stays in effect.
    ValueRefused(RefusedValue),
    /// The platform answered with an earlier position than the known one.
    PlatformStale {
        /// Position in the platform's answer.
        offered: StorePosition,
        /// Position that this daemon knows.
        known: StorePosition,
    },
    /// The platform was restored from an older copy of its contents.
    PlatformRestored {
        /// Position in the new era.
        position: StorePosition,
        /// Position that this daemon had reached before.
        former: StorePosition,
    },
    /// Two daemons hold different values at the same version.
    ConfigDiverged {
        /// Host of the other daemon.
        peer: HostName,
        /// Version at which the values differ.
        version: ConfigVersion,
    },
    /// A peer did not answer and is now suspect.
    PeerSuspected(HostName),
    /// A peer did not refute a suspicion in time.
    PeerGone(HostName),
    /// This daemon refuted a report that it is suspect or gone.
    Refuted,
    /// This daemon became a reader of the platform for its data centre, or stopped being one.
    ReaderChanged(bool),
    /// The daemon's knowledge of the platform became too old, or is recent again.
    KnowledgeChanged(KnowledgeChange),
}
