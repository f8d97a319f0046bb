//! Detection of dead connections to one target: [`ConnectionWatch`].
//!
//! When a middlebox or the peer has dropped the state of a connection, writes to it succeed but no
//! reply ever arrives. Waiting alone cannot tell such a connection from a slow target. Therefore,
//! when a connection has been silent for longer than the target's latency explains, the target is
//! probed on a new connection, and an answer to the probe proves the old connection dead. See
//! `docs/DESIGN.md`, "Silent connections".

use std::time::{Duration, Instant};

/// Id of a connection to a target; increases over the lifetime of a daemon.
pub type ConnectionId = u64;

/// Silence timeout as a multiple of the target's smoothed latency.
const SILENCE_LATENCY_FACTOR: u32 = 20;
/// Lower bound of the silence timeout.
const MIN_SILENCE_TIMEOUT: Duration = Duration::from_millis(200);
/// Upper bound of the silence timeout; also used while no latency is known.
const MAX_SILENCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which the owner of a watch must call [`ConnectionWatch::overdue`].
pub const CHECK_PERIOD: Duration = Duration::from_millis(50);
/// Timeout of a probe, including the time to open its connection.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum time from sending a search on a dead connection until the connection is closed.
///
/// Covers the maximum silence timeout, the wait for the next check, and the probe, which may first
/// have to wait for a free connection slot.
pub const MAX_RETIRE_TIME: Duration = Duration::from_millis(1_600);
/// Maximum difference in age for idle connections to be retired together with a dead one.
const MAX_SIBLING_AGE_GAP: Duration = Duration::from_secs(2);
/// Divisor of the exponential moving average of the latency: a sample has weight 1/8.
const LATENCY_SMOOTHING: u32 = 8;

/// A request that has been sent on a connection and not been answered yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PendingRequest {
    sent_at: Instant,
    silence_timeout: Duration,
}

/// State of one watched connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct WatchedConnection {
    id: ConnectionId,
    opened_at: Instant,
    last_byte_at: Instant,
    pending: Option<PendingRequest>,
    is_suspect: bool,
}

impl WatchedConnection {
    /// Returns since when the connection has been silent, if a reply is pending.
    fn silent_since(&self) -> Option<Instant> {
        self.pending
            .map(|pending| pending.sent_at.max(self.last_byte_at))
    }

    fn is_overdue(&self, now: Instant) -> bool {
        let Some(pending) = self.pending else {
            return false;
        };
        let silent_since = pending.sent_at.max(self.last_byte_at);
        now.saturating_duration_since(silent_since) > pending.silence_timeout
    }
}

/// Tracks the connections to one target in order to find dead ones.
#[derive(Debug, Default)]
pub struct ConnectionWatch {
    connections: Vec<WatchedConnection>,
    latency: Option<Duration>,
    probe_started_at: Option<Instant>,
}

impl ConnectionWatch {
    /// Creates a watch without connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns how long a connection may be silent while a reply is pending before it is overdue.
    pub fn silence_timeout(&self) -> Duration {
        self.latency.map_or(MAX_SILENCE_TIMEOUT, |latency| {
            (latency * SILENCE_LATENCY_FACTOR).clamp(MIN_SILENCE_TIMEOUT, MAX_SILENCE_TIMEOUT)
        })
    }

    /// Records that a connection was opened.
    ///
    /// # Panics
    ///
    /// If `id` is not greater than the ids of all connections opened before.
    pub fn record_open(&mut self, now: Instant, id: ConnectionId) {
        let last = self.connections.last().map(|connection| connection.id);
        assert!(
            last.is_none_or(|last| last < id),
            "connection ids increase: {id} after {last:?}"
        );
        self.connections.push(WatchedConnection {
            id,
            opened_at: now,
            last_byte_at: now,
            pending: None,
            is_suspect: false,
        });
    }

    /// Records that a request was sent whose first bytes are expected within `silence_timeout`.
    ///
    /// # Panics
    ///
    /// If the connection already has a pending request.
    pub fn record_send(&mut self, now: Instant, id: ConnectionId, silence_timeout: Duration) {
        if let Some(connection) = self.find(id) {
            assert!(
                connection.pending.is_none(),
                "connection {id} carries at most one request at a time"
            );
            connection.pending = Some(PendingRequest {
                sent_at: now,
                silence_timeout,
            });
        }
    }

    /// Records when the last bytes arrived on a connection, which proves it alive at that time.
    pub fn record_bytes(&mut self, last_byte_at: Instant, id: ConnectionId) {
        if let Some(connection) = self.find(id)
            && last_byte_at > connection.last_byte_at
        {
            connection.last_byte_at = last_byte_at;
            connection.is_suspect = false;
        }
    }

