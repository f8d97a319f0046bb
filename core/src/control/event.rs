//! What the control plane is told, and what it decides.

use std::net::SocketAddr;
use std::time::Duration;

use super::announcements::AnnouncementKind;
use super::config_delta::ConfigValue;
use super::config_store::RefusedValue;
use super::exchange::ExchangeMessage;
use super::fleet_bounds::FleetBounds;
use crate::ids::{ConfigVersion, DataCentreName, HostName};

/// The number of an exchange that this daemon began.
pub type ExchangeId = u64;

/// A daemon that the platform lists; a hint that lags.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedHost {
    /// Its host.
    pub host: HostName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Where its peer listener is.
    pub address: SocketAddr,
}

/// Something that happened, told to the control plane.
#[derive(Clone, Debug)]
pub enum ControlEvent {
    /// The time that was asked for has come.
    Tick,
    /// A peer answered an exchange.
    Replied {
        /// The exchange.
        exchange: ExchangeId,
        /// The answer.
        message: Box<ExchangeMessage>,
    },
    /// A peer did not answer an exchange.
    Unanswered {
        /// The exchange.
        exchange: ExchangeId,
    },
    /// The platform answered a read of values: every change after the version asked for.
    Published {
        /// The platform's version.
        version: ConfigVersion,
        /// The changes.
        values: Vec<ConfigValue>,
    },
    /// The platform listed the daemons.
    Listed(Vec<ListedHost>),
    /// A read of values failed.
    ReadFailed,
    /// The fleet's bounds came in force.
    BoundsChanged(FleetBounds),
    /// This daemon has news for the others.
    Announce {
        /// What it says.
        kind: AnnouncementKind,
        /// How long it is true.
        lifetime: Duration,
    },
    /// The process was paused for this long.
    Paused(Duration),
    /// The daemon begins its graceful stop.
    Leave,
}

/// Something the control plane decided, for the daemon to carry out.
#[derive(Clone, Debug)]
pub enum ControlAction {
    /// Send a message to a peer and report its answer.
    Exchange {
        /// The number to report the answer by.
        exchange: ExchangeId,
        /// The peer.
        address: SocketAddr,
        /// The message.
        message: Box<ExchangeMessage>,
    },
    /// Read the platform's values after a version, waiting up to `wait` for a change.
    ReadValues {
        /// The version.
        after: ConfigVersion,
        /// How long the platform may wait for a change.
        wait: Duration,
    },
    /// Read the platform's list of hosts.
    ReadHosts,
    /// Put a value in force; without a value its key has none.
    ApplyValue(ConfigValue),
    /// Something was said, or is no longer.
    AnnouncementChanged {
        /// What.
        kind: AnnouncementKind,
        /// Whether it is said from now on.
        active: bool,
    },
    /// The platform can be read again after it could not be for a while: what it says to be gone may
    /// only have lapsed meanwhile.
    PlatformRecovered,
    /// Whether the configuration is known well enough to take requests.
    Ready(bool),
    /// A later process runs on this daemon's host; this one must stop.
    Replaced,
    /// Something worth a line in the log.
    Noticed(ControlNotice),
}

/// Something worth a line in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlNotice {
    /// The configuration reached a newer version.
    ConfigAdvanced {
        /// The version.
        version: ConfigVersion,
        /// The peer that it came from; none if it came from the platform.
        peer: Option<HostName>,
    },
    /// A value was refused; the last good one stays in force.
    ValueRefused(RefusedValue),
    /// The platform offered an older version than the one that is known.
    PlatformStale {
        /// The version that it offered.
        offered: ConfigVersion,
        /// The version that is known.
        known: ConfigVersion,
    },
    /// Two daemons hold different values at one version.
    ConfigDiverged {
        /// The other daemon.
        peer: HostName,
        /// The version.
        version: ConfigVersion,
    },
    /// A peer did not answer and is suspected.
    PeerSuspected(HostName),
    /// A suspicion was not refuted in time.
    PeerGone(HostName),
    /// This daemon refuted that it is gone.
    Refuted,
    /// This daemon begins or ends to read the platform for its data centre.
    ReaderChanged(bool),
}
