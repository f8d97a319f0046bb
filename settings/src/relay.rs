//! The settings of a daemon that relays plain HTTP requests, and how they are read.

use std::net::SocketAddr;
use std::time::Duration;

use yuccalift_core::ids::{DataCentreName, HostName};

use crate::daemon::LogSettings;
use crate::daemon_file::{LOG_FORMAT, LOG_LEVEL, log_settings};
use crate::error::SettingsErrors;
use crate::field::{FieldDefault, FieldKind, FieldSpec};
use crate::reader::{FieldReader, read_document};

const CALLERS: &str = "listen.callers";
const READINESS: &str = "listen.readiness";
const PEERS: &str = "listen.peers";
const METRICS: &str = "listen.metrics";

/// Calls a second that the store grants for each daemon at the least. The fleet's size is not
/// published; its store's rate grows with it, and on the present sites is 67 or more a daemon.
const CALLS_PER_DAEMON: u64 = 10;

/// The settings of a relay, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct RelaySettings {
    /// The entry host that the daemon runs on.
    pub host: HostName,
    /// The data centre of that host.
    pub data_centre: DataCentreName,
    /// Where callers are accepted.
    pub caller_listen: SocketAddr,
    /// Where the balancer asks for readiness.
    pub readiness_listen: SocketAddr,
    /// Where peers are accepted.
    pub peer_listen: SocketAddr,
    /// Where metrics are read as text; nowhere if absent.
    pub metrics_listen: Option<SocketAddr>,
    /// Where the platform's store answers.
    pub store: SocketAddr,
    /// Peers to ask first.
    pub seed_peers: Vec<SocketAddr>,
    /// How many daemons the fleet has at the most; how many of them read the store rests on it.
    pub fleet_daemons: u32,
    /// How long a target goes on serving after it was said to leave.
    pub drain_time: Duration,
    /// The share of a service's requests that all daemons may send a second time.
    pub retry_share: f64,
    /// The window over which that share is counted.
    pub retry_window: Duration,
    /// How long a graceful stop may take.
    pub stop_timeout: Duration,
    /// How far the time of day is taken back; soaks play a host's wrong clock by it.
    pub clock_behind: Duration,
    /// How logs are written.
    pub log: LogSettings,
}

/// The fields of a relay's settings.
pub const RELAY_FIELDS: &[FieldSpec] = &[
    FieldSpec {
        name: "host",
        kind: FieldKind::Text { min: 1, max: 255 },
        default: FieldDefault::Required,
        help: "the entry host",
    },
    FieldSpec {
        name: "data_centre",
        kind: FieldKind::Text { min: 1, max: 255 },
        default: FieldDefault::Required,
        help: "the data centre of that host, as targets name theirs",
    },
    FieldSpec {
        name: CALLERS,
        kind: FieldKind::Listen,
        default: FieldDefault::Required,
        help: "where callers are accepted",
    },
    FieldSpec {
        name: READINESS,
        kind: FieldKind::Listen,
        default: FieldDefault::Required,
        help: "where the balancer asks whether the daemon takes requests",
    },
    FieldSpec {
        name: PEERS,
        kind: FieldKind::Listen,
        default: FieldDefault::Required,
        help: "where peers are accepted",
    },
    FieldSpec {
        name: METRICS,
        kind: FieldKind::Listen,
        default: FieldDefault::Absent,
        help: "where metrics are read as text",
    },
    FieldSpec {
        name: "store",
        kind: FieldKind::Address,
        default: FieldDefault::Required,
        help: "where the platform's store answers",
    },
    FieldSpec {
        name: "seed_peers",
        kind: FieldKind::AddressList { min: 0 },
        default: FieldDefault::Absent,
        help: "peers to ask first; its own address among them is passed over",
    },
    FieldSpec {
        name: "store_calls_per_second",
        kind: FieldKind::Integer {
            min: 10,
            max: 10_000_000,
        },
        default: FieldDefault::Value("2000"),
        help: "reading calls a second that the store takes from all daemons; one daemon is taken to be granted ten",
    },
    FieldSpec {
        name: "drain_time",
        kind: FieldKind::Duration {
            min: Duration::from_millis(100),
            max: Duration::from_secs(600),
        },
        default: FieldDefault::Value("3s"),
        help: "how long a target goes on serving after it was said to leave",
    },
    FieldSpec {
        name: "retries.share",
        kind: FieldKind::Share { max: 1.0 },
        default: FieldDefault::Value("0.2"),
        help: "the share of a service's requests that all daemons may send a second time",
    },
    FieldSpec {
        name: "retries.window",
        kind: FieldKind::Duration {
            min: Duration::from_secs(1),
            max: Duration::from_secs(600),
        },
        default: FieldDefault::Value("10s"),
        help: "the window over which that share is counted",
    },
    FieldSpec {
        name: "stop_timeout",
        kind: FieldKind::Duration {
            min: Duration::from_secs(1),
            max: Duration::from_secs(3600),
        },
        default: FieldDefault::Value("6s"),
        help: "how long a graceful stop may take before the process ends all the same",
    },
    FieldSpec {
        name: "clock_behind",
        kind: FieldKind::Duration {
            min: Duration::ZERO,
            max: Duration::from_secs(86_400),
        },
        default: FieldDefault::Value("0s"),
        help: "how far the time of day is taken back; for soaks, which play a wrong clock by it",
    },
    LOG_FORMAT,
    LOG_LEVEL,
];

/// Reads and checks the settings of a relay.
///
/// # Errors
///
/// Every fault of the document, each with its line.
pub fn parse_relay(file_name: &str, text: &str) -> Result<RelaySettings, SettingsErrors> {
    read_document(file_name, text, RELAY_FIELDS, |reader, _errors| {
        assemble(reader)
    })
}

fn assemble(reader: FieldReader<'_>) -> Option<RelaySettings> {
    let peer_listen = reader.address(PEERS)?;
    let mut seed_peers = reader.addresses("seed_peers");
    seed_peers.retain(|seed| *seed != peer_listen);
    Some(RelaySettings {
        host: reader.text("host")?,
        data_centre: reader.text("data_centre")?,
        caller_listen: reader.address(CALLERS)?,
        readiness_listen: reader.address(READINESS)?,
        peer_listen,
        metrics_listen: reader.address(METRICS),
        store: reader.address("store")?,
        seed_peers,
        fleet_daemons: (reader.integer("store_calls_per_second")? / CALLS_PER_DAEMON) as u32,
        drain_time: reader.duration("drain_time")?,
        retry_share: reader.share("retries.share")?,
        retry_window: reader.duration("retries.window")?,
        stop_timeout: reader.duration("stop_timeout")?,
        clock_behind: reader.duration("clock_behind")?,
        log: log_settings(reader)?,
    })
}
