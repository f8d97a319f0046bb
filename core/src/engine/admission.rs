//! The order in which the waiting queries of a collection start: [`AdmissionQueue`].
//!
//! Classes are served by urgency, but each less urgent class earns a small share of the starts so
//! that it never starves. Within a class the accounts share the starts by weight (weighted fair
//! queueing), and within an account the query with the earliest deadline starts first. See
//! `docs/DESIGN.md`, "Admission".

use std::time::{Duration, Instant};

use crate::engine::plan::CLASSES;
use crate::engine::slots::Slot;
use crate::engine::timers::QueryRef;

/// Fraction of a start that each class, by index, earns from every start of a more urgent class
/// while it has waiting queries.
const RESERVED_START_SHARES: [f64; CLASSES] = [0.0, 0.10, 0.05];
/// Maximum number of earned starts that a class can accumulate.
const MAX_CREDITS: f64 = 2.0;
/// Weight of a new interval in the moving average of the interval between starts.
const INTERVAL_WEIGHT: f64 = 0.1;
/// Minimum number of recorded intervals before a wait is estimated.
const MIN_INTERVAL_SAMPLES: u32 = 16;
/// Maximum age of the last start at which a wait is still estimated.
const MAX_INTERVAL_AGE: Duration = Duration::from_secs(1);

/// A waiting query and the time that determines its order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct WaitingQuery {
    /// The query's deadline, or its submission time if the order is first in, first out.
    pub(crate) rank: Instant,
    pub(crate) query: QueryRef,
}

/// Identifies a flow: the queries of one account in one class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct FlowKey {
    /// Index of the class; class 0 is served first.
    pub(crate) class: u8,
    pub(crate) account: Slot,
}

#[derive(Debug)]
struct AccountFlow {
    key: FlowKey,
    weight: f64,
    virtual_time: f64,
    waiting: Vec<WaitingQuery>,
}

/// Moving average of the interval between query starts while other queries wait.
#[derive(Debug, Default)]
struct StartInterval {
    last: Option<Instant>,
    interval_seconds: f64,
    samples: u32,
}

#[derive(Debug, Default)]
pub(crate) struct AdmissionQueue {
    reserves_starts: bool,
    flows: Vec<AccountFlow>,
    waiting: [u32; CLASSES],
    credits: [f64; CLASSES],
    virtual_clocks: [f64; CLASSES],
    start_interval: StartInterval,
}

impl AdmissionQueue {
    /// Creates an empty queue; `reserves_starts` grants less urgent classes a share of the starts.
    pub(crate) fn new(reserves_starts: bool) -> Self {
        Self {
            reserves_starts,
            ..Self::default()
        }
    }

    /// Returns the number of waiting queries in each class.
    pub(crate) fn waiting(&self) -> [u32; CLASSES] {
        self.waiting
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.iter().all(|count| *count == 0)
    }

    pub(crate) fn push(&mut self, key: FlowKey, weight: u32, entry: WaitingQuery) {
        let class = usize::from(key.class);
        let virtual_clock = self.virtual_clocks[class];
        let index = self.find_or_insert_flow(key);
        let flow = &mut self.flows[index];
        flow.weight = f64::from(weight.max(1));
        if flow.waiting.is_empty() {
            // An idle account gains no credit for its absence, but an account that has used more
            // than its share keeps the debt.
            flow.virtual_time = flow.virtual_time.max(virtual_clock);
        }
        let index = flow
            .waiting
            .binary_search(&entry)
            .unwrap_or_else(|index| index);
        flow.waiting.insert(index, entry);
        self.waiting[class] += 1;
    }

    /// Removes a query without starting it; returns false if the query was not waiting.
    pub(crate) fn remove(&mut self, key: FlowKey, entry: WaitingQuery) -> bool {
        let Ok(index) = self.find_flow(key) else {
            return false;
        };
        let flow = &mut self.flows[index];
        let Ok(index) = flow.waiting.binary_search(&entry) else {
            return false;
        };
        flow.waiting.remove(index);
        self.waiting[usize::from(key.class)] -= 1;
        if self.is_empty() {
            self.start_interval.last = None;
        }
        true
    }

    /// Returns the next query to start among those for which `can_start` returns true.
    pub(crate) fn next(
        &self,
        can_start: impl Fn(FlowKey, QueryRef) -> bool,
    ) -> Option<(FlowKey, WaitingQuery)> {
        for class in self.class_order() {
            if self.waiting[class] == 0 {
                continue;
            }
            let next = self.next_of_class(class, &can_start);
            if next.is_some() {
                return next;
            }
        }
        None
    }