    /// Records that the pending request of a connection was answered. `latency` is the time since
    /// the request was sent, or `None` if it says nothing about the target's latency.
    pub fn record_answer(&mut self, id: ConnectionId, latency: Option<Duration>) {
        if let Some(connection) = self.find(id) {
            connection.pending = None;
        }
        if let Some(sample) = latency {
            let smoothed = self.latency.unwrap_or(sample);
            let kept = smoothed / LATENCY_SMOOTHING * (LATENCY_SMOOTHING - 1);
            self.latency = Some(kept + sample / LATENCY_SMOOTHING);
        }
    }

    /// Removes a connection that was closed.
    pub fn remove(&mut self, id: ConnectionId) {
        if let Ok(position) = self.position(id) {
            self.connections.remove(position);
        }
    }

    /// Marks every connection as suspect until bytes arrive on it; called after the process was
    /// paused, since connections may have died meanwhile.
    pub fn suspect_all(&mut self) {
        for connection in &mut self.connections {
            connection.is_suspect = true;
        }
    }

    /// Returns whether a connection must be probed before it may carry a request.
    pub fn is_suspect(&self, id: ConnectionId) -> bool {
        self.position(id)
            .is_ok_and(|position| self.connections[position].is_suspect)
    }

    /// Returns the connections that have been silent for too long; empty while a probe is running.
    pub fn overdue(&self, now: Instant) -> Vec<ConnectionId> {
        if self.probe_started_at.is_some() {
            return Vec::new();
        }
        self.overdue_at(now)
            .map(|connection| connection.id)
            .collect()
    }

    /// Returns the connection with a pending reply that has been silent for the longest time.
    pub fn longest_silent(&self) -> Option<ConnectionId> {
        self.connections
            .iter()
            .filter_map(|connection| Some((connection.silent_since()?, connection.id)))
            .min()
            .map(|(_silent_since, id)| id)
    }

    /// Records that a probe of the target was started on a new connection.
    ///
    /// # Panics
    ///
    /// If a probe is already running.
    pub fn start_probe(&mut self, now: Instant) {
        assert!(self.probe_started_at.is_none(), "one probe runs at a time");
        self.probe_started_at = Some(now);
    }

    /// Ends the probe and returns the connections to retire, sorted.
    ///
    /// Connections that were overdue when the probe started and are still silent are always
    /// retired: if the target answered the probe they are dead, and if not the target is
    /// unreachable through them. If the target answered, idle connections of similar age that have
    /// been silent for at least as long are retired as well, since they have most likely failed
    /// for the same reason. Busy connections are kept until they are overdue themselves.
    pub fn finish_probe(&mut self, answered: bool) -> Vec<ConnectionId> {
        let Some(probe_started_at) = self.probe_started_at.take() else {
            return Vec::new();
        };
        let dead: Vec<WatchedConnection> = self.overdue_at(probe_started_at).copied().collect();
        let mut retired: Vec<ConnectionId> = dead.iter().map(|connection| connection.id).collect();
        if answered {
            let idle = self
                .connections
                .iter()
                .filter(|connection| connection.pending.is_none());
            let siblings = idle
                .filter(|connection| dead.iter().any(|lost| has_likely_failed(lost, connection)));
            retired.extend(siblings.map(|connection| connection.id));
        }
        retired.sort_unstable();
        retired
    }

    /// Returns the idle connections on which no byte has arrived for at least `min_idle`.
    pub fn idle_longer_than(&self, now: Instant, min_idle: Duration) -> Vec<ConnectionId> {
        let idle = self
            .connections
            .iter()
            .filter(|connection| connection.pending.is_none());
        idle.filter(|connection| now.saturating_duration_since(connection.last_byte_at) >= min_idle)
            .map(|connection| connection.id)
            .collect()
    }

    /// Returns the number of watched connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns whether no connection is watched.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    fn overdue_at(&self, now: Instant) -> impl Iterator<Item = &WatchedConnection> {
        self.connections
            .iter()
            .filter(move |connection| connection.is_overdue(now))
    }

    fn position(&self, id: ConnectionId) -> Result<usize, usize> {
        self.connections
            .binary_search_by_key(&id, |connection| connection.id)
    }

    fn find(&mut self, id: ConnectionId) -> Option<&mut WatchedConnection> {
        let position = self.position(id).ok()?;
        self.connections.get_mut(position)
    }
}

/// Returns whether an idle connection has most likely failed together with a dead one.
fn has_likely_failed(dead: &WatchedConnection, idle: &WatchedConnection) -> bool {
    let age_gap = if dead.opened_at > idle.opened_at {
        dead.opened_at - idle.opened_at
    } else {
        idle.opened_at - dead.opened_at
    };
    let silent_since = dead.silent_since().unwrap_or(dead.last_byte_at);
    age_gap <= MAX_SIBLING_AGE_GAP && idle.last_byte_at <= silent_since
}
