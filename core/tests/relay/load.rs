//! Load played against the relays of several daemons, which share targets with slots and queues, in
//! a time of their own.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yuccalift_core::relay::{
    AttemptKey, AttemptOrder, RequestKey, RouteEntry, TargetOutcome, TargetRecord,
};

use crate::support::{RelayStage, TIMEOUT, success};

/// How far time moves at once.
const STEP: Duration = Duration::from_millis(1);
/// What an attempt takes at a target that works as usual.
const WORK: std::ops::Range<Duration> = Duration::from_millis(8)..Duration::from_millis(22);

/// A target that runs as many attempts at a time as it has slots, and queues the others.
#[derive(Debug)]
pub struct PlayedTarget {
    pub name: Box<str>,
    pub slots: usize,
    /// What its work takes, in multiples of the usual.
    pub slowness: f64,
    /// The share of attempts that it rejects at once.
    pub rejects: f64,
    running: Vec<(Instant, PlayedAttempt)>,
    queue: VecDeque<(PlayedAttempt, Duration)>,
}

/// An attempt, and the place of the daemon that made it.
type PlayedAttempt = (usize, AttemptKey);
/// A request, the place of the daemon that it was sent to, and when.
pub type PlayedRequest = (RequestKey, usize, Instant);

impl PlayedTarget {
    /// A target that works as usual.
    pub fn new(name: &str, slots: usize) -> Self {
        Self {
            name: name.into(),
            slots,
            slowness: 1.0,
            rejects: 0.0,
            running: Vec::new(),
            queue: VecDeque::new(),
        }
    }

    /// Drops an attempt whose connection was closed; false if it has ended already.
    fn drop_attempt(&mut self, attempt: PlayedAttempt) -> bool {
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

    fn take_ended(&mut self, now: Instant) -> Vec<PlayedAttempt> {
        let ended = self.running.extract_if(.., |(end, _)| *end <= now);
        ended.map(|(_, attempt)| attempt).collect()
    }
}

/// Daemons before the same played targets.
pub struct PlayedLoad {
    pub targets: Vec<PlayedTarget>,
    daemons: Vec<PlayedDaemon>,
    now: Instant,
    rng: ChaCha8Rng,
}

struct PlayedDaemon {
    stage: RelayStage,
    sends_taken: usize,
    cancels_taken: usize,
}

impl PlayedLoad {
    /// Daemons that know these routes and targets, each of which has this many slots.
    pub fn new(
        daemons: usize,
        routes: &[RouteEntry],
        targets: &[TargetRecord],
        slots: usize,
    ) -> Self {
        let now = Instant::now();
        let played = targets
            .iter()
            .map(|target| PlayedTarget::new(&target.name, slots));
        let daemons = (0..daemons).map(|_| {
            let mut stage = RelayStage::new(routes.to_vec(), targets.to_vec());
            stage.now = now;
            PlayedDaemon {
                stage,
                sends_taken: 0,
                cancels_taken: 0,
            }
        });
        Self {
            targets: played.collect(),
            daemons: daemons.collect(),
            now,
            rng: ChaCha8Rng::seed_from_u64(11),
        }
    }

    /// The played target of a name.
    pub fn target(&mut self, name: &str) -> &mut PlayedTarget {
        let mut targets = self.targets.iter_mut();
        let found = targets.find(|target| target.name.as_ref() == name);
        found.expect("the target is played")
    }

    /// Submits requests on a route at an even pace for a time, to the daemons in turn.
    pub fn submit_evenly(
        &mut self,
        route: &str,
        gap: Duration,
        length: Duration,
    ) -> Vec<PlayedRequest> {
        let end = self.now + length;
        let mut requests = Vec::new();
        let mut next = self.now;
        while self.now < end {
            while next <= self.now {
                let place = requests.len() % self.daemons.len();
                let key = self.daemons[place].stage.submit(route, TIMEOUT);
                requests.push((key, place, self.now));
                next += gap;
            }
            self.step();
        }
        requests
    }

    /// Lets time pass.
    pub fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        for place in 0..self.daemons.len() {
            self.take_orders(place);
            self.daemons[place].stage.pass(STEP);
            self.take_orders(place);
        }
        for place in 0..self.targets.len() {
            for (daemon, attempt) in self.targets[place].take_ended(self.now) {
                let stage = &mut self.daemons[daemon].stage;
                stage.end(attempt, success(b"0123456789abcdef"));
            }
            self.targets[place].fill_slots(self.now);
        }
    }

    /// Carries out what a daemon sent and cancelled.
    fn take_orders(&mut self, place: usize) {
        while let Some(order) = self.daemons[place].next_send() {
            self.queue(place, &order);
        }
        while let Some(attempt) = self.daemons[place].next_cancel() {
            let mut targets = self.targets.iter_mut();
            if targets.any(|target| target.drop_attempt((place, attempt))) {
                let outcome = TargetOutcome::Abandoned { sent: true };
                self.daemons[place].stage.end(attempt, outcome);
            }
        }
    }

    fn queue(&mut self, daemon: usize, order: &AttemptOrder) {
        let work = self.rng.random_range(WORK);
        let luck = self.rng.random::<f64>();
        let now = self.now;
        let target = self.target(&order.name);
        if luck < target.rejects {
            let stage = &mut self.daemons[daemon].stage;
            stage.end(order.attempt, TargetOutcome::Rejected);
            return;
        }
        let work = work.mul_f64(target.slowness);
        target.queue.push_back(((daemon, order.attempt), work));
        target.fill_slots(now);
    }

    /// The share of requests that were answered with success within a time of their submission.
    pub fn answered_within(&self, requests: &[PlayedRequest], time: Duration) -> f64 {
        let in_time = requests.iter().filter(|(key, place, submitted)| {
            let mut ends = self.daemons[*place].stage.ends.iter();
            let end = ends.find(|end| end.request == *key);
            end.is_some_and(|end| end.result.is_ok() && end.at <= *submitted + time)
        });
        in_time.count() as f64 / requests.len().max(1) as f64
    }
}

impl PlayedDaemon {
    fn next_send(&mut self) -> Option<AttemptOrder> {
        let (_, order) = self.stage.sends.get(self.sends_taken)?;
        self.sends_taken += 1;
        Some(order.clone())
    }

    fn next_cancel(&mut self) -> Option<AttemptKey> {
        let attempt = *self.stage.cancels.get(self.cancels_taken)?;
        self.cancels_taken += 1;
        Some(attempt)
    }
}
