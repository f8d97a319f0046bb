//! Changes to a running leaf, by method call or over HTTP.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use yuccalift_core::ids::{IndexVersion, ShardId};

/// A change to a running leaf.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeafCommand {
    /// Starts draining; the signal selects how the leaf shows the drain.
    Drain(DrainSignal),
    /// Ends draining and accepts work again.
    Undrain,
    /// Replaces the index versions that the leaf holds; the list must be sorted.
    #[serde(rename = "hold")]
    SetVersions(Vec<IndexVersion>),
    /// Replaces the shards that the leaf holds; the list must be sorted.
    #[serde(rename = "host")]
    SetShards(Vec<ShardId>),
    /// Sets a factor of the service time, in addition to that of slow periods.
    #[serde(rename = "slow")]
    SetSlowdown(f64),
    /// Replaces the schedule of slow periods and starts it now.
    #[serde(rename = "spells")]
    SetSlowPeriods(Option<SlowPeriods>),
    /// Changes how the leaf reports its load.
    #[serde(rename = "report")]
    SetLoadReport(LoadReport),
    /// Makes the open connections silent: they accept bytes and never answer. New connections work.
    Silence,
    /// Drops all connections and work and refuses connections for a time, as a killed process does.
    Crash {
        /// Time until the leaf accepts connections again.
        downtime: Duration,
    },
}

/// How a draining leaf shows that it is draining.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainSignal {
    /// Neither status nor refusals show the drain; a test marks the leaf in the platform's list of
    /// hosts instead.
    None,
    /// The status reports the drain.
    Status,
    /// The status reports the drain, and new work is refused.
    Refusal,
}

/// Schedule of periods during which a leaf is slow without reporting it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SlowPeriods {
    /// Factor of the service time during a slow period.
    pub factor: f64,
    /// Start of the first slow period, since the start of the schedule.
    pub first: Duration,
    /// Duration of each slow period.
    pub length: Duration,
    /// Time from the start of one slow period to the start of the next.
    pub period: Duration,
}

impl SlowPeriods {
    /// Returns the factor of the service time at a time since the start of the schedule.
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
    /// Reports a load that was sampled up to this long ago, with its true age.
    Lagging(Duration),
    /// Always reports the given load as current.
    Misleading(f64),
}
