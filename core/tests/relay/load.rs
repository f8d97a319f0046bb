//! Simulates load on the relays of several daemons that share targets with slots and queues, in
//! simulated time.

use std::collections::VecDeque;
use std::ops::Range;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yuccalift_core::relay::{
    AttemptKey, AttemptOrder, RelayEvent, RequestKey, RouteEntry, TargetOutcome, TargetRecord,
};

use crate::support::{RelayHarness, RequestEnd, TIMEOUT, success};

/// Step of the simulated time.
const STEP: Duration = Duration::from_millis(1);
/// Duration of an attempt at a target of normal speed.
const WORK: Range<Duration> = Duration::from_millis(8)..Duration::from_millis(22);

/// A target that runs as many attempts concurrently as it has slots, and queues the others.
#[derive(Debug)]
pub struct SimulatedTarget {
    pub name: Box<str>,
    pub slots: usize,
    /// Factor on the duration of attempts.
    pub slowdown: f64,
    /// Share of the attempts that are rejected at once.
    pub reject_share: f64,
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
            queue_limit: usize::MAX,
            rejections: 0,
            running: Vec::new(),
            queue: VecDeque::new(),
        }
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
    now: Instant,
    rng: ChaCha8Rng,
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
        let now = Instant::now();
        let simulated = targets
            .iter()
            .map(|target| SimulatedTarget::new(&target.name, slots));
        let daemons = (0..daemons).map(|number| {
            let host = format!("entry-{number}");
            let mut harness = RelayHarness::on_host(&host, routes.to_vec(), targets.to_vec());
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
            now,
            rng: ChaCha8Rng::seed_from_u64(11),
        }
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
                let harness = &mut self.daemons[daemon_index].harness;
                harness.end(attempt, success(b"0123456789abcdef"));
            }
            self.targets[target_index].fill_slots(self.now);
        }
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
            let harness = &mut self.daemons[daemon_index].harness;
            harness.end(order.attempt, TargetOutcome::Rejected);
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
