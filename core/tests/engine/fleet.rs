//! A few fake leafs under open-loop load, to see what the decisions come to together.
//!
//! Each leaf has slots and a queue, draws its service times, and has slow spells that nothing
//! reports. Time is counted in steps of the events.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yuccalift_core::action::{AttemptCause, AttemptPlan};
use yuccalift_core::event::AttemptFailure;
use yuccalift_core::ids::{AccountName, AttemptId, QueryId, TargetId};
use yuccalift_core::{EngineEvent, EngineOptions, Outcome, SearchRequest, ShardMap};

use crate::support::{EngineDriver, reply, request};

/// The time from the engine to a leaf.
const ONE_WAY: Duration = Duration::from_micros(250);
/// The part of the service time that is always needed.
const LEAST_SERVICE: Duration = Duration::from_millis(2);
/// The mean of the part that is drawn.
const MEAN_EXTRA: f64 = 0.002;
/// How much longer a slow leaf takes.
const SLOWDOWN: f64 = 10.0;

/// What happens next.
#[derive(Clone, Debug)]
enum FleetStep {
    Submit(Box<SearchRequest>),
    Arrive(Box<AttemptPlan>),
    Finish(TargetId, AttemptId),
    Tell(Box<EngineEvent>),
}

#[derive(Debug)]
struct FleetEvent {
    at: Instant,
    order: u64,
    step: FleetStep,
}

