//! What recent attempts at a target say about the next one: [`ResponseEstimate`].

use std::time::{Duration, Instant};

/// Weight of a new response time or rejection in a target's moving averages.
const SAMPLE_WEIGHT: f64 = 0.5;
/// Number of deviations by which the expected delay exceeds the average.
const DEVIATIONS: f64 = 1.0;
/// Half-life of a target's estimate without new samples, in seconds.
const ESTIMATE_HALF_LIFE_SECONDS: f64 = 2.0;

/// How much longer than usual recent attempts at a target took, and how many it rejected.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ResponseEstimate {
    /// Time beyond the typical latency of the route, in seconds. The delay, unlike the whole time,
    /// is comparable between routes with different work.
    delay: f64,
    /// Mean absolute deviation of the delay, in seconds. Where attempts wait in a queue it is large;
    /// at a target that is slow but has no queue it is small.
    deviation: f64,
    /// Time beyond the typical latency, as a multiple of the typical latency.
    relative_delay: f64,
    rejected_share: f64,
    updated_at: Option<Instant>,
}

impl ResponseEstimate {
    /// Records an answer that took `delay` longer than usual.
    pub(super) fn record(&mut self, now: Instant, delay: Duration, typical: Duration) {
        let weight = self.advance(now);
        let difference = delay.as_secs_f64() - self.delay;
        self.delay += weight * difference;
        let relative = delay.as_secs_f64() / typical.as_secs_f64().max(1e-6);
        self.relative_delay += weight * (relative - self.relative_delay);
        self.deviation += SAMPLE_WEIGHT * (difference.abs() - self.deviation);
        self.rejected_share -= SAMPLE_WEIGHT * self.rejected_share;
    }

    /// Records that an attempt was given up without an answer, `delay` later than usual.
    pub(super) fn record_unanswered(&mut self, now: Instant, delay: Duration, typical: Duration) {
        let weight = self.advance(now);
        self.delay += weight * (delay.as_secs_f64() - self.delay).max(0.0);
        let relative = delay.as_secs_f64() / typical.as_secs_f64().max(1e-6);
        self.relative_delay += weight * (relative - self.relative_delay).max(0.0);
    }

    /// Records a rejection, which means that the target's queue is full.
    pub(super) fn record_rejection(&mut self, now: Instant) {
        self.advance(now);
        self.rejected_share += SAMPLE_WEIGHT * (1.0 - self.rejected_share);
    }

    /// Returns the expected delay in seconds of an attempt that usually takes `usual` seconds; it
    /// decays without new samples.
    ///
    /// Waiting delays all attempts alike, and slow service each in proportion to its work. Which of
    /// them it is isn't known, so the lesser delay is expected.
    pub(super) fn delay(&self, now: Instant, usual: f64) -> f64 {
        if self.delay <= 0.0 {
            return 0.0;
        }
        let proportion = (usual * self.relative_delay / self.delay).min(1.0);
        (self.delay + DEVIATIONS * self.deviation) * proportion * self.retained(now)
    }

    /// Returns the share of attempts that the target is expected to reject.
    pub(super) fn rejected_share(&self, now: Instant) -> f64 {
        self.rejected_share * self.retained(now)
    }

    /// Returns whether the estimate was last updated before a time.
    pub(super) fn is_older_than(&self, time: Option<Instant>) -> bool {
        self.updated_at
            .zip(time)
            .is_some_and(|(updated, time)| updated < time)
    }

    /// Returns the weight of the next sample, which grows with the age of the previous one.
    fn advance(&mut self, now: Instant) -> f64 {
        let retained = self.retained(now);
        self.rejected_share *= retained;
        self.updated_at = Some(now);
        1.0 - (1.0 - SAMPLE_WEIGHT) * retained
    }

    /// Returns the weight of past samples, from 1 for one just recorded towards 0.
    fn retained(&self, now: Instant) -> f64 {
        let Some(updated_at) = self.updated_at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(updated_at).as_secs_f64();
        (-age / ESTIMATE_HALF_LIFE_SECONDS).exp2()
    }
}
