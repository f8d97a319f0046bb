//! What has been seen of latencies: [`LatencyAverage`] of one target, [`LatencyHistogram`] of a
//! collection's targets.
//!
//! See `docs/DESIGN.md`, "Target choice" and "Hedging".

use std::time::{Duration, Instant};

/// The weight of a new sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.3;
/// The time in which half of what sets a target apart from its group is forgotten.
const HALF_LIFE_SECONDS: f64 = 1.0;
/// The weight of a new sample in the moving deviation.
const DEVIATION_WEIGHT: f64 = 0.2;

/// A moving average of latency with its mean deviation, in seconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LatencyAverage {
    mean: f64,
    deviation: f64,
    samples: u32,
    recorded_at: Option<Instant>,
}

impl LatencyAverage {
    /// Takes a sample.
    pub(crate) fn record(&mut self, now: Instant, sample: Duration) {
        let retained = self.decay_factor(now);
        self.recorded_at = Some(now);
        let sample = sample.as_secs_f64();
        if self.samples == 0 {
            self.mean = sample;
            self.deviation = 0.0;
        } else {
            // The older the last sample is, the more the new one counts.
            let difference = sample - self.mean;
            self.mean += (1.0 - (1.0 - SAMPLE_WEIGHT) * retained) * difference;
            self.deviation *= retained;
            self.deviation += DEVIATION_WEIGHT * (difference.abs() * retained - self.deviation);
        }
        self.samples = self.samples.saturating_add(1);
    }

    /// The average, if there is any sample.
    pub(crate) fn mean(&self) -> Option<Duration> {
        (self.samples > 0).then(|| Duration::from_secs_f64(self.mean.max(0.0)))
    }

    /// A careful estimate in seconds: the average and its deviation, fading to what is usual as
    /// the last sample ages. Without that a target that was slow once would never be asked again.
    pub(crate) fn conservative_seconds(&self, now: Instant, typical: f64) -> f64 {
        typical + (self.mean + self.deviation - typical) * self.decay_factor(now)
    }

    /// How much of what was known is still worth something, 0 to 1.
    fn decay_factor(&self, now: Instant) -> f64 {
        let Some(recorded_at) = self.recorded_at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(recorded_at).as_secs_f64();
        (-age / HALF_LIFE_SECONDS).exp2()
    }

    /// How many samples it rests on.
    pub(crate) fn samples(&self) -> u32 {
        self.samples
    }
}

/// Buckets for each doubling of the latency; a bucket is then about 9% wide.
const BUCKETS_PER_DOUBLING: u32 = 8;
/// Doublings covered, from 1 microsecond on: up to about 67 seconds.
const DOUBLINGS: u32 = 26;
const BUCKETS: usize = (BUCKETS_PER_DOUBLING * DOUBLINGS) as usize;
/// The number of samples at which all counts are halved, so that old ones fade.
const HALVING_THRESHOLD: u32 = 8_192;
/// Samples between two computations of the quantiles.
const REFRESH_INTERVAL: u32 = 64;
/// Samples without which no quantile is told.
const MIN_SAMPLES: u32 = 64;

/// The quantiles that decisions need.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LatencyQuantiles {
    /// Half of the samples are at or below it.
    pub(crate) median: Duration,
    /// The samples above it are few enough to be hedged.
    pub(crate) hedge: Duration,
}

/// The share of samples above [`LatencyQuantiles::hedge`], where no target is slow.
const HEDGED_SHARE: f64 = 0.015;
/// A share of samples that slow targets do not reach, since they are few and get little work.
const BODY_SHARE: f64 = 0.95;
/// What the hedge quantile is of the clean one at the most; as much as in an exponential tail.
const MAX_TAIL_RATIO: f64 = 1.4;

/// A fading histogram of latency with buckets of equal ratio.
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
    /// Takes a sample.
    pub(crate) fn record(&mut self, sample: Duration) {
        self.counts[bucket_of(sample)] += 1;
        self.total += 1;
        self.since_refresh += 1;
        if self.total >= HALVING_THRESHOLD {
            self.halve_counts();
        }
        if self.since_refresh >= REFRESH_INTERVAL {
            self.refresh();
        }
    }

    /// The quantiles; none while there are too few samples.
    pub(crate) fn quantiles(&self) -> Option<LatencyQuantiles> {
        self.quantiles
    }

    /// Forgets all samples.
    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }

    fn halve_counts(&mut self) {
        for count in self.counts.iter_mut() {
            *count /= 2;
        }
        self.total = self.counts.iter().sum();
    }

    fn refresh(&mut self) {
        self.since_refresh = 0;
        if self.total < MIN_SAMPLES {
            return;
        }
        self.quantiles = Some(LatencyQuantiles {
            median: self.quantile(0.5),
            hedge: self.hedge_quantile(),
        });
    }

    /// The quantile above which a request is hedged. Slow targets stretch the far tail, and would
    /// put off the very hedges that are for them, so the tail is measured from a nearer quantile.
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
