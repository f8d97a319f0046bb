//! Latency statistics: [`LatencyAverage`] of one target and [`LatencyHistogram`] of the targets of
//! a collection.
//!
//! See `docs/DESIGN.md`, "Target choice" and "Hedging".

use std::time::{Duration, Instant};

/// Weight of a new sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.3;
/// Half-life of the difference between a target's latency and the typical latency, without new
/// samples.
const HALF_LIFE_SECONDS: f64 = 1.0;
/// Weight of a new sample in the moving deviation.
const DEVIATION_WEIGHT: f64 = 0.2;

/// Moving average of latency with its mean absolute deviation, in seconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LatencyAverage {
    mean: f64,
    deviation: f64,
    samples: u32,
    recorded_at: Option<Instant>,
}

impl LatencyAverage {
    pub(crate) fn record(&mut self, now: Instant, sample: Duration) {
        let retained = self.decay_factor(now);
        self.recorded_at = Some(now);
        let sample = sample.as_secs_f64();
        if self.samples == 0 {
            self.mean = sample;
            self.deviation = 0.0;
        } else {
            // The weight of the new sample grows with the age of the previous one.
            let difference = sample - self.mean;
            self.mean += (1.0 - (1.0 - SAMPLE_WEIGHT) * retained) * difference;
            self.deviation *= retained;
            self.deviation += DEVIATION_WEIGHT * (difference.abs() * retained - self.deviation);
        }
        self.samples = self.samples.saturating_add(1);
    }

    /// Returns the average, or nothing without samples.
    pub(crate) fn mean(&self) -> Option<Duration> {
        (self.samples > 0).then(|| Duration::from_secs_f64(self.mean.max(0.0)))
    }

    /// Estimates the latency in seconds as average plus deviation. The estimate decays towards
    /// `typical` as the last sample ages; otherwise a target that was slow once would never be
    /// chosen again.
    pub(crate) fn conservative_seconds(&self, now: Instant, typical: f64) -> f64 {
        typical + (self.mean + self.deviation - typical) * self.decay_factor(now)
    }

    /// Returns the weight of past samples, from 1 for a sample just recorded towards 0.
    fn decay_factor(&self, now: Instant) -> f64 {
        let Some(recorded_at) = self.recorded_at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(recorded_at).as_secs_f64();
        (-age / HALF_LIFE_SECONDS).exp2()
    }

    pub(crate) fn samples(&self) -> u32 {
        self.samples
    }
}

/// Buckets per doubling of the latency; each bucket is about 9% wide.
const BUCKETS_PER_DOUBLING: u32 = 8;
/// Number of doublings covered, from 1 microsecond to about 67 seconds.
const DOUBLINGS: u32 = 26;
const BUCKETS: usize = (BUCKETS_PER_DOUBLING * DOUBLINGS) as usize;
/// Number of samples at which all counts are halved, so that old samples lose weight.
const HALVING_THRESHOLD: u32 = 8_192;
/// Number of samples between two computations of the quantiles.
const REFRESH_INTERVAL: u32 = 64;
/// Minimum number of samples for quantiles to be available.
const MIN_SAMPLES: u32 = 64;

/// Latency quantiles used for decisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LatencyQuantiles {
    pub(crate) median: Duration,
    /// Latency above which a request is hedged.
    pub(crate) hedge: Duration,
}

/// Share of samples above [`LatencyQuantiles::hedge`] if no target is slow.
const HEDGED_SHARE: f64 = 0.015;
/// Share of samples that slow targets do not affect, since they are few and get little work.
const BODY_SHARE: f64 = 0.95;
/// Maximum ratio of the hedge quantile to the [`BODY_SHARE`] quantile; about the ratio in an
/// exponential tail.
const MAX_TAIL_RATIO: f64 = 1.4;

/// A decaying latency histogram with logarithmic buckets.
#[derive(Clone, Debug)]
pub(crate) struct LatencyHistogram {
    counts: Box<[u32; BUCKETS]>,
    total: u32,
    since_refresh: u32,
    quantiles: Option<LatencyQuantiles>,
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        Self {
            counts: Box::new([0; BUCKETS]),
            total: 0,
            since_refresh: 0,
            quantiles: None,
        }
    }
}

impl LatencyHistogram {
    pub(crate) fn record(&mut self, sample: Duration) {
        self.counts[bucket_of(sample)] += 1;
        self.total += 1;
        self.since_refresh += 1;
        if self.total >= HALVING_THRESHOLD {
            self.halve_counts();
        }
        if self.since_refresh >= REFRESH_INTERVAL {
            self.refresh_quantiles();
        }
    }

    /// Returns the quantiles, or nothing while there are too few samples.
    pub(crate) fn quantiles(&self) -> Option<LatencyQuantiles> {
        self.quantiles
    }

    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }

    fn halve_counts(&mut self) {
        for count in self.counts.iter_mut() {
            *count /= 2;
        }
        self.total = self.counts.iter().sum();
    }

    fn refresh_quantiles(&mut self) {
        self.since_refresh = 0;
        if self.total < MIN_SAMPLES {
            return;
        }
        self.quantiles = Some(LatencyQuantiles {
            median: self.quantile(0.5),
            hedge: self.hedge_quantile(),
        });
    }

    /// Returns the latency above which a request is hedged. Slow targets stretch the far tail,
    /// which would delay the hedges meant for them, so the result is bounded by a lower quantile.
    fn hedge_quantile(&self) -> Duration {
        let body_bound = self.quantile(BODY_SHARE).mul_f64(MAX_TAIL_RATIO);
        self.quantile(1.0 - HEDGED_SHARE).min(body_bound)
    }

    fn quantile(&self, share: f64) -> Duration {
        let rank = (f64::from(self.total) * share).ceil() as u32;
        let mut cumulative = 0;
        for (bucket, count) in self.counts.iter().enumerate() {
            cumulative += count;
            if cumulative >= rank {
                return upper_bound(bucket);
            }
        }
        upper_bound(BUCKETS - 1)
    }
}

fn bucket_of(sample: Duration) -> usize {
    let micros = (sample.as_micros() as u64).max(1);
    let doubling = micros.ilog2();
    let fraction = if doubling >= 3 {
        (micros >> (doubling - 3)) & 7
    } else {
        (micros << (3 - doubling)) & 7
    };
    let bucket = u64::from(doubling * BUCKETS_PER_DOUBLING) + fraction;
    (bucket as usize).min(BUCKETS - 1)
}

fn upper_bound(bucket: usize) -> Duration {
    let doubling = bucket as u32 / BUCKETS_PER_DOUBLING;
    let fraction = bucket as u32 % BUCKETS_PER_DOUBLING;
    let eighths = u64::from(BUCKETS_PER_DOUBLING + fraction + 1);
    Duration::from_nanos(((1_000 * eighths) << doubling) / u64::from(BUCKETS_PER_DOUBLING))
}
