//! Limit of the requests in flight from this daemon to one target: [`ConcurrencyLimit`].
//!
//! The limit grows by about one per round of timely replies. It shrinks by a factor when replies
//! take much longer than the target's unloaded latency, or when the target sheds a request. It
//! exceeds neither the connection share, since each attempt uses one connection, nor a small
//! multiple of the target's slots. See `docs/DESIGN.md`, "Limits".

use std::time::{Duration, Instant};

/// Minimum limit, so that a target with a connection share can always be tried.
const MIN_LIMIT: f64 = 1.0;
/// Maximum limit as a multiple of the target's slots: for each slot one request that runs and one
/// in transit.
const MAX_SLOTS_MULTIPLE: u32 = 2;
/// A target is congested if its recent latency exceeds its unloaded latency by this ratio.
const CONGESTION_RATIO: f64 = 3.0;
/// Factor applied to the limit of a congested target.
const CONGESTION_FACTOR: f64 = 0.9;
/// Factor applied to the limit when the target sheds a request.
const SHED_FACTOR: f64 = 0.7;
/// Minimum time between two decreases, so that one burst of failures decreases the limit once.
const MIN_DECREASE_INTERVAL: Duration = Duration::from_millis(20);
/// Weight of a sample in the recent average.
const RECENT_WEIGHT: f64 = 0.1;
/// Minimum weight of a sample in the unloaded average, reached at the 200th sample; until then all
/// samples count equally.
const UNLOADED_WEIGHT: f64 = 0.005;
/// Minimum number of samples before the unloaded average is used.
const MIN_UNLOADED_SAMPLES: u32 = 32;

/// Adaptive limit of the requests in flight to one target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConcurrencyLimit {
    adaptive: bool,
    limit: f64,
    share: u32,
    slots: u32,
    recent_seconds: f64,
    unloaded_seconds: f64,
    unloaded_samples: u32,
    decreased_at: Option<Instant>,
}

impl ConcurrencyLimit {
    /// Creates the limit of a target with `slots` slots and a connection share of `share`.
    pub(crate) fn new(adaptive: bool, slots: u32, share: u32) -> Self {
        Self {
            adaptive,
            limit: f64::from(slots.max(1)),
            share,
            slots,
            recent_seconds: 0.0,
            unloaded_seconds: 0.0,
            unloaded_samples: 0,
            decreased_at: None,
        }
    }

    /// Returns the current limit; 0 if this daemon must not connect.
    pub(crate) fn current(&self) -> u32 {
        if !self.adaptive {
            return self.share;
        }
        self.ceiling().min(self.limit as u32)
    }

    /// Returns the number of connections that this daemon may hold to the target.
    pub(crate) fn share(&self) -> u32 {
        self.share
    }

    pub(crate) fn set_share(&mut self, share: u32) {
        self.share = share;
    }

    pub(crate) fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Resets the limit to the minimum, for a target that is cold, readmitted or back after a loss.
    pub(crate) fn reset_to_minimum(&mut self) {
        self.limit = MIN_LIMIT;
        self.recent_seconds = 0.0;
    }

    /// Adjusts the limit after a reply; `in_flight` includes the request that was replied to.
    pub(crate) fn on_reply(&mut self, now: Instant, latency: Duration, in_flight: u32) {
        let seconds = latency.as_secs_f64();
        self.update_recent(seconds);
        // Only replies received at low concurrency show the target's unloaded latency.
        if in_flight <= 1 || f64::from(in_flight) * 2.0 <= self.limit {
            self.update_unloaded(seconds);
        }
        if self.is_congested() {
            self.decrease(now, CONGESTION_FACTOR);
        } else if f64::from(in_flight) * 2.0 >= self.limit {
            self.limit += 1.0 / self.limit;
        }
        self.limit = self.limit.min(f64::from(self.ceiling().max(1)));
    }

    /// Decreases the limit after a shed request.
    pub(crate) fn on_shed(&mut self, now: Instant) {
        self.decrease(now, SHED_FACTOR);
    }

    fn ceiling(&self) -> u32 {
        self.share
            .min(self.slots.saturating_mul(MAX_SLOTS_MULTIPLE))
    }

    fn is_congested(&self) -> bool {
        self.unloaded_samples >= MIN_UNLOADED_SAMPLES
            && self.recent_seconds > self.unloaded_seconds * CONGESTION_RATIO
    }

    fn update_recent(&mut self, seconds: f64) {
        if self.recent_seconds == 0.0 {
            self.recent_seconds = seconds;
        } else {
            self.recent_seconds += RECENT_WEIGHT * (seconds - self.recent_seconds);
        }
    }

    fn update_unloaded(&mut self, seconds: f64) {
        self.unloaded_samples = self.unloaded_samples.saturating_add(1);
        let weight = UNLOADED_WEIGHT.max(1.0 / f64::from(self.unloaded_samples));
        self.unloaded_seconds += weight * (seconds - self.unloaded_seconds);
    }

    fn decrease(&mut self, now: Instant, factor: f64) {
        let recent = self
            .decreased_at
            .is_some_and(|last| now.saturating_duration_since(last) < MIN_DECREASE_INTERVAL);
        if recent {
            return;
        }
        self.decreased_at = Some(now);
        self.limit = (self.limit * factor).max(MIN_LIMIT);
    }
}
