//! What can be changed while a leaf runs, by method or over HTTP.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use yuccalift_core::ids::{IndexVersion, ShardId};

/// A change to a running leaf.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeafCommand {
    /// Starts to drain; how it shows that is the sign's affair.
    Drain(DrainSign),
    /// Takes work again.
    Undrain,
    /// Changes the index versions that it holds.
    Hold(Vec<IndexVersion>),
    /// Changes the shards that it holds.
    Host(Vec<ShardId>),
    /// Multiplies its service time from now on, beside any spell.
    Slow(f64),
    /// Changes its slow spells, whose schedule begins now.
    Spells(Option<SlowSpells>),
    /// Changes how it reports its load.
    Report(LoadReport),
    /// Makes its open connections silent; new ones work.
    Silence,
    /// Cuts its connections, loses its work and refuses connections for a time.
    Crash {
        /// For how long it is down.
        downtime: Duration,
    },
}

/// How a draining leaf shows that it drains.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainSign {
    /// It does not; only the platform's list of hosts does.
    None,
    /// Its status says so.
    Status,
    /// Its status says so, and it refuses new work.
    Refusal,
}

/// Spells during which a leaf is slow, which no report of its own shows.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SlowSpells {
    /// By how much its service time is multiplied in a spell.
    pub factor: f64,
    /// When the first spell begins.
    pub first: Duration,
    /// How long each spell is.
    pub length: Duration,
    /// The time from the beginning of one spell to that of the next.
    pub period: Duration,
}

impl SlowSpells {
    /// The factor at a time since the schedule began.
    pub fn factor_at(&self, elapsed: Duration) -> f64 {
        let Some(since_first) = elapsed.checked_sub(self.first) else {
            return 1.0;
        };
        let period = self.period.as_secs_f64().max(f64::MIN_POSITIVE);
        if since_first.as_secs_f64() % period < self.length.as_secs_f64() {
            self.factor
        } else {
            1.0
        }
    }
}

/// How a leaf reports its load.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadReport {
    /// The load as it was up to this long ago, with its true age.
    Lagging(Duration),
    /// Always the same load, said to be fresh.
    Misleading(f64),
}
