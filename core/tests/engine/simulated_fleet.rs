//! A discrete-event simulation of leafs under open-loop load, to measure the combined effect of the
//! engine's decisions.
//!
//! Each leaf has slots and a queue, draws random service times, and has slow periods that it does
//! not report. Simulated time advances from event to event.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yuccalift_core::action::{AttemptCause, AttemptPlan};
use yuccalift_core::event::AttemptFailure;
use yuccalift_core::ids::{AccountName, AttemptId, QueryId, TargetId};
use yuccalift_core::{EngineEvent, EngineOptions, Outcome, SearchRequest, ShardMap};

use crate::support::{EngineHarness, reply, request};

/// One-way network delay between the engine and a leaf.
const NETWORK_DELAY: Duration = Duration::from_micros(250);
/// Constant part of the service time.
const MIN_SERVICE_TIME: Duration = Duration::from_millis(2);
/// Mean of the exponentially distributed part of the service time.
const MEAN_EXTRA_SECONDS: f64 = 0.002;
/// Factor of the service time of a slow leaf.
const SLOWDOWN: f64 = 10.0;

/// An event of the simulation.
#[derive(Clone, Debug)]
enum SimulationStep {
    Submit(Box<SearchRequest>),
    Arrive(Box<AttemptPlan>),
    Finish(TargetId, AttemptId),
    Deliver(Box<EngineEvent>),
}

#[derive(Debug)]
struct SimulationEvent {
    at: Instant,
    order: u64,
    step: SimulationStep,
}

