//! Mutable state of a running leaf, behind one lock.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio_util::sync::CancellationToken;
use yuccalift_core::ids::{AttemptId, IndexVersion, ShardId};
use yuccalift_wire::leaf::{LeafRequest, LeafState, LeafStatus};

use super::command::{DrainSignal, LoadReport, SlowPeriods};
use super::options::LeafOptions;
use super::record::{LeafCounts, LeafRun, RunStatus};

/// A waiting or running attempt that can be cancelled.
#[derive(Debug)]
pub(super) struct OpenAttempt {
    pub(super) sender: Box<str>,
    pub(super) attempt: AttemptId,
    pub(super) token: CancellationToken,
}

/// A drain in progress.
#[derive(Clone, Copy, Debug)]
struct ActiveDrain {
    signal: DrainSignal,
    started_at: Instant,
}

/// The load at an earlier time, which a lagging report shows.
#[derive(Clone, Copy, Debug)]
struct LoadSample {
    load: f64,
    taken_at: Instant,
}

/// Mutable state of a running leaf.
#[derive(Debug)]
pub(super) struct RuntimeState {
    pub(super) index_versions: Vec<IndexVersion>,
    pub(super) shards: Vec<ShardId>,
    drain: Option<ActiveDrain>,
    pub(super) slow_factor: f64,
    pub(super) slow_periods: Option<SlowPeriods>,
    pub(super) slow_periods_since: Instant,
    pub(super) report: LoadReport,
    pub(super) cold_until: Instant,
    pub(super) counts: LeafCounts,
    pub(super) runs: Vec<LeafRun>,
    pub(super) arrivals: Vec<u64>,
    pub(super) open_attempts: Vec<OpenAttempt>,
    last_sample: LoadSample,
    rng: ChaCha8Rng,
}

impl RuntimeState {
    pub(super) fn new(options: &LeafOptions, now: Instant) -> Self {
        Self {
            index_versions: options.index_versions.clone(),
            shards: options.shards.clone(),
            drain: None,
            slow_factor: 1.0,
            slow_periods: options.slow_periods,
            slow_periods_since: now,
            report: options.report,
            cold_until: now + options.cold_period,
            counts: LeafCounts::default(),
            runs: Vec::new(),
            arrivals: Vec::new(),
            open_attempts: Vec::new(),
            last_sample: LoadSample {
                load: 0.0,
                taken_at: now,
            },
            rng: ChaCha8Rng::seed_from_u64(options.seed),
        }
    }

    pub(super) fn count_arrival(&mut self, request: &LeafRequest, now: Instant) {
        self.counts.received += 1;
        let mut hasher = DefaultHasher::new();
        request.request.hash(&mut hasher);
        request.shard.hash(&mut hasher);
        self.arrivals.push(hasher.finish());
        if let Some(drain) = self.drain {
            let since = now.duration_since(drain.started_at);
            self.counts.work_after_drain_ms = Some(since.as_millis() as u64);
        }
    }

    /// Starts a drain with the given signal, or ends it if there is none.
    pub(super) fn drain(&mut self, signal: Option<DrainSignal>, now: Instant) {
        self.drain = signal.map(|signal| ActiveDrain {
            signal,
            started_at: now,
        });
        self.counts.work_after_drain_ms = None;
    }

    /// Returns whether new work is refused because of a drain.
    pub(super) fn refuses_work(&self) -> bool {
        self.drain
            .is_some_and(|drain| drain.signal == DrainSignal::Refusal)
    }

    /// Draws the service time of a run that starts now.
    pub(super) fn service_time(&mut self, options: &LeafOptions, now: Instant) -> Duration {
        let random_factor = (options.service_sigma * standard_normal(&mut self.rng)).exp();
        let elapsed = now.duration_since(self.slow_periods_since);
        let period_factor = self
            .slow_periods
            .map_or(1.0, |slow_periods| slow_periods.factor_at(elapsed));
        let cold_factor = if now < self.cold_until {
            options.cold_factor
        } else {
            1.0
        };
        let factor = random_factor * period_factor * cold_factor * self.slow_factor;
        options.service_time.mul_f64(factor)
    }

    pub(super) fn status(&mut self, slots: u32, now: Instant) -> LeafStatus {
        let reports_drain = self
            .drain
            .is_some_and(|drain| drain.signal != DrainSignal::None);
        let state = if reports_drain {
            LeafState::Draining
        } else if now < self.cold_until {
            LeafState::Cold
        } else {
            LeafState::Live
        };
        let (load, age) = self.report_load(slots, now);
        LeafStatus {
            state,
            load,
            age_ms: age.as_millis() as u64,
            held: self.index_versions.clone(),
            shards: self.shards.clone(),
        }
    }

    fn report_load(&mut self, slots: u32, now: Instant) -> (f64, Duration) {
        match self.report {
            LoadReport::Misleading(load) => (load, Duration::ZERO),
            LoadReport::Lagging(lag) => {
                let sample = self.last_sample;
                let age = now.duration_since(sample.taken_at);
                if age >= lag {
                    let load = f64::from(self.counts.running) / f64::from(slots);
                    self.last_sample = LoadSample {
                        load,
                        taken_at: now,
                    };
                }
                (sample.load, age)
            }
        }
    }

    /// Ends the run at `run_index` of the recorded runs.
    pub(super) fn end_run(&mut self, run_index: usize, status: RunStatus) {
        self.runs[run_index].end = status;
    }

    pub(super) fn remove_attempt(&mut self, sender: &str, attempt: AttemptId) {
        self.open_attempts
            .retain(|entry| entry.attempt != attempt || entry.sender.as_ref() != sender);
    }
}

/// Draws from the standard normal distribution with the Box-Muller transform.
fn standard_normal(rng: &mut ChaCha8Rng) -> f64 {
    let radius: f64 = 1.0 - rng.random::<f64>();
    let angle: f64 = rng.random::<f64>() * std::f64::consts::TAU;
    (-2.0 * radius.ln()).sqrt() * angle.cos()
}