impl PartialEq for FleetEvent {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl Eq for FleetEvent {}

impl PartialOrd for FleetEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for FleetEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

#[derive(Debug, Default)]
struct FakeLeaf {
    running: Vec<AttemptPlan>,
    queue: Vec<AttemptPlan>,
    /// The longest that its queue has been.
    longest_queue: usize,
}

/// Which leafs are slow when.
#[derive(Clone, Copy, Debug)]
pub struct SlowSpells {
    /// How many leafs are slow at once.
    pub leafs: u32,
    /// How long until others are.
    pub length: Duration,
}

/// A query whose result is awaited.
#[derive(Debug)]
struct SubmittedQuery {
    query: QueryId,
    account: AccountName,
    at: Instant,
}

/// What became of one query.
#[derive(Clone, Debug)]
pub struct QueryResult {
    pub account: AccountName,
    pub latency: Duration,
    pub whole: bool,
    pub refused: bool,
}

/// Fake leafs, an engine, and the load on it.
#[derive(Debug)]
pub struct FakeFleet {
    pub driver: EngineDriver,
    pub results: Vec<QueryResult>,
    pub firsts: u32,
    pub extras: u32,
    start: Instant,
    spells: Option<SlowSpells>,
    slots: usize,
    leafs: Vec<FakeLeaf>,
    events: BinaryHeap<Reverse<FleetEvent>>,
    submitted: Vec<SubmittedQuery>,
    order: u64,
    rng: ChaCha8Rng,
}

impl FakeFleet {
    pub fn new(options: EngineOptions, map: ShardMap, spells: Option<SlowSpells>) -> Self {
        let seed = options.seed;
        let slots = map.targets[0].slots as usize;
        let leafs = map.targets.iter().map(|_| FakeLeaf::default()).collect();
        let driver = EngineDriver::ready(options, map, 5);
        Self {
            start: driver.now,
            driver,
            results: Vec::new(),
            firsts: 0,
            extras: 0,
            spells,
            slots,
            leafs,
            events: BinaryHeap::new(),
            submitted: Vec::new(),
            order: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Adds queries of an account at random times, so many a second on average.
    pub fn load(&mut self, account: &str, per_second: f64, from: Duration, to: Duration) {
        let mut at = from;
        loop {
            at += Duration::from_secs_f64(self.exponential(1.0 / per_second));
            if at >= to {
                return;
            }
            let mut request = request(self.order + 1);
            request.account = account.into();
            self.push(self.start + at, FleetStep::Submit(Box::new(request)));
        }
    }

    /// Runs until nothing is left to do.
    pub fn run(&mut self) {
        loop {
            let next = self.events.peek().map(|Reverse(event)| event.at);
            let wake = self.driver.engine.next_wake();
            match (next, wake) {
                (Some(at), wake) if wake.is_none_or(|wake| at <= wake) => {
                    let Reverse(event) = self.events.pop().expect("it was seen");
                    self.driver.now = at;
                    self.step(event.step);
                }
                (_, Some(wake)) => {
                    self.driver.now = self.driver.now.max(wake);
                    self.driver.tell_unaudited(EngineEvent::Tick);
                }
                (_, None) => return,
            }
            self.carry_out();
        }
    }

    /// A quantile of the latencies of answered queries, 0 to 1.
    pub fn quantile(&self, share: f64) -> Duration {
        let mut latencies: Vec<Duration> = self
            .results
            .iter()
            .filter(|result| !result.refused)
            .map(|result| result.latency)
            .collect();
        latencies.sort_unstable();
        latencies[((latencies.len() - 1) as f64 * share) as usize]
    }

    /// Requests beyond one a shard, as a share.
    pub fn extra_load(&self) -> f64 {
        f64::from(self.extras) / f64::from(self.firsts)
    }

    /// The longest queue that any leaf has had.
    pub fn longest_queue(&self) -> usize {
        self.leafs
            .iter()
            .map(|leaf| leaf.longest_queue)
            .max()
            .unwrap_or(0)
    }

    fn step(&mut self, step: FleetStep) {
        match step {
            FleetStep::Submit(request) => {
                self.submitted.push(SubmittedQuery {
                    query: request.query,
                    account: request.account.clone(),
                    at: self.driver.now,
                });
                self.driver.tell_unaudited(EngineEvent::Submit(*request));
            }
            FleetStep::Arrive(plan) => {
                let leaf = &mut self.leafs[plan.target as usize];
                let target = plan.target;
                leaf.queue.push(*plan);
                self.start_next(target);
                let leaf = &mut self.leafs[target as usize];
                leaf.longest_queue = leaf.longest_queue.max(leaf.queue.len());
            }
            FleetStep::Finish(target, attempt) => self.finish(target, attempt),
            FleetStep::Tell(event) => self.driver.tell_unaudited(*event),
        }
    }

    fn finish(&mut self, target: TargetId, attempt: AttemptId) {
        let leaf = &mut self.leafs[target as usize];
        let place = leaf.running.iter().position(|plan| plan.attempt == attempt);
        if let Some(place) = place {
            let plan = leaf.running.swap_remove(place);
            self.tell_later(EngineEvent::Reply(reply(&plan)));
            self.start_next(target);
        }
    }

    fn start_next(&mut self, target: TargetId) {
        let leaf = &mut self.leafs[target as usize];
        if leaf.running.len() >= self.slots || leaf.queue.is_empty() {
            return;
        }
        let plan = leaf.queue.remove(0);
        let attempt = plan.attempt;
        leaf.running.push(plan);
        let service = self.service_time(target);
        let at = self.driver.now + service;
        self.push(at, FleetStep::Finish(target, attempt));
    }

    fn service_time(&mut self, target: TargetId) -> Duration {
        let extra = self.exponential(MEAN_EXTRA);
        let factor = if self.is_slow(target) { SLOWDOWN } else { 1.0 };
        (LEAST_SERVICE + Duration::from_secs_f64(extra)).mul_f64(factor)
    }

    fn is_slow(&self, target: TargetId) -> bool {
        let Some(spells) = self.spells else {
            return false;
        };
        let elapsed = self.driver.now - self.start;
        let spell = (elapsed.as_secs_f64() / spells.length.as_secs_f64()) as u32;
        let targets = self.leafs.len() as u32;
        // A step that shares no factor with the number of targets spreads the slow ones.
        (0..spells.leafs).any(|slow| (spell * 37 + slow * 29) % targets == target)
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        -uniform.ln() * mean
    }

    fn carry_out(&mut self) {
        for plan in self.driver.take_sends() {
            if plan.cause == AttemptCause::First {
                self.firsts += 1;
            } else {
                self.extras += 1;
            }
            let at = self.driver.now + ONE_WAY;
            self.push(at, FleetStep::Arrive(Box::new(plan)));
        }
        for attempt in std::mem::take(&mut self.driver.cancels) {
            self.cancel(attempt);
        }
        for (query, answer) in std::mem::take(&mut self.driver.answers) {
            self.note_result(query, answer.coverage.is_whole(), false);
        }
        for (query, refusal) in std::mem::take(&mut self.driver.refusals) {
            assert_eq!(
                refusal.outcome,
                Outcome::NotRun,
                "only waiting work is refused"
            );
            self.note_result(query, false, true);
        }
    }

    /// Cancels at once where the attempt has arrived; on its way it is cancelled at its end.
    fn cancel(&mut self, attempt: AttemptId) {
        let holder = self
            .leafs
            .iter_mut()
            .enumerate()
            .find_map(|(target, leaf)| {
                let running = leaf.running.len();
                let queued = leaf.queue.len();
                leaf.running.retain(|plan| plan.attempt != attempt);
                leaf.queue.retain(|plan| plan.attempt != attempt);
                (leaf.running.len() < running || leaf.queue.len() < queued).then_some(target)
            });
        if let Some(target) = holder {
            let failure = AttemptFailure::Cancelled;
            self.tell_later(EngineEvent::Failed { attempt, failure });
            self.start_next(target as TargetId);
        }
    }

    fn note_result(&mut self, query: QueryId, whole: bool, refused: bool) {
        let place = self
            .submitted
            .iter()
            .position(|submitted| submitted.query == query)
            .expect("a result is of a submitted query, once");
        let submitted = self.submitted.swap_remove(place);
        self.results.push(QueryResult {
            account: submitted.account,
            latency: self.driver.now - submitted.at,
            whole,
            refused,
        });
    }

    fn tell_later(&mut self, event: EngineEvent) {
        let at = self.driver.now + ONE_WAY;
        self.push(at, FleetStep::Tell(Box::new(event)));
    }

    fn push(&mut self, at: Instant, step: FleetStep) {
        self.order += 1;
        let order = self.order;
        self.events.push(Reverse(FleetEvent { at, order, step }));
    }
}
