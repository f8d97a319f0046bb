//! What changes while a leaf runs, behind one lock.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio_util::sync::CancellationToken;
use yuccalift_core::ids::{AttemptId, IndexVersion, ShardId};
use yuccalift_wire::leaf::{LeafRequest, LeafState, LeafStatus};

use super::command::{DrainSign, LoadReport, SlowSpells};
use super::options::LeafOptions;
use super::record::{LeafCounts, LeafRun, RunEnd};

/// An attempt that waits or runs and can be cancelled.
#[derive(Debug)]
pub(super) struct OpenAttempt {
    pub(super) sender: Box<str>,
    pub(super) attempt: AttemptId,
    pub(super) token: CancellationToken,
}

/// A drain that has begun.
#[derive(Clone, Copy, Debug)]
struct RunningDrain {
    sign: DrainSign,
    began: Instant,
}

/// A load report as it was made some time ago.
#[derive(Clone, Copy, Debug)]
struct MadeReport {
    load: f64,
    made: Instant,
}

/// What changes while a leaf runs.
#[derive(Debug)]
pub(super) struct LeafMutable {
    pub(super) held: Vec<IndexVersion>,
    pub(super) shards: Vec<ShardId>,
    drain: Option<RunningDrain>,
    pub(super) slow_factor: f64,
    pub(super) spells: Option<SlowSpells>,
    pub(super) spells_from: Instant,
    pub(super) report: LoadReport,
    pub(super) cold_until: Instant,
    pub(super) counts: LeafCounts,
    pub(super) runs: Vec<LeafRun>,
    pub(super) arrivals: Vec<u64>,
    pub(super) open: Vec<OpenAttempt>,
    made_report: MadeReport,
    rng: ChaCha8Rng,
}

impl LeafMutable {
    pub(super) fn new(options: &LeafOptions, now: Instant) -> Self {
        Self {
            held: options.held.clone(),
            shards: options.shards.clone(),
            drain: None,
            slow_factor: 1.0,
            spells: options.spells,
            spells_from: now,
            report: options.report,
            cold_until: now + options.cold_period,
            counts: LeafCounts::default(),
            runs: Vec::new(),
            arrivals: Vec::new(),
            open: Vec::new(),
            made_report: MadeReport {
                load: 0.0,
                made: now,
            },
            rng: ChaCha8Rng::seed_from_u64(options.seed),
        }
    }

    /// Counts a request that arrives.
    pub(super) fn count_arrival(&mut self, request: &LeafRequest, now: Instant) {
        self.counts.received += 1;
        let mut hasher = DefaultHasher::new();
        request.request.hash(&mut hasher);
        request.shard.hash(&mut hasher);
        self.arrivals.push(hasher.finish());
        if let Some(drain) = self.drain {
            let since = now.duration_since(drain.began);
            self.counts.work_after_drain_ms = Some(since.as_millis() as u64);
        }
    }

    /// Begins to drain, or ends it where there is no sign.
    pub(super) fn drain(&mut self, sign: Option<DrainSign>, now: Instant) {
        self.drain = sign.map(|sign| RunningDrain { sign, began: now });
        self.counts.work_after_drain_ms = None;
    }

    /// Whether new work is refused because it drains.
    pub(super) fn refuses(&self) -> bool {
        self.drain
            .is_some_and(|drain| drain.sign == DrainSign::Refusal)
    }

    /// Draws the service time of a run that begins now.
    pub(super) fn service_time(&mut self, options: &LeafOptions, now: Instant) -> Duration {
        let spread = (options.service_sigma * standard_normal(&mut self.rng)).exp();
        let elapsed = now.duration_since(self.spells_from);
        let spell = self.spells.map_or(1.0, |spells| spells.factor_at(elapsed));
        let cold = if now < self.cold_until {
            options.cold_factor
        } else {
            1.0
        };
        let factor = spread * spell * cold * self.slow_factor;
        options.service_time.mul_f64(factor)
    }

    pub(super) fn status(&mut self, slots: u32, now: Instant) -> LeafStatus {
        let shows_drain = self
            .drain
            .is_some_and(|drain| drain.sign != DrainSign::None);
        let state = if shows_drain {
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
            held: self.held.clone(),
            shards: self.shards.clone(),
        }
    }

    fn report_load(&mut self, slots: u32, now: Instant) -> (f64, Duration) {
        match self.report {
            LoadReport::Misleading(load) => (load, Duration::ZERO),
            LoadReport::Lagging(lag) => {
                let reported = self.made_report;
                let age = now.duration_since(reported.made);
                if age >= lag {
                    let load = f64::from(self.counts.running) / f64::from(slots);
                    self.made_report = MadeReport { load, made: now };
                }
                (reported.load, age)
            }
        }
    }

    /// Ends a recorded run; `position` is where it stands in the record.
    pub(super) fn end_run(&mut self, position: usize, end: RunEnd) {
        self.runs[position].end = end;
    }

    pub(super) fn forget_attempt(&mut self, sender: &str, attempt: AttemptId) {
        self.open
            .retain(|entry| entry.attempt != attempt || entry.sender.as_ref() != sender);
    }
}

/// Draws from the standard normal distribution, by the method of Box and Muller.
fn standard_normal(rng: &mut ChaCha8Rng) -> f64 {
    let radius: f64 = 1.0 - rng.random::<f64>();
    let angle: f64 = rng.random::<f64>() * std::f64::consts::TAU;
    (-2.0 * radius.ln()).sqrt() * angle.cos()
}
