//! Limits of the host that the relay keeps to: [`HostLimits`], and the report of connections that
//! were closed for them.

use std::time::Duration;

use tokio_util::sync::CancellationToken;
use yuccalift_exchange::{AccountCounts, account_counts, set_memory_limit, set_outgoing_address};
use yuccalift_settings::RelaySettings;

use crate::events::LogEvent;
use crate::metrics::{DaemonMetric, MetricsClient};

/// Interval at which the account is reported. At most one line is logged in each.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Descriptors of a host that are reserved for files.
const FILE_DESCRIPTORS: usize = 200;
/// Minimum number of connections of a listener, also where descriptors are very few.
const MIN_CONNECTIONS: usize = 8;
/// Bytes in the megabytes of the settings.
const MEGABYTE: usize = 1024 * 1024;

/// Maximum number of connections of each listener. The rest of the descriptors, a quarter and more,
/// is reserved for connections to the store, to peers and to targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct HostLimits {
    pub(super) callers: usize,
    pub(super) peers: usize,
    pub(super) readiness: usize,
    pub(super) metrics: usize,
}

impl HostLimits {
    /// Returns the limits that follow from the settings, and sets the limit of the memory account and the
    /// outgoing address of this thread.
    pub(super) fn apply(settings: &RelaySettings) -> Self {
        set_memory_limit(settings.memory_limit_mb * MEGABYTE);
        if let Some(address) = settings.outgoing_address {
            set_outgoing_address(address);
        }
        let connections = settings.descriptor_limit.saturating_sub(FILE_DESCRIPTORS);
        let share = |divisor: usize| (connections / divisor).max(MIN_CONNECTIONS);
        Self {
            callers: share(2),
            peers: share(8),
            readiness: share(32),
            metrics: share(64),
        }
    }
}

/// Reports the account of this thread until `stop` is cancelled.
pub(super) async fn report_account(metrics: MetricsClient, stop: CancellationToken) {
    let mut reported = AccountCounts::default();
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(REPORT_INTERVAL) => {}
        }
        let counts = account_counts();
        report_counts(&metrics, &counts, &reported);
        reported = counts;
    }
}

fn report_counts(metrics: &MetricsClient, counts: &AccountCounts, reported: &AccountCounts) {
    metrics.gauge(DaemonMetric::MemoryHeld, counts.held_bytes as u64);
    metrics.gauge(DaemonMetric::ConnectionsOpen, counts.connections as u64);
    let memory = counts.closed_for_memory - reported.closed_for_memory;
    let connections = counts.closed_for_connections - reported.closed_for_connections;
    let stalled = counts.closed_as_stalled - reported.closed_as_stalled;
    for (metric, count) in [
        (DaemonMetric::ConnectionsClosedMemory, memory),
        (DaemonMetric::ConnectionsClosedPlace, connections),
        (DaemonMetric::ConnectionsClosedStalled, stalled),
    ] {
        if count > 0 {
            metrics.count(metric, count);
        }
    }
    if memory + connections + stalled > 0 {
        LogEvent::ConnectionsClosed {
            memory,
            connections,
            stalled,
            held_bytes: counts.held_bytes as u64,
            open: counts.connections as u64,
        }
        .emit();
    }
}
