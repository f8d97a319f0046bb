//! Which connections to one target have gone silent: [`ConnectionWatch`].
//!
//! A connection that something between the two ends has lost track of takes bytes and never
//! answers. It can't be told from a slow target by waiting, so a connection without bytes for
//! longer than the target's latency explains raises a question on a fresh connection; the answer
//! condemns the old one. See `docs/DESIGN.md`, "Silent connections".

use std::time::{Duration, Instant};

/// A connection's number at its target; it counts up within one daemon.
pub type ConnectionId = u64;

/// How many times the usual latency a connection may be without bytes before it is doubted.
const SILENCE_LATENCY_FACTOR: u32 = 20;
/// The shortest time without bytes that raises doubt.
const MIN_SILENCE_TIMEOUT: Duration = Duration::from_millis(200);
/// The longest time without bytes before doubt, also where no latency is known yet.
const MAX_SILENCE_TIMEOUT: Duration = Duration::from_secs(1);
/// How often the owner of a watch must ask it for doubts.
pub const CHECK_PERIOD: Duration = Duration::from_millis(50);
/// How long the question on a fresh connection may take, opening it included.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// The longest time from a search's send over a silent connection to the connection's end.
///
/// It is the longest expectation, the wait for the next check, and the question, which may first
/// have to wait for a place among the connections.
pub const MAX_RETIRE_TIME: Duration = Duration::from_millis(1_600);
/// Connections whose ages differ by no more than this are taken to share their fate.
const MAX_SIBLING_AGE_GAP: Duration = Duration::from_secs(2);
/// The weight of a new latency in the smoothed one, as its divisor.
const LATENCY_SMOOTHING: u32 = 8;

/// A request whose answer is awaited on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PendingRequest {
    sent_at: Instant,
    silence_timeout: Duration,
}

/// One connection as the watch knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct WatchedConnection {
    id: ConnectionId,
    opened_at: Instant,
    last_byte_at: Instant,
    pending: Option<PendingRequest>,
    is_suspect: bool,
}

impl WatchedConnection {
    /// Since when the connection has owed bytes without sending any.
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

/// The connections to one target, with what is known of their lives.
#[derive(Debug, Default)]
pub struct ConnectionWatch {
    connections: Vec<WatchedConnection>,
    latency: Option<Duration>,
    probe_started_at: Option<Instant>,
}

impl ConnectionWatch {
    /// Makes a watch without connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// How long a connection may owe bytes before it is doubted.
    pub fn silence_timeout(&self) -> Duration {
        self.latency.map_or(MAX_SILENCE_TIMEOUT, |latency| {
            (latency * SILENCE_LATENCY_FACTOR).clamp(MIN_SILENCE_TIMEOUT, MAX_SILENCE_TIMEOUT)
        })
    }

    /// Notes a new connection.
    ///
    /// # Panics
    ///
    /// If the ids of connections don't count up.
    pub fn opened(&mut self, now: Instant, id: ConnectionId) {
        let last = self.connections.last().map(|connection| connection.id);
        assert!(
            last.is_none_or(|last| last < id),
            "connection ids count up: {id} after {last:?}"
        );
        self.connections.push(WatchedConnection {
            id,
            opened_at: now,
            last_byte_at: now,
            pending: None,
            is_suspect: false,
        });
    }

    /// Notes that a request is sent, whose first bytes are expected within `silence_timeout`.
    ///
    /// # Panics
    ///
    /// If the connection carries a request already.
    pub fn sent(&mut self, now: Instant, id: ConnectionId, silence_timeout: Duration) {
        if let Some(connection) = self.find(id) {
            assert!(
                connection.pending.is_none(),
                "connection {id} carries one request at a time"
            );
            connection.pending = Some(PendingRequest {
                sent_at: now,
                silence_timeout,
            });
        }
    }

    /// Notes when the last bytes came over a connection; that proves it alive at that time.
    pub fn bytes_received(&mut self, last_byte_at: Instant, id: ConnectionId) {
        if let Some(connection) = self.find(id)
            && last_byte_at > connection.last_byte_at
        {
            connection.last_byte_at = last_byte_at;
            connection.is_suspect = false;
        }
    }

    /// Notes that the request on a connection was answered, `latency` after it was sent if that
    /// tells something of the target's latency.
    pub fn answered(&mut self, id: ConnectionId, latency: Option<Duration>) {
        if let Some(connection) = self.find(id) {
            connection.pending = None;
        }
        if let Some(sample) = latency {
            let smoothed = self.latency.unwrap_or(sample);
            let kept = smoothed / LATENCY_SMOOTHING * (LATENCY_SMOOTHING - 1);
            self.latency = Some(kept + sample / LATENCY_SMOOTHING);
        }
    }

    /// Forgets a connection that is closed.
    pub fn closed(&mut self, id: ConnectionId) {
        if let Ok(position) = self.position(id) {
            self.connections.remove(position);
        }
    }

    /// Doubts every connection until bytes come over it, since the process was paused.
    pub fn suspect_all(&mut self) {
        for connection in &mut self.connections {
            connection.is_suspect = true;
        }
    }

    /// Whether a connection must prove itself before it carries a request.
    pub fn is_suspect(&self, id: ConnectionId) -> bool {
        self.position(id)
            .is_ok_and(|position| self.connections[position].is_suspect)
    }

    /// The connections that owe bytes for too long; none while a question is open.
    pub fn overdue(&self, now: Instant) -> Vec<ConnectionId> {
        if self.probe_started_at.is_some() {
            return Vec::new();
        }
        self.overdue_at(now)
            .map(|connection| connection.id)
            .collect()
    }

    /// The connection that has owed bytes for the longest time.
    pub fn longest_silent(&self) -> Option<ConnectionId> {
        self.connections
            .iter()
            .filter_map(|connection| Some((connection.silent_since()?, connection.id)))
            .min()
            .map(|(_quiet_since, id)| id)
    }

    /// Notes that the target is asked on a fresh connection.
    ///
    /// # Panics
    ///
    /// If a question is open already.
    pub fn start_probe(&mut self, now: Instant) {
        assert!(
            self.probe_started_at.is_none(),
            "one question is open at a time"
        );
        self.probe_started_at = Some(now);
    }

    /// Takes the end of the question and gives the connections to retire, sorted.
    ///
    /// Those that were overdue when it was asked and are still without bytes go in either case:
    /// if the target answers, they are dead, and if it doesn't, the target is lost to them. Only
    /// an answer speaks against their siblings: idle ones of like age that have been without a
    /// byte for as long. A busy sibling stands until it is overdue itself.
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

    /// The idle connections that have been without a byte for at least `quiet`.
    pub fn idle_longer_than(&self, now: Instant, quiet: Duration) -> Vec<ConnectionId> {
        let idle = self
            .connections
            .iter()
            .filter(|connection| connection.pending.is_none());
        idle.filter(|connection| now.saturating_duration_since(connection.last_byte_at) >= quiet)
            .map(|connection| connection.id)
            .collect()
    }

    /// How many connections are watched.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether no connection is watched.
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

/// Whether an idle connection most likely died with a dead one.
fn has_likely_failed(dead: &WatchedConnection, idle: &WatchedConnection) -> bool {
    let age_gap = if dead.opened_at > idle.opened_at {
        dead.opened_at - idle.opened_at
    } else {
        idle.opened_at - dead.opened_at
    };
    let silent_since = dead.silent_since().unwrap_or(dead.last_byte_at);
    age_gap <= MAX_SIBLING_AGE_GAP && idle.last_byte_at <= silent_since
}
