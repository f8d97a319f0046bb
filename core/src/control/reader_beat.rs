//! Signs that somebody reads the platform: a count that each reader raises with each answer.
//!
//! A count can be compared without clocks, and it can't be kept alive by passing it to and fro:
//! only a raised count is a new sign.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::ids::{HostName, Incarnation};

/// How many readers' beats are held and sent.
pub const MAX_BEATS: usize = 4;
/// How long a beat is sent on after it was last raised.
const SENT_FOR: Duration = Duration::from_secs(15);
/// How long a beat is remembered, so that an old one is not taken for new.
const KEPT_FOR: Duration = Duration::from_secs(300);

/// How often a reader has been answered by the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReaderBeat {
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
    pub regained: u64,
}

/// What a beat says that was not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BeatNews {
    /// Nothing.
    Known,
    /// That its reader was answered.
    Raised,
    /// That its reader was answered for the first time after an outage of the platform.
    Regained,
}

#[derive(Clone, Debug)]
struct HeardBeat {
    beat: ReaderBeat,
    raised: Instant,
}

/// The beats that a daemon has heard of.
#[derive(Clone, Debug, Default)]
pub struct BeatBoard {
    heard: Vec<HeardBeat>,
    latest: Option<Instant>,
}

impl BeatBoard {
    /// When a beat was last raised, as far as this daemon heard.
    pub fn latest(&self) -> Option<Instant> {
        self.latest
    }

    /// Takes a beat, and tells what is new in it.
    pub fn merge(&mut self, now: Instant, beat: &ReaderBeat) -> BeatNews {
        self.heard
            .retain(|known| now.saturating_duration_since(known.raised) < KEPT_FOR);
        let known = self
            .heard
            .iter_mut()
            .find(|known| known.beat.host == beat.host);
        let mut announcements = BeatNews::Raised;
        match known {
            Some(known)
                if (known.beat.incarnation, known.beat.count) >= (beat.incarnation, beat.count) =>
            {
                return BeatNews::Known;
            }
            Some(known) => {
                let is_same = known.beat.incarnation == beat.incarnation;
                let known_count = if is_same { known.beat.count } else { 0 };
                if beat.regained > known_count {
                    announcements = BeatNews::Regained;
                }
                known.beat = beat.clone();
                known.raised = now;
            }
            None => self.heard.push(HeardBeat {
                beat: beat.clone(),
                raised: now,
            }),
        }
        self.latest = Some(now);
        announcements
    }

    /// The beats to send: the most recently raised.
    pub fn sent(&self, now: Instant) -> Vec<ReaderBeat> {
        let mut recent: Vec<&HeardBeat> = self
            .heard
            .iter()
            .filter(|known| now.saturating_duration_since(known.raised) < SENT_FOR)
            .collect();
        recent.sort_by_key(|known| std::cmp::Reverse(known.raised));
        recent
            .into_iter()
            .take(MAX_BEATS)
            .map(|known| known.beat.clone())
            .collect()
    }

    /// Forgets when a beat was last raised, after a pause.
    pub fn forget_ages(&mut self) {
        self.latest = None;
    }
}
