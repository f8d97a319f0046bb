//! How many requests a target may have in flight from this daemon: [`ConcurrencyLimit`].
//!
//! The limit grows by one for each round of good replies and shrinks by a part when replies take
//! much longer than the target's unloaded latency, or when it sheds. It never exceeds the
//! connection share, since each attempt uses one connection, nor a small multiple of the target's
//! slots. See `docs/DESIGN.md`, "Limits".

use std::time::{Duration, Instant};

/// The least limit; a target with a share can always be tried.
const MIN_LIMIT: f64 = 1.0;
/// The greatest limit in multiples of a target's slots: one to run, one on its way.
const MAX_SLOTS_MULTIPLE: u32 = 2;
/// Replies are late when their recent average is this many times the unloaded one.
const CONGESTION_RATIO: f64 = 3.0;
/// What late replies leave of the limit.
const CONGESTION_FACTOR: f64 = 0.9;
/// What a shed request leaves of the limit.
const SHED_FACTOR: f64 = 0.7;
/// The shortest time between two cuts, so that one burst of bad news cuts once.
const MIN_DECREASE_INTERVAL: Duration = Duration::from_millis(20);
/// The weight of a sample in the recent average.
const RECENT_WEIGHT: f64 = 0.1;
/// The weight of a sample in the unloaded average, once it has settled.
const UNLOADED_WEIGHT: f64 = 0.005;
/// Samples over which the unloaded average settles.
const MIN_UNLOADED_SAMPLES: u32 = 32;

/// An adaptive limit of the requests in flight to one target.
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
    /// A limit for a target with so many slots, of which this daemon has a connection share.
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

    /// The limit in force; 0 if this daemon must not connect.
    pub(crate) fn current(&self) -> u32 {
        if !self.adaptive {
            return self.share;
        }
        self.ceiling().min(self.limit as u32)
    }

    /// The connection share.
    pub(crate) fn share(&self) -> u32 {
        self.share
    }

    /// Puts another connection share in force.
    pub(crate) fn set_share(&mut self, share: u32) {
        self.share = share;
    }

    /// Puts another number of slots in force.
    pub(crate) fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Begins again at the least limit, for a target that is cold or back on probation.
    pub(crate) fn reset_to_minimum(&mut self) {
        self.limit = MIN_LIMIT;
        self.recent_seconds = 0.0;
    }

    /// Learns from a reply; `in_flight` counts it as well.
    pub(crate) fn on_reply(&mut self, now: Instant, latency: Duration, in_flight: u32) {
        let seconds = latency.as_secs_f64();
        self.update_recent(seconds);
        // Only replies to few requests at once tell what the target does when it is not loaded.
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

    /// Learns from a shed request.
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
