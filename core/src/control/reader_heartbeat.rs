//! Heartbeats of the daemons that read the platform: a counter that a reader increments with each
//! answer from the platform.
//!
//! Counters can be compared without synchronized clocks. Gossip cannot keep a heartbeat of a dead
//! reader alive, since only an increased counter counts as new.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::ids::{HostName, Incarnation};

/// Maximum number of heartbeats in a message.
pub const MAX_HEARTBEATS: usize = 4;
/// Time for which a heartbeat is sent on after its counter last increased.
const SEND_PERIOD: Duration = Duration::from_secs(15);
/// Time for which a heartbeat is remembered, so that a delayed copy is not mistaken for a new one.
const RETENTION_PERIOD: Duration = Duration::from_secs(300);

/// Counter of the answers that a reader has received from the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReaderHeartbeat {
    /// Host of the reader.
    #[serde(rename = "h")]
    pub host: HostName,
    /// Incarnation of the reader.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// Number of answers received in this incarnation.
    #[serde(rename = "c")]
    pub count: u64,
    /// Value of `count` at the first answer after the reader could not reach the platform for a
    /// while; 0 if that has not happened.
    #[serde(rename = "r", default)]
    pub first_after_outage: u64,
}

/// Result of merging a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatUpdate {
    /// The same or a later count was already known.
    Known,
    /// The reader was answered again.
    Advanced,
    /// The reader was answered for the first time after a platform outage.
    Recovered,
}

#[derive(Clone, Debug)]
struct ReceivedHeartbeat {
    heartbeat: ReaderHeartbeat,
    advanced_at: Instant,
}

/// The heartbeats that a daemon has received.
#[derive(Clone, Debug, Default)]
pub struct HeartbeatTable {
    received: Vec<ReceivedHeartbeat>,
    last_advanced: Option<Instant>,
}

impl HeartbeatTable {
    /// Returns when this daemon last learned of an increased counter.
    pub fn last_advanced(&self) -> Option<Instant> {
        self.last_advanced
    }

    /// Merges a heartbeat and returns how it differs from the known one of the same reader.
    pub fn merge(&mut self, now: Instant, heartbeat: &ReaderHeartbeat) -> HeartbeatUpdate {
        self.received
            .retain(|entry| now.saturating_duration_since(entry.advanced_at) < RETENTION_PERIOD);
        let entry = self
            .received
            .iter_mut()
            .find(|entry| entry.heartbeat.host == heartbeat.host);
        let mut update = HeartbeatUpdate::Advanced;
        match entry {
            Some(entry)
                if (entry.heartbeat.incarnation, entry.heartbeat.count)
                    >= (heartbeat.incarnation, heartbeat.count) =>
            {
                return HeartbeatUpdate::Known;
            }
            Some(entry) => {
                let is_same = entry.heartbeat.incarnation == heartbeat.incarnation;
                let previous_count = if is_same { entry.heartbeat.count } else { 0 };
                if heartbeat.first_after_outage > previous_count {
                    update = HeartbeatUpdate::Recovered;
                }
                entry.heartbeat = heartbeat.clone();
                entry.advanced_at = now;
            }
            None => self.received.push(ReceivedHeartbeat {
                heartbeat: heartbeat.clone(),
                advanced_at: now,
            }),
        }
        self.last_advanced = Some(now);
        update
    }

    /// Returns the heartbeats to send, those that increased most recently first.
    pub fn recent(&self, now: Instant) -> Vec<ReaderHeartbeat> {
        let mut recent: Vec<&ReceivedHeartbeat> = self
            .received
            .iter()
            .filter(|entry| now.saturating_duration_since(entry.advanced_at) < SEND_PERIOD)
            .collect();
        recent.sort_by_key(|entry| std::cmp::Reverse(entry.advanced_at));
        recent
            .into_iter()
            .take(MAX_HEARTBEATS)
            .map(|entry| entry.heartbeat.clone())
            .collect()
    }

    /// Discards the time at which a counter last increased; called after a pause.
    pub fn reset_timers(&mut self) {
        self.last_advanced = None;
    }
}
