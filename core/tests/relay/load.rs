//! Load played against the relays of several daemons, which share targets with slots and queues, in
//! a time of their own.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yuccalift_core::relay::{
    AttemptKey, AttemptOrder, RequestKey, RouteEntry, TargetOutcome, TargetRecord,
};

use crate::support::{RelayHarness, TIMEOUT, success};

/// How far time moves at once.
const STEP: Duration = Duration::from_millis(1);
/// What an attempt takes at a target that works as usual.
const WORK: std::ops::Range<Duration> = Duration::from_millis(8)..Duration::from_millis(22);

/// A target that runs as many attempts at a time as it has slots, and queues the others.
#[derive(Debug)]
pub struct SimulatedTarget {
    pub name: Box<str>,
    pub slots: usize,
    /// What its work takes, in multiples of the usual.
    pub slowdown: f64,
    /// The share of attempts that it rejects at once.
    pub reject_share: f64,
    running: Vec<(Instant, SimulatedAttempt)>,
    queue: VecDeque<(SimulatedAttempt, Duration)>,
}

/// An attempt, and the place of the daemon that made it.
type SimulatedAttempt = (usize, AttemptKey);
/// A request, the place of the daemon that it was sent to, and when.
pub type SimulatedRequest = (RequestKey, usize, Instant);

impl SimulatedTarget {
    /// A target that works as usual.
    pub fn new(name: &str, slots: usize) -> Self {
        Self {
            name: name.into(),
            slots,
            slowdown: 1.0,
            reject_share: 0.0,
            running: Vec::new(),
            queue: VecDeque::new(),
        }
    }

    /// Drops an attempt whose connection was closed; false if it has ended already.
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

/// Daemons before the same played targets.
pub struct LoadSimulation {
    pub targets: Vec<SimulatedTarget>,
    daemons: Vec<SimulatedDaemon>,
    now: Instant,
    rng: ChaCha8Rng,
}

struct SimulatedDaemon {
    harness: RelayHarness,
    sends_taken: usize,
    cancels_taken: usize,
}

impl LoadSimulation {
    /// Daemons that know these routes and targets, each of which has this many slots.
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
        let daemons = (0..daemons).map(|_| {
            let mut harness = RelayHarness::new(routes.to_vec(), targets.to_vec());
            harness.now = now;
            SimulatedDaemon {
                harness,
                sends_taken: 0,
                cancels_taken: 0,
            }
        });
        Self {
            targets: simulated.collect(),
            daemons: daemons.collect(),
            now,
            rng: ChaCha8Rng::seed_from_u64(11),
        }
    }

    /// The played target of a name.
    pub fn target(&mut self, name: &str) -> &mut SimulatedTarget {
        let mut targets = self.targets.iter_mut();
        let found = targets.find(|target| target.name.as_ref() == name);
        found.expect("the target is played")
    }

    /// Submits requests on a route at an even pace for a time, to the daemons in turn.
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

    /// Lets time pass.
    pub fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        for daemon_index in 0..self.daemons.len() {
            self.apply_actions(daemon_index);
            self.daemons[daemon_index].harness.advance(STEP);
            self.apply_actions(daemon_index);
        }
        for daemon_index in 0..self.targets.len() {
            for (daemon, attempt) in self.targets[daemon_index].take_ended(self.now) {
                let harness = &mut self.daemons[daemon].harness;
                harness.end(attempt, success(b"0123456789abcdef"));
            }
            self.targets[daemon_index].fill_slots(self.now);
        }
    }

    /// Carries out what a daemon sent and cancelled.
    fn apply_actions(&mut self, daemon_index: usize) {
        while let Some(order) = self.daemons[daemon_index].next_send() {
            self.queue(daemon_index, &order);
        }
        while let Some(attempt) = self.daemons[daemon_index].next_cancel() {
            let mut targets = self.targets.iter_mut();
            if targets.any(|target| target.drop_attempt((daemon_index, attempt))) {
                let outcome = TargetOutcome::Abandoned { sent: true };
                self.daemons[daemon_index].harness.end(attempt, outcome);
            }
        }
    }

    fn queue(&mut self, daemon: usize, order: &AttemptOrder) {
        let work = self.rng.random_range(WORK);
        let roll = self.rng.random::<f64>();
        let now = self.now;
        let target = self.target(&order.name);
        if roll < target.reject_share {
            let harness = &mut self.daemons[daemon].harness;
            harness.end(order.attempt, TargetOutcome::Rejected);
            return;
        }
        let work = work.mul_f64(target.slowdown);
        target.queue.push_back(((daemon, order.attempt), work));
        target.fill_slots(now);
    }

    /// The share of requests that were answered with success within a time of their submission.
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
