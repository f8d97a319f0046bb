//! Simulates load on the relays of several daemons that share targets with slots and queues, in
//! simulated time.

use std::collections::VecDeque;
use std::ops::Range;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yuccalift_core::relay::{
    AttemptKey, AttemptOrder, RelayEvent, ReportedLoad, RequestKey, RouteEntry, SelfReport,
    TargetOutcome, TargetRecord,
};

use crate::support::{RelayHarness, RequestEnd, TIMEOUT, success};

/// Step of the simulated time.
const STEP: Duration = Duration::from_millis(1);
/// Number of times in each step at which a random request may come.
const DRAWS_PER_STEP: f64 = 10.0;
/// Duration of an attempt at a target of normal speed.
const WORK: Range<Duration> = Duration::from_millis(8)..Duration::from_millis(22);

/// What a simulated target reports of its load.
#[derive(Clone, Copy, Debug)]
pub enum LoadReporting {
    /// Nothing.
    Silent,
    /// Its load this long ago.
    Delayed(Duration),
    /// Always the same load.
    Fixed(ReportedLoad),
}

/// A target that runs as many attempts concurrently as it has slots, and queues the others.
#[derive(Debug)]
pub struct SimulatedTarget {
    pub name: Box<str>,
    pub slots: usize,
    /// Factor on the duration of attempts.
    pub slowdown: f64,
    /// Share of the attempts that are rejected at once.
    pub reject_share: f64,
    pub reporting: LoadReporting,
    /// Load at the end of each step.
    history: Vec<ReportedLoad>,
    /// Number of waiting attempts from which further ones are rejected as not run.
    pub queue_limit: usize,
    /// Number of attempts that were rejected because the queue was full.
    pub rejections: usize,
    running: Vec<(Instant, SimulatedAttempt)>,
    queue: VecDeque<(SimulatedAttempt, Duration)>,
}

/// An attempt, preceded by the index of the daemon that sent it.
type SimulatedAttempt = (usize, AttemptKey);
/// A request, the index of the daemon that received it, and the time of its submission.
pub type SimulatedRequest = (RequestKey, usize, Instant);

impl SimulatedTarget {
    /// Creates a target of normal speed.
    pub fn new(name: &str, slots: usize) -> Self {
        Self {
            name: name.into(),
            slots,
            slowdown: 1.0,
            reject_share: 0.0,
            reporting: LoadReporting::Silent,
            history: Vec::new(),
            queue_limit: usize::MAX,
            rejections: 0,
            running: Vec::new(),
            queue: VecDeque::new(),
        }
    }

    /// Returns what the target says of itself.
    fn report(&self) -> SelfReport {
        let load = match self.reporting {
            LoadReporting::Silent => None,
            LoadReporting::Delayed(time) => {
                let steps = (time.as_millis() / STEP.as_millis()) as usize;
                let index = self.history.len().checked_sub(steps + 1);
                index.and_then(|index| self.history.get(index).copied())
            }
            LoadReporting::Fixed(load) => Some(load),
        };
        SelfReport {
            load,
            ..SelfReport::default()
        }
    }

    /// Returns the number of attempts that run or wait.
    fn total(&self) -> usize {
        self.running.len() + self.queue.len()
    }

    fn record_load(&mut self) {
        self.history.push(ReportedLoad {
            running: self.running.len() as u32,
            waiting: self.queue.len() as u32,
            slots: self.slots as u32,
            pace: self.slowdown,
        });
    }

    /// Removes an attempt whose connection was closed; returns false if it has already ended.
    fn drop_attempt(&mut self, attempt: SimulatedAttempt) -> bool {
        let before = self.running.len() + self.queue.len();
        self.running.retain(|(_, running)| *running != attempt);
        self.queue.retain(|(queued, _)| *queued != attempt);
        self.running.len() + self.queue.len() < before
    }

    fn fill_slots(&mut self, now: Instant) {
        while self.running.len() < self.slots {
            let Some((attempt, work)) = self.queue.pop_front() else {
                return;
            };
            self.running.push((now + work, attempt));
        }
    }

    fn take_ended(&mut self, now: Instant) -> Vec<SimulatedAttempt> {
        let ended = self.running.extract_if(.., |(end, _)| *end <= now);
        ended.map(|(_, attempt)| attempt).collect()
    }
}

/// Several daemons that send requests to the same simulated targets.
pub struct LoadSimulation {
    pub targets: Vec<SimulatedTarget>,
    daemons: Vec<SimulatedDaemon>,
    /// Difference between the most and the least loaded target at the end of each step.
    spreads: Vec<usize>,
    now: Instant,
    rng: ChaCha8Rng,
    /// Random numbers of the arrival of requests, which are the same for all choices of targets.
    arrivals: ChaCha8Rng,
}

struct SimulatedDaemon {
    harness: RelayHarness,
    /// Number of the harness's sends that the simulation has processed.
    sends_taken: usize,
    /// Number of the harness's cancellations that the simulation has processed.
    cancels_taken: usize,
    /// Number of the harness's ends of requests that the simulation has passed on.
    ends_taken: usize,
    /// Work of the attempts of each request, by request key; [`WORK`] if it is not listed.
    work: Vec<Range<Duration>>,
}

