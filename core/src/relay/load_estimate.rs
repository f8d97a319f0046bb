//! Estimates the load of a target from what it reports: [`LoadEstimate`].
//!
//! A report includes the attempts of this daemon, which the daemon counts itself. Only the load of
//! others is therefore taken from the report.
//!
//! A report loses its influence within a second, since the load of a target changes many times a
//! second. Its influence is bounded, and falls further if measured response times don't confirm it.
//!
//! See `docs/DESIGN.md`, "What targets say of themselves".

use std::time::{Duration, Instant};

use super::self_report::ReportedLoad;

/// Age at which a report has no influence any more.
const MAX_AGE: Duration = Duration::from_secs(1);
/// Reported load, in multiples of the target's slots, from which more has no further influence.
const MAX_COUNTED_LOAD: f64 = 1.0;
/// Weight of the reported load beside this daemon's own. With a weight of 0.5, reports that are 100
/// ms old raised the 99th percentile by 12% in the simulation of `relay/reported_load.rs`; with this
/// one, no report raised it by more than 8%.
const LOAD_WEIGHT: f64 = 0.25;
/// Maximum expected wait, in multiples of the usual service time: 24 attempts may wait behind 4
/// slots, each of which may be several times slower than usual.
const MAX_EXPECTED_WAIT: f64 = 20.0;
/// Minimum delay, in multiples of the usual service time, that a report must imply to be compared
/// with a response time; smaller ones are within the variation of response times.
const MIN_COMPARED_DELAY: f64 = 0.5;
/// Weight of a new comparison in the moving average of the trust.
const TRUST_WEIGHT: f64 = 0.25;
/// Trust below which a target's reports are doubted, for the log.
const DOUBTED_TRUST: f64 = 0.3;
/// Trust above which doubted reports are believed again, for the log.
const BELIEVED_TRUST: f64 = 0.7;

/// A change of the trust in a target's reports that is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadTrustChange {
    /// Response times don't confirm the reports.
    Doubted,
    /// Response times confirm the reports again.
    Believed,
}

/// The latest load that a target reported, and how far it is trusted.
#[derive(Clone, Debug)]
pub struct LoadEstimate {
    latest: Option<TimedLoad>,
    /// How far response times confirm the reports, from 0 to 1.
    trust: f64,
    is_doubted: bool,
}

/// A report and the circumstances of its arrival.
#[derive(Clone, Copy, Debug)]
struct TimedLoad {
    load: ReportedLoad,
    received_at: Instant,
    /// Requests of others at the target, running or waiting.
    others: f64,
}

impl Default for LoadEstimate {
    fn default() -> Self {
        Self {
            latest: None,
            trust: 1.0,
            is_doubted: false,
        }
    }
}

impl LoadEstimate {
    /// Records a report that arrives while `own` attempts of this daemon are in flight at the
    /// target, including the one that is being answered.
    pub fn record(&mut self, now: Instant, load: ReportedLoad, own: usize) {
        let total = f64::from(load.running) + f64::from(load.waiting);
        self.latest = Some(TimedLoad {
            load,
            received_at: now,
            others: (total - own as f64).max(0.0),
        });
    }

    /// Compares a report that arrived at `now` with the response time of the answer that it came
    /// with, as a multiple of the typical one.
    pub fn compare(&mut self, now: Instant, relative_time: f64) -> Option<LoadTrustChange> {
        let latest = self.latest.filter(|latest| latest.received_at == now)?;
        let load = latest.load;
        let total = f64::from(load.running) + f64::from(load.waiting);
        let implied = wait_behind(total, &load) + (load.pace - 1.0).max(0.0);
        if implied < MIN_COMPARED_DELAY {
            return None;
        }
        let measured = (relative_time - 1.0).max(0.0);
        let confirmed = (measured / implied.min(MAX_EXPECTED_WAIT)).min(1.0);
        self.trust += TRUST_WEIGHT * (confirmed - self.trust);
        match self.is_doubted {
            false if self.trust < DOUBTED_TRUST => {
                self.is_doubted = true;
                Some(LoadTrustChange::Doubted)
            }
            true if self.trust > BELIEVED_TRUST => {
                self.is_doubted = false;
                Some(LoadTrustChange::Believed)
            }
            _ => None,
        }
    }

    /// Returns the load to add to this daemon's own, from 0 to a quarter, as a multiple of the
    /// target's slots; `None` without a recent report. It falls with the report's age and with the
    /// trust.
    pub fn extra_load(&self, now: Instant) -> Option<f64> {
        let (latest, weight) = self.recent(now)?;
        let load = latest.load;
        let pace = (load.pace - 1.0).max(0.0);
        let extra = latest.others / f64::from(load.slots.max(1)) + pace;
        Some(weight * LOAD_WEIGHT * extra.min(MAX_COUNTED_LOAD))
    }

    /// Returns the expected wait of a request that is sent now, in multiples of the usual service
    /// time, if `own` attempts of this daemon are in flight at the target; `None` without a recent
    /// report.
    pub fn expected_wait(&self, now: Instant, own: usize) -> Option<f64> {
        let (latest, weight) = self.recent(now)?;
        let wait = wait_behind(latest.others + own as f64, &latest.load);
        Some(weight * wait.min(MAX_EXPECTED_WAIT))
    }

    /// Returns the latest report and its weight, unless it is too old.
    fn recent(&self, now: Instant) -> Option<(&TimedLoad, f64)> {
        let latest = self.latest.as_ref()?;
        let age = now.saturating_duration_since(latest.received_at);
        if age >= MAX_AGE {
            return None;
        }
        let left = 1.0 - age.as_secs_f64() / MAX_AGE.as_secs_f64();
        Some((latest, left * left * self.trust))
    }
}

/// Returns the wait behind `total` requests until a slot is free, in multiples of the usual service
/// time.
fn wait_behind(total: f64, load: &ReportedLoad) -> f64 {
    let slots = f64::from(load.slots.max(1));
    if total < slots {
        return 0.0;
    }
    (total - slots + 1.0) / slots * load.pace
}
