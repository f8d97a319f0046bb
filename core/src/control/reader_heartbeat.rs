//! Signs that somebody reads the platform: a count that each reader raises with each answer.
//!
//! A count can be compared without clocks, and it can't be kept alive by passing it to and fro:
//! only a raised count is a new sign.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::ids::{HostName, Incarnation};

/// How many readers' beats are held and sent.
pub const MAX_HEARTBEATS: usize = 4;
/// How long a beat is sent on after it was last raised.
const SEND_PERIOD: Duration = Duration::from_secs(15);
/// How long a beat is remembered, so that an old one is not taken for new.
const RETENTION_PERIOD: Duration = Duration::from_secs(300);

/// How often a reader has been answered by the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReaderHeartbeat {
    /// The reader.
    #[serde(rename = "h")]
    pub host: HostName,
    /// Its process.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// How many answers it had.
    #[serde(rename = "c")]
    pub count: u64,
    /// Which of them was the first after the platform had been out of its reach for a while; 0 if
    /// none was.
    #[serde(rename = "r", default)]
    pub first_after_outage: u64,
}

/// What a beat says that was not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatUpdate {
    /// Nothing.
    Known,
    /// That its reader was answered.
    Advanced,
    /// That its reader was answered for the first time after an outage of the platform.
    Recovered,
}

#[derive(Clone, Debug)]
struct ReceivedHeartbeat {
    heartbeat: ReaderHeartbeat,
    advanced_at: Instant,
}

/// The beats that a daemon has heard of.
#[derive(Clone, Debug, Default)]
pub struct HeartbeatTable {
    received: Vec<ReceivedHeartbeat>,
    last_advanced: Option<Instant>,
}

impl HeartbeatTable {
    /// When a beat was last raised, as far as this daemon heard.
    pub fn last_advanced(&self) -> Option<Instant> {
        self.last_advanced
    }

    /// Takes a beat, and tells what is new in it.
    pub fn merge(&mut self, now: Instant, heartbeat: &ReaderHeartbeat) -> HeartbeatUpdate {
        self.received
            .retain(|known| now.saturating_duration_since(known.advanced_at) < RETENTION_PERIOD);
        let known = self
            .received
            .iter_mut()
            .find(|known| known.heartbeat.host == heartbeat.host);
        let mut announcements = HeartbeatUpdate::Advanced;
        match known {
            Some(known)
                if (known.heartbeat.incarnation, known.heartbeat.count)
                    >= (heartbeat.incarnation, heartbeat.count) =>
            {
                return HeartbeatUpdate::Known;
            }
            Some(known) => {
                let is_same = known.heartbeat.incarnation == heartbeat.incarnation;
                let known_count = if is_same { known.heartbeat.count } else { 0 };
                if heartbeat.first_after_outage > known_count {
                    announcements = HeartbeatUpdate::Recovered;
                }
                known.heartbeat = heartbeat.clone();
                known.advanced_at = now;
            }
            None => self.received.push(ReceivedHeartbeat {
                heartbeat: heartbeat.clone(),
                advanced_at: now,
            }),
        }
        self.last_advanced = Some(now);
        announcements
    }

    /// The beats to send: the most recently raised.
    pub fn recent(&self, now: Instant) -> Vec<ReaderHeartbeat> {
        let mut recent: Vec<&ReceivedHeartbeat> = self
            .received
            .iter()
            .filter(|known| now.saturating_duration_since(known.advanced_at) < SEND_PERIOD)
            .collect();
        recent.sort_by_key(|known| std::cmp::Reverse(known.advanced_at));
        recent
            .into_iter()
            .take(MAX_HEARTBEATS)
            .map(|known| known.heartbeat.clone())
            .collect()
    }

    /// Forgets when a beat was last raised, after a pause.
    pub fn reset_timers(&mut self) {
        self.last_advanced = None;
    }
}
