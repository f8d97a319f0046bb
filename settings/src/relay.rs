//! The settings of a daemon that relays plain HTTP requests, and their parser.

use std::net::SocketAddr;
use std::time::Duration;

use yuccalift_core::control::call_budget::PlatformCallRate;
use yuccalift_core::ids::{DataCentreName, HostName};
use yuccalift_core::relay::AdmissionMode;

use crate::daemon::LogSettings;
use crate::daemon_file::{LOG_FORMAT, LOG_LEVEL, build_log_settings};
use crate::error::SettingsErrors;
use crate::field::{FieldDefault, FieldKind, FieldSpec};
use crate::reader::{FieldReader, parse_document};

const CALLERS: &str = "listen.callers";
const READINESS: &str = "listen.readiness";
const PEERS: &str = "listen.peers";
const METRICS: &str = "listen.metrics";
const ADMISSION: &str = "overload.admission";
const ADMISSION_MODES: &[&str] = &["adaptive", "off"];

/// Minimum number of calls per second that the store grants each daemon. The size of the fleet is
/// not published, but the call rate of its store grows with it: existing sites grant 67 or more per
/// daemon.
const MIN_CALLS_PER_DAEMON: PlatformCallRate = 10;

/// Validated settings of a relay.
#[derive(Clone, Debug, PartialEq)]
pub struct RelaySettings {
    /// Entry host that the daemon runs on.
    pub host: HostName,
    /// Data centre of the entry host.
    pub data_centre: DataCentreName,
    /// Address of the listener for callers.
    pub caller_listen: SocketAddr,
    /// Address on which the load balancer checks readiness.
    pub readiness_listen: SocketAddr,
    /// Address of the listener for peers.
    pub peer_listen: SocketAddr,
    /// Address that serves metrics as text; no metrics are served if absent.
    pub metrics_listen: Option<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Peers contacted first.
    pub seed_peers: Vec<SocketAddr>,
    /// Read calls per second that the store accepts from all daemons together.
    pub store_calls: PlatformCallRate,
    /// Maximum number of daemons in the fleet, which determines how many of them read the store.
    pub fleet_daemons: u32,
    /// How long a target keeps serving after it was reported to be leaving.
    pub drain_time: Duration,
    /// Fraction of a service's requests that all daemons together may send a second time.
    pub retry_share: f64,
    /// Window over which [`retry_share`](Self::retry_share) is measured.
    pub retry_window: Duration,
    /// Time within which an evacuation of a data centre must be in force; evacuations are ignored if
    /// absent.
    pub evacuation_time: Option<Duration>,
    /// Multiple of the published rate that a cold target tolerates in any second; the rate is not
    /// limited if absent.
    pub cold_overage: Option<f64>,
    /// Requests beyond that multiple that a cold target tolerates in any second.
    pub cold_slack: f64,
    /// Whether requests are refused early while targets are under pressure.
    pub admission: AdmissionMode,
    /// Maximum duration of a graceful stop; the process exits when it has passed.
    pub stop_timeout: Duration,
    /// Memory that the process may use, in MB.
    pub memory_limit_mb: usize,
    /// Descriptors that the process may have open, of which some are reserved for files.
    pub descriptor_limit: usize,
    /// Local address of the connections to targets, peers and the store; the system chooses it if
    /// absent.
    pub outgoing_address: Option<SocketAddr>,
    /// Offset subtracted from the time of day, with which soak tests simulate a wrong host clock.
    pub clock_behind: Duration,
    /// Format and level of the log.
    pub log: LogSettings,
}

