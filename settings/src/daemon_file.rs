//! Parses the settings document of a daemon.

use std::net::SocketAddr;
use std::time::Duration;

use yuccalift_core::PolicyKind;

use crate::daemon::{DaemonSettings, ListenerLimits, LogFormat, LogSettings};
use crate::error::{ErrorList, SettingsErrors};
use crate::field::{FieldDefault, FieldKind, FieldSpec};
use crate::reader::{FieldReader, parse_document};

const CALLERS: &str = "listen.callers";
const PEERS: &str = "listen.peers";
const OPERATORS: &str = "listen.operators";
const SEED_PEERS: &str = "seed_peers";
const POLICIES: &[&str] = &["full", "baseline"];
const FORMATS: &[&str] = &["text", "json"];
const LEVELS: &[&str] = &["error", "warn", "info", "debug", "trace"];

/// Minimum header timeout; the HTTP library rounds timeouts to steps of half a second.
const MIN_HEADER_TIMEOUT: Duration = Duration::from_secs(1);

/// The `log.format` field, shared by the documents of daemons and relays.
pub(crate) const LOG_FORMAT: FieldSpec = FieldSpec {
    name: "log.format",
    kind: FieldKind::Choice(FORMATS),
    default: FieldDefault::Value("text"),
    help: "format of a log line",
};
/// The `log.level` field, shared by the documents of daemons and relays.
pub(crate) const LOG_LEVEL: FieldSpec = FieldSpec {
    name: "log.level",
    kind: FieldKind::Choice(LEVELS),
    default: FieldDefault::Value("info"),
    help: "minimum level that is logged",
};

/// The fields of a daemon's settings document.
pub const DAEMON_FIELDS: &[FieldSpec] = &[
    FieldSpec {
        name: "host",
        kind: FieldKind::Name,
        default: FieldDefault::Required,
        help: "name of the entry host in the platform's host list",
    },
    FieldSpec {
        name: "data_centre",
        kind: FieldKind::Name,
        default: FieldDefault::Required,
        help: "data centre of the entry host",
    },
    FieldSpec {
        name: CALLERS,
        kind: FieldKind::Listen,
        default: FieldDefault::Required,
        help: "address of the listener for callers",
    },
    FieldSpec {
        name: PEERS,
        kind: FieldKind::Listen,
        default: FieldDefault::Required,
        help: "address of the listener for peers, which is also advertised to them",
    },
    FieldSpec {
        name: OPERATORS,
        kind: FieldKind::Listen,
        default: FieldDefault::Required,
        help: "address of the listener for operators",
    },
    FieldSpec {
        name: "platform",
        kind: FieldKind::AddressList { min: 1 },
        default: FieldDefault::Required,
        help: "addresses of the platform's configuration service",
    },
    FieldSpec {
        name: SEED_PEERS,
        kind: FieldKind::AddressList { min: 0 },
        default: FieldDefault::Absent,
        help: "peer listeners contacted first, so that the daemon can start while the platform is down",
    },
    FieldSpec {
        name: "shared_key",
        kind: FieldKind::Text { min: 16, max: 256 },
        default: FieldDefault::Required,
        help: "key that peers and operators must present",
    },
    FieldSpec {
        name: "limits.body_bytes",
        kind: FieldKind::Integer {
            min: 1024,
            max: 16 * 1024 * 1024,
        },
        default: FieldDefault::Value("262144"),
        help: "maximum size in bytes of a body sent by callers and operators",
    },
    FieldSpec {
        name: "limits.header_timeout",
        kind: FieldKind::Duration {
            min: MIN_HEADER_TIMEOUT,
            max: Duration::from_secs(60),
        },
        default: FieldDefault::Value("5s"),
        help: "maximum time for receiving the headers, and again for receiving the body",
    },
    FieldSpec {
        name: "limits.requests_per_second",
        kind: FieldKind::Integer {
            min: 1,
            max: 1_000_000,
        },
        default: FieldDefault::Value("20000"),
        help: "maximum requests per second from all callers of a listener together",
    },
    LOG_FORMAT,
    LOG_LEVEL,
    FieldSpec {
        name: "statsd",
        kind: FieldKind::Address,
        default: FieldDefault::Absent,
        help: "address that metrics are sent to over UDP",
    },
    FieldSpec {
        name: "policy",
        kind: FieldKind::Choice(POLICIES),
        default: FieldDefault::Value("full"),
        help: "policy of the engine; baseline is for comparisons",
    },
    FieldSpec {
        name: "stop_timeout",
        kind: FieldKind::Duration {
            min: Duration::from_secs(1),
            max: Duration::from_secs(3600),
        },
        default: FieldDefault::Value("30s"),
        help: "maximum duration of a graceful stop, after which the process exits",
    },
];

