//! What recent attempts at a target say about the next one: [`ResponseEstimate`].

use std::time::{Duration, Instant};

/// Weight of a new response time or rejection in a target's moving averages.
const SAMPLE_WEIGHT: f64 = 0.5;
/// Number of deviations by which the expected delay exceeds the average.
const DEVIATIONS: f64 = 1.0;
/// Half-life of a target's estimate without new samples, in seconds.
const ESTIMATE_HALF_LIFE_SECONDS: f64 = 1.2;
/// Ratio to the expected delay below which an answer counts as faster than expected.
const FAST_RATIO: f64 = 0.5;
/// Weight of an answer that was faster than expected.
const FAST_WEIGHT: f64 = 0.8;
/// Delay, as a multiple of the typical latency, up to which an answer shows that its target is not
/// saturated.
const QUICK_DELAY: f64 = 1.0;
/// Time for which a rejection or a very late answer shows that a target is saturated. Without it the
/// queue of a target fills again as soon as it is no longer full.
const SATURATION_MEMORY: Duration = Duration::from_millis(1_500);

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
    /// Time of the latest rejection or very late answer, unless a quick answer followed.
    saturated_at: Option<Instant>,
}

/// The time that an attempt took.
#[derive(Clone, Copy, Debug)]
pub(super) struct DelaySample {
    /// Time beyond the typical latency of the route.
    pub(super) delay: Duration,
    pub(super) typical: Duration,
    /// Whether the attempt took much longer than the latency aim of its route.
    pub(super) is_late: bool,
}

impl DelaySample {
    fn relative_delay(&self) -> f64 {
        self.delay.as_secs_f64() / self.typical.as_secs_f64().max(1e-6)
    }
}

impl ResponseEstimate {
    /// Records an answer that took `delay` longer than usual. Faster answers than expected have a
    /// higher weight, so that recovery is noticed at once.
    pub(super) fn record(&mut self, now: Instant, sample: DelaySample) {
        let mut weight = self.advance(now);
        let delay = sample.delay.as_secs_f64();
        if delay < FAST_RATIO * self.delay {
            weight = weight.max(FAST_WEIGHT);
            self.rejected_share = 0.0;
        }
        let difference = delay - self.delay;
        self.delay += weight * difference;
        self.relative_delay += weight * (sample.relative_delay() - self.relative_delay);
        self.deviation += SAMPLE_WEIGHT * (difference.abs() - self.deviation);
        self.rejected_share -= SAMPLE_WEIGHT * self.rejected_share;
        if sample.is_late {
            self.saturated_at = Some(now);
        } else if sample.delay < sample.typical.mul_f64(QUICK_DELAY) {
            self.saturated_at = None;
        }
    }

    /// Records that an attempt was given up without an answer, `delay` later than usual.
    pub(super) fn record_unanswered(&mut self, now: Instant, sample: DelaySample) {
        let weight = self.advance(now);
        self.delay += weight * (sample.delay.as_secs_f64() - self.delay).max(0.0);
        self.relative_delay += weight * (sample.relative_delay() - self.relative_delay).max(0.0);
        if sample.is_late {
            self.saturated_at = Some(now);
        }
    }

    /// Records a rejection, which means that the target's queue is full unless the target answers
    /// others without delay.
    pub(super) fn record_rejection(&mut self, now: Instant) {
        self.advance(now);
        self.rejected_share += SAMPLE_WEIGHT * (1.0 - self.rejected_share);
        self.saturated_at = Some(now);
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

    /// Returns whether the target lately rejected an attempt or answered one very late. A delay alone
    /// does not show that: slow service is not shortened by sending less.
    pub(super) fn is_saturated(&self, now: Instant) -> bool {
        self.saturated_at
            .is_some_and(|at| now.saturating_duration_since(at) < SATURATION_MEMORY)
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