impl LoadSimulation {
    /// Creates daemons with these routes and targets; each target has `slots` slots.
    pub fn new(
        daemons: usize,
        routes: &[RouteEntry],
        targets: &[TargetRecord],
        slots: usize,
    ) -> Self {
        Self::on_hosts(
            &vec!["entry-1"; daemons],
            routes,
            |_| targets.to_vec(),
            slots,
        )
    }

    /// Creates a daemon on each host; `targets` returns the records that a daemon sees.
    pub fn on_hosts(
        hosts: &[&str],
        routes: &[RouteEntry],
        targets: impl Fn(usize) -> Vec<TargetRecord>,
        slots: usize,
    ) -> Self {
        let now = Instant::now();
        let records = targets(0);
        let simulated = records
            .iter()
            .map(|target| SimulatedTarget::new(&target.name, slots));
        let daemons = hosts.iter().enumerate().map(|(index, host)| {
            let mut harness = RelayHarness::on_host(host, routes.to_vec(), targets(index));
            harness.now = now;
            SimulatedDaemon {
                harness,
                sends_taken: 0,
                cancels_taken: 0,
                ends_taken: 0,
                work: Vec::new(),
            }
        });
        Self {
            targets: simulated.collect(),
            daemons: daemons.collect(),
            spreads: Vec::new(),
            now,
            rng: ChaCha8Rng::seed_from_u64(11),
            arrivals: ChaCha8Rng::seed_from_u64(!11),
        }
    }

    /// Chooses the random numbers of arrivals, and of the durations and rejections of attempts.
    pub fn seed(&mut self, seed: u64) {
        self.rng = ChaCha8Rng::seed_from_u64(seed);
        self.arrivals = ChaCha8Rng::seed_from_u64(!seed);
    }

    /// Passes an event to all daemons.
    pub fn feed_all(&mut self, event: &RelayEvent) {
        for daemon in &mut self.daemons {
            daemon.harness.feed(event.clone());
        }
    }

    pub fn now(&self) -> Instant {
        self.now
    }

    /// Submits a request to a daemon; each of its attempts takes a time drawn from `work`.
    pub fn submit(
        &mut self,
        daemon_index: usize,
        route: &str,
        time_left: Duration,
        work: Range<Duration>,
    ) -> RequestKey {
        let daemon = &mut self.daemons[daemon_index];
        // Keys are assigned in sequence, from 1.
        daemon.work.push(work);
        daemon.harness.submit(route, time_left)
    }

    /// Returns the ends of requests since the last call, each with the index of its daemon.
    pub fn take_ends(&mut self) -> Vec<(usize, RequestEnd)> {
        let mut ends = Vec::new();
        for (daemon_index, daemon) in self.daemons.iter_mut().enumerate() {
            let new = &daemon.harness.ends[daemon.ends_taken..];
            ends.extend(new.iter().map(|end| (daemon_index, end.clone())));
            daemon.ends_taken = daemon.harness.ends.len();
        }
        ends
    }

    /// Returns the attempts that each daemon has sent, with the names of their targets.
    pub fn sends(&self) -> Vec<Vec<(AttemptKey, Box<str>)>> {
        let sends = self.daemons.iter().map(|daemon| {
            let orders = daemon.harness.sends.iter();
            let orders = orders.map(|(_, order)| (order.attempt, order.name.clone()));
            orders.collect()
        });
        sends.collect()
    }

    /// Returns the simulated target with the given name.
    pub fn target(&mut self, name: &str) -> &mut SimulatedTarget {
        let mut targets = self.targets.iter_mut();
        let found = targets.find(|target| target.name.as_ref() == name);
        found.expect("the target is simulated")
    }

    /// Submits requests on a route at regular intervals, to the daemons in turn.
    pub fn submit_evenly(
        &mut self,
        route: &str,
        interval: Duration,
        length: Duration,
    ) -> Vec<SimulatedRequest> {
        let end = self.now + length;
        let mut requests = Vec::new();
        let mut next = self.now;
        while self.now < end {
            while next <= self.now {
                let daemon_index = requests.len() % self.daemons.len();
                let key = self.daemons[daemon_index].harness.submit(route, TIMEOUT);
                requests.push((key, daemon_index, self.now));
                next += interval;
            }
            self.step();
        }
        requests
    }

    /// Submits requests on a route to randomly chosen daemons, at random times with this mean interval.
    pub fn submit_randomly(
        &mut self,
        route: &str,
        interval: Duration,
        length: Duration,
    ) -> Vec<SimulatedRequest> {
        let end = self.now + length;
        let share = STEP.as_secs_f64() / interval.as_secs_f64() / DRAWS_PER_STEP;
        let mut requests = Vec::new();
        while self.now < end {
            for _ in 0..DRAWS_PER_STEP as u32 {
                if self.arrivals.random::<f64>() < share {
                    let daemon_index = self.arrivals.random_range(0..self.daemons.len());
                    let key = self.daemons[daemon_index].harness.submit(route, TIMEOUT);
                    requests.push((key, daemon_index, self.now));
                }
            }
            self.step();
        }
        requests
    }