/// Parses and validates the settings of a daemon.
///
/// # Errors
///
/// All errors in the document, each with its line.
pub fn parse_daemon(file_name: &str, text: &str) -> Result<DaemonSettings, SettingsErrors> {
    parse_document(file_name, text, DAEMON_FIELDS, |reader, errors| {
        check_listeners(reader, errors);
        build_settings(reader)
    })
}

fn build_settings(reader: FieldReader<'_>) -> Option<DaemonSettings> {
    Some(DaemonSettings {
        host: reader.text("host")?,
        data_centre: reader.text("data_centre")?,
        caller_listen: reader.address(CALLERS)?,
        peer_listen: reader.address(PEERS)?,
        operator_listen: reader.address(OPERATORS)?,
        platform: reader.addresses("platform"),
        seed_peers: reader.addresses(SEED_PEERS),
        shared_key: reader.text("shared_key")?,
        limits: ListenerLimits {
            body_bytes: reader.integer("limits.body_bytes")? as usize,
            header_timeout: reader.duration("limits.header_timeout")?,
            requests_per_second: reader.integer("limits.requests_per_second")? as u32,
        },
        log: build_log_settings(reader)?,
        statsd: reader.address("statsd"),
        policy: match reader.text("policy")?.as_ref() {
            "baseline" => PolicyKind::Baseline,
            _ => PolicyKind::Full,
        },
        stop_timeout: reader.duration("stop_timeout")?,
    })
}

/// Builds the log settings; none if one of their fields is invalid.
pub(crate) fn build_log_settings(reader: FieldReader<'_>) -> Option<LogSettings> {
    Some(LogSettings {
        format: match reader.text("log.format")?.as_ref() {
            "json" => LogFormat::Json,
            _ => LogFormat::Text,
        },
        level: reader.text("log.level")?,
    })
}

/// Reports listeners with conflicting addresses, and a peer listener that peers cannot reach.
fn check_listeners(reader: FieldReader<'_>, errors: &mut ErrorList) {
    let listeners = [CALLERS, PEERS, OPERATORS];
    for (position, name) in listeners.iter().enumerate() {
        let Some(address) = reader.address(name) else {
            continue;
        };
        let line = reader.explicit.find(name).map_or(1, |field| field.line);
        for earlier in &listeners[..position] {
            if reader
                .address(earlier)
                .is_some_and(|other| addresses_conflict(address, other))
            {
                let found = format!("`{address}`, which is in use by {earlier}");
                errors.add(line, name, found, "a different address for each listener");
            }
        }
        if *name == PEERS && address.ip().is_unspecified() {
            let found = format!("`{address}`");
            errors.add(line, name, found, "an IP that peers can connect to");
        }
        if *name == PEERS && reader.addresses(SEED_PEERS).contains(&address) {
            let line = reader
                .explicit
                .find(SEED_PEERS)
                .map_or(1, |field| field.line);
            let found = format!("`{address}`, this daemon's own peer listener");
            errors.add(line, SEED_PEERS, found, "other daemons' peer listeners");
        }
    }
}

/// Returns whether the two listeners cannot both be bound. With port 0 the system assigns each
/// listener a port of its own.
fn addresses_conflict(left: SocketAddr, right: SocketAddr) -> bool {
    let same_ip =
        left.ip() == right.ip() || left.ip().is_unspecified() || right.ip().is_unspecified();
    left.port() != 0 && left.port() == right.port() && same_ip
}