    /// Removes a query that starts now; `cost` is the fraction of the collection's shards that it
    /// requests.
    pub(crate) fn start(&mut self, now: Instant, key: FlowKey, entry: WaitingQuery, cost: f64) {
        let class = usize::from(key.class);
        self.start_interval.record(now);
        if !self.remove(key, entry) {
            return;
        }
        if self.reserves_starts {
            self.earn_credits(class, cost);
        }
        if let Ok(index) = self.find_flow(key) {
            let flow = &mut self.flows[index];
            self.virtual_clocks[class] = self.virtual_clocks[class].max(flow.virtual_time);
            flow.virtual_time += cost / flow.weight;
        }
    }

    /// Estimates how long a waiting query will wait, if enough recent starts were observed.
    pub(crate) fn estimate_wait(
        &self,
        now: Instant,
        key: FlowKey,
        entry: WaitingQuery,
    ) -> Option<Duration> {
        let interval = self.start_interval.interval(now)?;
        let flow = &self.flows[self.find_flow(key).ok()?];
        let ahead_in_flow = flow.waiting.binary_search(&entry).ok()? as f64;
        let class = usize::from(key.class);
        let total_weight: f64 = self
            .flows
            .iter()
            .filter(|other| other.key.class == key.class && !other.waiting.is_empty())
            .map(|other| other.weight)
            .sum();
        let turns =
            (ahead_in_flow * total_weight / flow.weight).min(f64::from(self.waiting[class]));
        let urgent: u32 = self.waiting[..class].iter().sum();
        Some(interval.mul_f64(turns + f64::from(urgent)))
    }

    pub(crate) fn queries(&self) -> impl Iterator<Item = QueryRef> {
        self.flows
            .iter()
            .flat_map(|flow| flow.waiting.iter().map(|entry| entry.query))
    }

    fn class_order(&self) -> [usize; CLASSES] {
        // A less urgent class that has earned a whole start precedes the more urgent classes once.
        let earned = (1..CLASSES)
            .rev()
            .find(|class| self.credits[*class] >= 1.0 && self.waiting[*class] > 0);
        match earned {
            Some(2) => [2, 0, 1],
            Some(1) => [1, 0, 2],
            _ => [0, 1, 2],
        }
    }

    fn next_of_class(
        &self,
        class: usize,
        can_start: &impl Fn(FlowKey, QueryRef) -> bool,
    ) -> Option<(FlowKey, WaitingQuery)> {
        let mut best: Option<(&AccountFlow, WaitingQuery)> = None;
        for flow in &self.flows {
            if usize::from(flow.key.class) != class {
                continue;
            }
            let Some(head) = flow.waiting.first() else {
                continue;
            };
            let is_earlier = best.is_none_or(|(other, _)| flow.virtual_time < other.virtual_time);
            if is_earlier && can_start(flow.key, head.query) {
                best = Some((flow, *head));
            }
        }
        best.map(|(flow, head)| (flow.key, head))
    }

    fn earn_credits(&mut self, class: usize, cost: f64) {
        self.credits[class] = (self.credits[class] - cost).max(0.0);
        for (lower, share) in RESERVED_START_SHARES.iter().enumerate().skip(class + 1) {
            if self.waiting[lower] > 0 {
                let earned = self.credits[lower] + cost * share;
                self.credits[lower] = earned.min(MAX_CREDITS);
            }
        }
    }

    fn find_flow(&self, key: FlowKey) -> Result<usize, usize> {
        self.flows.binary_search_by_key(&key, |flow| flow.key)
    }

    fn find_or_insert_flow(&mut self, key: FlowKey) -> usize {
        if let Ok(index) = self.find_flow(key) {
            return index;
        }
        let virtual_clocks = self.virtual_clocks;
        self.flows.retain(|flow| {
            let settled = flow.virtual_time <= virtual_clocks[usize::from(flow.key.class)];
            !(flow.waiting.is_empty() && settled)
        });
        let index = self.find_flow(key).unwrap_or_else(|index| index);
        self.flows.insert(
            index,
            AccountFlow {
                key,
                weight: 1.0,
                virtual_time: 0.0,
                waiting: Vec::new(),
            },
        );
        index
    }
}

impl StartInterval {
    fn record(&mut self, now: Instant) {
        if let Some(last) = self.last.replace(now) {
            let seconds = now.saturating_duration_since(last).as_secs_f64();
            let weight = if self.samples == 0 {
                1.0
            } else {
                INTERVAL_WEIGHT
            };
            self.interval_seconds += weight * (seconds - self.interval_seconds);
            self.samples = self.samples.saturating_add(1);
        }
    }

    fn interval(&self, now: Instant) -> Option<Duration> {
        let last = self.last?;
        let is_fresh = now.saturating_duration_since(last) < MAX_INTERVAL_AGE;
        (is_fresh && self.samples >= MIN_INTERVAL_SAMPLES)
            .then(|| Duration::from_secs_f64(self.interval_seconds))
    }
}