    /// Advances the simulated time.
    pub fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Advances the simulated time by one step.
    pub fn step(&mut self) {
        self.now += STEP;
        for daemon_index in 0..self.daemons.len() {
            self.apply_actions(daemon_index);
            self.daemons[daemon_index].harness.advance(STEP);
            self.apply_actions(daemon_index);
        }
        for target_index in 0..self.targets.len() {
            for (daemon_index, attempt) in self.targets[target_index].take_ended(self.now) {
                let report = self.targets[target_index].report();
                let harness = &mut self.daemons[daemon_index].harness;
                harness.end_with_report(attempt, success(b"0123456789abcdef"), Some(report));
            }
            self.targets[target_index].fill_slots(self.now);
            self.targets[target_index].record_load();
        }
        let totals = self.targets.iter().map(SimulatedTarget::total);
        let (least, most) = (totals.clone().min(), totals.max());
        self.spreads.push(most.unwrap_or(0) - least.unwrap_or(0));
    }

    /// Carries out the sends and cancellations of a daemon.
    fn apply_actions(&mut self, daemon_index: usize) {
        while let Some(order) = self.daemons[daemon_index].next_send() {
            self.enqueue(daemon_index, &order);
        }
        while let Some(attempt) = self.daemons[daemon_index].next_cancel() {
            let mut targets = self.targets.iter_mut();
            if targets.any(|target| target.drop_attempt((daemon_index, attempt))) {
                let outcome = TargetOutcome::Abandoned { sent: true };
                self.daemons[daemon_index].harness.end(attempt, outcome);
            }
        }
    }

    fn enqueue(&mut self, daemon_index: usize, order: &AttemptOrder) {
        let known = self.daemons[daemon_index]
            .work
            .get(order.request as usize - 1);
        let work = known.cloned().unwrap_or(WORK);
        let work = self.rng.random_range(work);
        let sample = self.rng.random::<f64>();
        let now = self.now;
        let target = self.target(&order.name);
        let is_full = target.queue.len() >= target.queue_limit;
        target.rejections += usize::from(is_full);
        if is_full || sample < target.reject_share {
            let report = target.report();
            let harness = &mut self.daemons[daemon_index].harness;
            harness.end_with_report(order.attempt, TargetOutcome::Rejected, Some(report));
            return;
        }
        let work = work.mul_f64(target.slowdown);
        target
            .queue
            .push_back(((daemon_index, order.attempt), work));
        target.fill_slots(now);
    }

    /// Returns the share of requests that were answered successfully within `time` of submission.
    pub fn answered_within(&self, requests: &[SimulatedRequest], time: Duration) -> f64 {
        let in_time = requests.iter().filter(|(key, daemon_index, submitted)| {
            let mut ends = self.daemons[*daemon_index].harness.ends.iter();
            let end = ends.find(|end| end.request == *key);
            end.is_some_and(|end| end.result.is_ok() && end.at <= *submitted + time)
        });
        in_time.count() as f64 / requests.len().max(1) as f64
    }
}

impl LoadSimulation {
    /// Returns the mean difference between the most and the least loaded target.
    pub fn mean_spread(&self) -> f64 {
        self.spreads.iter().sum::<usize>() as f64 / self.spreads.len().max(1) as f64
    }

    /// Returns the times until requests were answered, in milliseconds and ascending order. A request
    /// without a successful answer counts as its time-out.
    pub fn response_times(&self, requests: &[SimulatedRequest]) -> Vec<f64> {
        let times = requests.iter().map(|(key, daemon_index, submitted)| {
            let mut ends = self.daemons[*daemon_index].harness.ends.iter();
            let end = ends.find(|end| end.request == *key && end.result.is_ok());
            let time = end.map_or(TIMEOUT, |end| end.at.saturating_duration_since(*submitted));
            time.as_secs_f64() * 1_000.0
        });
        let mut times: Vec<f64> = times.collect();
        times.sort_by(f64::total_cmp);
        times
    }

    /// Returns the names of the targets of all attempts, daemon by daemon in the order of sending.
    pub fn sequence(&self) -> String {
        let sends = self.daemons.iter().flat_map(|daemon| &daemon.harness.sends);
        let names: Vec<&str> = sends.map(|(_, order)| order.name.as_ref()).collect();
        names.join(" ")
    }
}

impl SimulatedDaemon {
    fn next_send(&mut self) -> Option<AttemptOrder> {
        let (_, order) = self.harness.sends.get(self.sends_taken)?;
        self.sends_taken += 1;
        Some(order.clone())
    }

    fn next_cancel(&mut self) -> Option<AttemptKey> {
        let attempt = *self.harness.cancels.get(self.cancels_taken)?;
        self.cancels_taken += 1;
        Some(attempt)
    }
}