/// The fields of a relay's settings document.
pub const RELAY_FIELDS: &[FieldSpec] = &[
    FieldSpec {
        name: "host",
        kind: FieldKind::Text { min: 1, max: 255 },
        default: FieldDefault::Required,
        help: "name of the entry host",
    },
    FieldSpec {
        name: "data_centre",
        kind: FieldKind::Text { min: 1, max: 255 },
        default: FieldDefault::Required,
        help: "data centre of the entry host, spelled as in the entries of the targets",
    },
    FieldSpec {
        name: CALLERS,
        kind: FieldKind::Listen,
        default: FieldDefault::Required,
        help: "address of the listener for callers",
    },
    FieldSpec {
        name: READINESS,
        kind: FieldKind::Listen,
        default: FieldDefault::Required,
        help: "address on which the load balancer checks readiness",
    },
    FieldSpec {
        name: PEERS,
        kind: FieldKind::Listen,
        default: FieldDefault::Required,
        help: "address of the listener for peers",
    },
    FieldSpec {
        name: METRICS,
        kind: FieldKind::Listen,
        default: FieldDefault::Absent,
        help: "address that serves metrics as text",
    },
    FieldSpec {
        name: "store",
        kind: FieldKind::Address,
        default: FieldDefault::Required,
        help: "address of the platform's store",
    },
    FieldSpec {
        name: "seed_peers",
        kind: FieldKind::AddressList { min: 0 },
        default: FieldDefault::Absent,
        help: "peers contacted first; the daemon's own address is ignored",
    },
    FieldSpec {
        name: "store_calls_per_second",
        kind: FieldKind::Number {
            min: 1.0,
            max: 10_000_000.0,
        },
        default: FieldDefault::Value("2000"),
        help: "read calls per second that the store accepts from all daemons together; a tenth of it is taken as the maximum number of daemons",
    },
    FieldSpec {
        name: "drain_time",
        kind: FieldKind::Duration {
            min: Duration::from_millis(1),
            max: Duration::from_secs(600),
        },
        default: FieldDefault::Value("3s"),
        help: "how long a target keeps serving after it was reported to be leaving",
    },
    FieldSpec {
        name: "retries.share",
        kind: FieldKind::Number {
            min: 0.0,
            max: 10.0,
        },
        default: FieldDefault::Value("0.2"),
        help: "fraction of a service's requests that all daemons together may send a second time",
    },
    FieldSpec {
        name: "retries.window",
        kind: FieldKind::Duration {
            min: Duration::from_millis(100),
            max: Duration::from_secs(600),
        },
        default: FieldDefault::Value("10s"),
        help: "window over which the retry share is measured",
    },
    FieldSpec {
        name: "evacuation.apply_time",
        kind: FieldKind::Duration {
            min: Duration::from_millis(100),
            max: Duration::from_secs(600),
        },
        default: FieldDefault::Absent,
        help: "time within which an evacuation of a data centre must be in force; evacuations are ignored if absent",
    },
    FieldSpec {
        name: "cold.overage",
        kind: FieldKind::Number {
            min: 0.0,
            max: 1000.0,
        },
        default: FieldDefault::Absent,
        help: "multiple of the published rate that a cold target tolerates in any second; the rate is not limited if absent",
    },
    FieldSpec {
        name: "cold.slack",
        kind: FieldKind::Number {
            min: 0.0,
            max: 1_000_000.0,
        },
        default: FieldDefault::Value("0"),
        help: "requests beyond that multiple that a cold target tolerates in any second",
    },
    FieldSpec {
        name: ADMISSION,
        kind: FieldKind::Choice(ADMISSION_MODES),
        default: FieldDefault::Value("off"),
        help: "whether requests are refused early while targets are under pressure",
    },
    FieldSpec {
        name: "stop_timeout",
        kind: FieldKind::Duration {
            min: Duration::from_millis(100),
            max: Duration::from_secs(3600),
        },
        default: FieldDefault::Value("6s"),
        help: "maximum duration of a graceful stop, after which the process exits",
    },
    FieldSpec {
        name: "memory_limit",
        kind: FieldKind::Number {
            min: 1.0,
            max: 1_000_000.0,
        },
        default: FieldDefault::Value("512"),
        help: "memory that the process may use, in MB",
    },
    FieldSpec {
        name: "descriptor_limit",
        kind: FieldKind::Number {
            min: 1.0,
            max: 10_000_000.0,
        },
        default: FieldDefault::Value("8192"),
        help: "descriptors that the process may have open, 200 of them for files",
    },
    FieldSpec {
        name: "outgoing_address",
        kind: FieldKind::Listen,
        default: FieldDefault::Absent,
        help: "local address of the connections to targets, peers and the store, for hosts with several; port 0 is any",
    },
    FieldSpec {
        name: "clock_behind",
        kind: FieldKind::Duration {
            min: Duration::ZERO,
            max: Duration::from_secs(86_400),
        },
        default: FieldDefault::Value("0s"),
        help: "offset subtracted from the time of day; soak tests simulate a wrong clock with it",
    },
    LOG_FORMAT,
    LOG_LEVEL,
];

/// Parses and validates the settings of a relay.
///
/// # Errors
///
/// All errors in the document, each with its line.
pub fn parse_relay(file_name: &str, text: &str) -> Result<RelaySettings, SettingsErrors> {
    parse_document(file_name, text, RELAY_FIELDS, |reader, _errors| {
        build_settings(reader)
    })
}

fn build_settings(reader: FieldReader<'_>) -> Option<RelaySettings> {
    let peer_listen = reader.address(PEERS)?;
    let mut seed_peers = reader.addresses("seed_peers");
    seed_peers.retain(|seed| *seed != peer_listen);
    let store_calls = reader.number("store_calls_per_second")? as PlatformCallRate;
    Some(RelaySettings {
        host: reader.text("host")?,
        data_centre: reader.text("data_centre")?,
        caller_listen: reader.address(CALLERS)?,
        readiness_listen: reader.address(READINESS)?,
        peer_listen,
        metrics_listen: reader.address(METRICS),
        store: reader.address("store")?,
        seed_peers,
        store_calls,
        fleet_daemons: (store_calls / MIN_CALLS_PER_DAEMON).max(1),
        drain_time: reader.duration("drain_time")?,
        retry_share: reader.number("retries.share")?,
        retry_window: reader.duration("retries.window")?,
        evacuation_time: reader.duration("evacuation.apply_time"),
        cold_overage: reader.number("cold.overage"),
        cold_slack: reader.number("cold.slack")?,
        admission: match reader.text(ADMISSION)?.as_ref() {
            "adaptive" => AdmissionMode::Adaptive,
            _ => AdmissionMode::Off,
        },
        stop_timeout: reader.duration("stop_timeout")?,
        memory_limit_mb: reader.number("memory_limit")? as usize,
        descriptor_limit: reader.number("descriptor_limit")? as usize,
        outgoing_address: reader.address("outgoing_address"),
        clock_behind: reader.duration("clock_behind")?,
        log: build_log_settings(reader)?,
    })
}
