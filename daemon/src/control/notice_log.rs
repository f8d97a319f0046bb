//! Records the control plane's observations as log events and in the status shown to operators.

use std::time::Duration;

use yuccalift_core::control::{ControlNotice, KnowledgeChange};

use crate::decision_log::millis;
use crate::events::LogEvent;
use crate::metrics::{DaemonMetric, MetricsClient};
use crate::shared_status::SharedStatus;

/// Logged source of a configuration version that was read from the platform itself.
const PLATFORM_SOURCE: &str = "platform";

/// Logs a notice, and updates the status and metrics that depend on it.
pub(super) fn record_notice(
    host: &str,
    notice: &ControlNotice,
    shared_status: &SharedStatus,
    metrics: &MetricsClient,
) {
    match notice {
        ControlNotice::ConfigAdvanced { position, .. } => {
            shared_status.set_config_version(position.version);
            metrics.gauge(DaemonMetric::ConfigVersion, position.version);
        }
        ControlNotice::ValueRefused(refused) => {
            shared_status.record_refused(&refused.key, &refused.reason);
        }
        ControlNotice::PlatformStale { .. }
        | ControlNotice::PlatformRestored { .. }
        | ControlNotice::ConfigDiverged { .. }
        | ControlNotice::PeerSuspected(_)
        | ControlNotice::PeerGone(_)
        | ControlNotice::Refuted
        | ControlNotice::ReaderChanged(_)
        | ControlNotice::KnowledgeChanged(_) => {}
    }
    log_notice(host, notice);
}

/// Logs a failed exchange that carried `sent_bytes` of configuration text.
pub(crate) fn log_failed_exchange(fault: &str, sent_bytes: usize, took: Duration) {
    LogEvent::ExchangeFailed {
        fault,
        sent_bytes: sent_bytes as u64,
        took_ms: millis(took),
    }
    .emit();
}

/// Logs a notice; `host` is this daemon's own.
pub(crate) fn log_notice(host: &str, notice: &ControlNotice) {
    match notice {
        ControlNotice::ConfigAdvanced {
            position,
            peer,
            bytes,
        } => LogEvent::ConfigurationInForce {
            era: position.era,
            version: position.version,
            source: peer.as_deref().unwrap_or(PLATFORM_SOURCE),
            bytes: *bytes as u64,
        }
        .emit(),
        ControlNotice::ValueRefused(refused) => LogEvent::ValueRefused {
            key: &refused.key,
            version: refused.version,
            fault: &refused.reason,
        }
        .emit(),
        ControlNotice::PlatformStale { offered, known } => LogEvent::PlatformStale {
            offered: offered.version,
            offered_era: offered.era,
            known: known.version,
            known_era: known.era,
        }
        .emit(),
        ControlNotice::PlatformRestored { position, former } => LogEvent::HistoryRestarted {
            era: position.era,
            version: position.version,
            former_era: former.era,
            former_version: former.version,
        }
        .emit(),
        ControlNotice::ConfigDiverged { peer, version } => LogEvent::ConfigurationDiverged {
            peer,
            version: *version,
        }
        .emit(),
        ControlNotice::PeerSuspected(peer) => LogEvent::PeerSuspected { peer }.emit(),
        ControlNotice::PeerGone(peer) => LogEvent::PeerGone { peer }.emit(),
        ControlNotice::Refuted => LogEvent::SuspicionRefuted { host }.emit(),
        ControlNotice::ReaderChanged(reads) => LogEvent::ReaderChanged { reads: *reads }.emit(),
        ControlNotice::KnowledgeChanged(KnowledgeChange::Stale(age)) => {
            let age_ms = millis(*age);
            LogEvent::KnowledgeStale { age_ms }.emit();
        }
        ControlNotice::KnowledgeChanged(KnowledgeChange::Fresh(age)) => {
            let age_ms = millis(*age);
            LogEvent::KnowledgeFresh { age_ms }.emit();
        }
    }
}