impl PartialEq for SimulationEvent {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl Eq for SimulationEvent {}

impl PartialOrd for SimulationEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for SimulationEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

#[derive(Debug, Default)]
struct SimulatedLeaf {
    running: Vec<AttemptPlan>,
    queue: Vec<AttemptPlan>,
    /// Maximum length that the queue has reached.
    longest_queue: usize,
}

/// Schedule of slow leafs.
#[derive(Clone, Copy, Debug)]
pub struct SlowPeriods {
    /// Number of leafs that are slow at the same time.
    pub leafs: u32,
    /// Time after which other leafs become slow.
    pub length: Duration,
}

/// A query without a result yet.
#[derive(Debug)]
struct SubmittedQuery {
    query: QueryId,
    account: AccountName,
    at: Instant,
}

/// Result of one query.
#[derive(Clone, Debug)]
pub struct QueryResult {
    pub account: AccountName,
    pub latency: Duration,
    pub complete: bool,
    pub refused: bool,
}

/// An engine with simulated leafs and load.
#[derive(Debug)]
pub struct SimulatedFleet {
    pub harness: EngineHarness,
    pub results: Vec<QueryResult>,
    pub first_attempts: u32,
    pub extra_attempts: u32,
    start: Instant,
    slow_periods: Option<SlowPeriods>,
    slots: usize,
    leafs: Vec<SimulatedLeaf>,
    events: BinaryHeap<Reverse<SimulationEvent>>,
    submitted: Vec<SubmittedQuery>,
    order: u64,
    rng: ChaCha8Rng,
}

impl SimulatedFleet {
    pub fn new(options: EngineOptions, map: ShardMap, slow_periods: Option<SlowPeriods>) -> Self {
        let seed = options.seed;
        let slots = map.targets[0].slots as usize;
        let leafs = map
            .targets
            .iter()
            .map(|_| SimulatedLeaf::default())
            .collect();
        let harness = EngineHarness::ready(options, map, 5);
        Self {
            start: harness.now,
            harness,
            results: Vec::new(),
            first_attempts: 0,
            extra_attempts: 0,
            slow_periods,
            slots,
            leafs,
            events: BinaryHeap::new(),
            submitted: Vec::new(),
            order: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Schedules queries of an account at random times, `per_second` on average.
    pub fn load(&mut self, account: &str, per_second: f64, from: Duration, to: Duration) {
        let mut at = from;
        loop {
            at += Duration::from_secs_f64(self.exponential(1.0 / per_second));
            if at >= to {
                return;
            }
            let mut request = request(self.order + 1);
            request.account = account.into();
            self.push(self.start + at, SimulationStep::Submit(Box::new(request)));
        }
    }

    /// Runs the simulation until no event and no timer is left.
    pub fn run(&mut self) {
        loop {
            let next = self.events.peek().map(|Reverse(event)| event.at);
            let wake = self.harness.engine.next_wake();
            match (next, wake) {
                (Some(at), wake) if wake.is_none_or(|wake| at <= wake) => {
                    let Reverse(event) = self.events.pop().expect("the heap is not empty");
                    self.harness.now = at;
                    self.step(event.step);
                }
                (_, Some(wake)) => {
                    self.harness.now = self.harness.now.max(wake);
                    self.harness.handle_without_audit(EngineEvent::Tick);
                }
                (_, None) => return,
            }
            self.execute_actions();
        }
    }

    /// Returns the quantile `share`, from 0 to 1, of the latencies of answered queries.
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

    /// Returns the number of hedges and retries relative to the number of first attempts.
    pub fn extra_load(&self) -> f64 {
        f64::from(self.extra_attempts) / f64::from(self.first_attempts)
    }

    /// Returns the maximum queue length that any leaf has reached.
    pub fn longest_queue(&self) -> usize {
        self.leafs
            .iter()
            .map(|leaf| leaf.longest_queue)
            .max()
            .unwrap_or(0)
    }

    fn step(&mut self, step: SimulationStep) {
        match step {
            SimulationStep::Submit(request) => {
                self.submitted.push(SubmittedQuery {
                    query: request.query,
                    account: request.account.clone(),
                    at: self.harness.now,
                });
                self.harness
                    .handle_without_audit(EngineEvent::Submit(*request));
            }
            SimulationStep::Arrive(plan) => {
                let leaf = &mut self.leafs[plan.target as usize];
                let target = plan.target;
                leaf.queue.push(*plan);
                self.start_next(target);
                let leaf = &mut self.leafs[target as usize];
                leaf.longest_queue = leaf.longest_queue.max(leaf.queue.len());
            }
            SimulationStep::Finish(target, attempt) => self.finish(target, attempt),
            SimulationStep::Deliver(event) => self.harness.handle_without_audit(*event),
        }
    }

    fn finish(&mut self, target: TargetId, attempt: AttemptId) {
        let leaf = &mut self.leafs[target as usize];
        let index = leaf.running.iter().position(|plan| plan.attempt == attempt);
        if let Some(index) = index {
            let plan = leaf.running.swap_remove(index);
            self.schedule_event(EngineEvent::Reply(reply(&plan)));
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
        let at = self.harness.now + service;
        self.push(at, SimulationStep::Finish(target, attempt));
    }

    fn service_time(&mut self, target: TargetId) -> Duration {
        let extra = self.exponential(MEAN_EXTRA_SECONDS);
        let factor = if self.is_slow(target) { SLOWDOWN } else { 1.0 };
        (MIN_SERVICE_TIME + Duration::from_secs_f64(extra)).mul_f64(factor)
    }

    fn is_slow(&self, target: TargetId) -> bool {
        let Some(slow_periods) = self.slow_periods else {
            return false;
        };
        let elapsed = self.harness.now - self.start;
        let period = (elapsed.as_secs_f64() / slow_periods.length.as_secs_f64()) as u32;
        let targets = self.leafs.len() as u32;
        // Multipliers without a common factor with the number of targets spread the slow leafs.
        (0..slow_periods.leafs).any(|slow| (period * 37 + slow * 29) % targets == target)
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        -uniform.ln() * mean
    }

    fn execute_actions(&mut self) {
        for plan in self.harness.take_sends() {
            if plan.cause == AttemptCause::First {
                self.first_attempts += 1;
            } else {
                self.extra_attempts += 1;
            }
            let at = self.harness.now + NETWORK_DELAY;
            self.push(at, SimulationStep::Arrive(Box::new(plan)));
        }
        for attempt in std::mem::take(&mut self.harness.cancels) {
            self.cancel(attempt);
        }
        for (query, answer) in std::mem::take(&mut self.harness.answers) {
            self.record_result(query, answer.coverage.is_complete(), false);
        }
        for (query, refusal) in std::mem::take(&mut self.harness.refusals) {
            assert_eq!(
                refusal.outcome,
                Outcome::NotRun,
                "only queries that did not run are refused"
            );
            self.record_result(query, false, true);
        }
    }

    /// Cancels an attempt that has arrived at its leaf; an attempt still in transit runs normally.
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
            self.schedule_event(EngineEvent::Failed { attempt, failure });
            self.start_next(target as TargetId);
        }
    }

    fn record_result(&mut self, query: QueryId, complete: bool, refused: bool) {
        let index = self
            .submitted
            .iter()
            .position(|submitted| submitted.query == query)
            .expect("each result belongs to a submitted query without a result");
        let submitted = self.submitted.swap_remove(index);
        self.results.push(QueryResult {
            account: submitted.account,
            latency: self.harness.now - submitted.at,
            complete,
            refused,
        });
    }

    fn schedule_event(&mut self, event: EngineEvent) {
        let at = self.harness.now + NETWORK_DELAY;
        self.push(at, SimulationStep::Deliver(Box::new(event)));
    }

    fn push(&mut self, at: Instant, step: SimulationStep) {
        self.order += 1;
        let order = self.order;
        self.events
            .push(Reverse(SimulationEvent { at, order, step }));
    }
}
