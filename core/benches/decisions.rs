//! Benchmarks of the engine's decisions by number of targets, shards and queued requests.

use std::collections::VecDeque;
use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use criterion::{BatchSize, BenchmarkId, Criterion, Throughput};
use yuccalift_core::action::AttemptPlan;
use yuccalift_core::event::{AttemptReply, ConnectionShare, TargetUpdate, TargetUpdateKind};
use yuccalift_core::ids::{CollectionName, QueryId, TargetId};
use yuccalift_core::{
    AccountPolicy, AccountTable, EngineAction, EngineEvent, EngineOptions, PolicyKind,
    RepeatPolicy, RequestKind, SearchEngine, SearchHit, SearchRequest, ShardEntry, ShardMap,
    TargetEntry, Urgency,
};

const ACCOUNT: &str = "co-op";
/// Number of replicas per shard.
const REPLICAS: u32 = 3;
/// Number of hits per reply.
const HITS: u32 = 10;
/// Simulated latency of the targets.
const LATENCY: Duration = Duration::from_millis(4);

/// An engine with several collections, as many as the requested number of targets allows.
struct BenchEngine {
    engine: SearchEngine,
    now: Instant,
    next_query: QueryId,
    collections: Vec<CollectionName>,
    actions: Vec<EngineAction>,
}

impl BenchEngine {
    fn new(targets: u32, shards: u32) -> Self {
        let collections = (targets / (shards * REPLICAS)).max(1);
        let names = (0..collections).map(|number| format!("c{number}").into());
        let mut bench = Self {
            engine: SearchEngine::with_options(EngineOptions::new(PolicyKind::Full, 7)),
            now: Instant::now(),
            next_query: 1,
            collections: names.collect(),
            actions: Vec::new(),
        };
        let account = account(bench.collections.clone());
        bench.handle(EngineEvent::AccountsChanged(Arc::new(AccountTable::new(
            1,
            vec![account],
        ))));
        for number in 0..collections {
            bench.change_map(number, shards);
        }
        bench.now += Duration::from_secs(2);
        for _ in 0..100 {
            bench.run_query();
        }
        bench
    }

    fn change_map(&mut self, number: u32, shards: u32) {
        let first = number * shards * REPLICAS;
        let name = self.collections[number as usize].clone();
        let map = shard_map(name, first, shards);
        let targets: Vec<TargetId> = map.targets.iter().map(|entry| entry.target).collect();
        self.handle(EngineEvent::MapChanged(Arc::new(map)));
        let granted = targets.iter().map(|target| ConnectionShare {
            target: *target,
            connections: 10,
        });
        self.handle(EngineEvent::SharesChanged(granted.collect()));
        for target in targets {
            let kind = TargetUpdateKind::Held(vec![4, 5]);
            self.handle(EngineEvent::TargetUpdate(TargetUpdate { target, kind }));
        }
    }

    fn handle(&mut self, event: EngineEvent) {
        self.actions.clear();
        self.engine.handle(self.now, event, &mut self.actions);
    }

    fn submit(&mut self) -> Vec<AttemptPlan> {
        let query = self.next_query;
        self.next_query += 1;
        let collection = &self.collections[query as usize % self.collections.len()];
        let request = request(query, collection.clone());
        self.handle(EngineEvent::Submit(request));
        self.sends()
    }

    fn sends(&mut self) -> Vec<AttemptPlan> {
        self.actions
            .drain(..)
            .filter_map(|action| match action {
                EngineAction::Send(plan) => Some(plan),
                _ => None,
            })
            .collect()
    }

    fn answer(&mut self, replies: Vec<AttemptReply>) {
        for reply in replies {
            self.handle(EngineEvent::Reply(reply));
        }
    }

    fn run_query(&mut self) {
        let sends = self.submit();
        self.now += LATENCY;
        let replies = sends.iter().map(reply).collect();
        self.answer(replies);
    }
}

fn account(collections: Vec<CollectionName>) -> AccountPolicy {
    AccountPolicy {
        account: ACCOUNT.into(),
        template: "desk".into(),
        collections,
        urgency: Urgency::Urgent,
        patience: Duration::from_secs(3_600),
        deadline: Duration::from_secs(7_200),
        repeat: RepeatPolicy::Hedge,
        hedge_share: 0.05,
        retry_share: 0.1,
        weight: 1,
        queue_limit: u32::MAX,
    }
}

fn request(query: QueryId, collection: CollectionName) -> SearchRequest {
    SearchRequest {
        query,
        request: "request".into(),
        account: ACCOUNT.into(),
        collection,
        kind: RequestKind::Search,
        text: "tag 17".into(),
        limit: 20,
        fingerprint: query,
        time_left: None,
    }
}

fn shard_map(collection: CollectionName, first: TargetId, shards: u32) -> ShardMap {
    let targets = (first..first + shards * REPLICAS).map(|target| TargetEntry {
        target,
        address: ([127, 0, 0, 1], 9_000).into(),
        data_centre: "north".into(),
        host: "leaf".into(),
        slots: 4,
        connections: 30,
        connect_ms: 6,
    });
    let entries = (0..shards).map(|shard| ShardEntry {
        shard,
        replicas: (0..REPLICAS)
            .map(|replica| first + shard * REPLICAS + replica)
            .collect(),
    });
    ShardMap {
        collection,
        epoch: 1,
        shards: entries.collect(),
        targets: targets.collect(),
    }
}

fn reply(plan: &AttemptPlan) -> AttemptReply {
    let hits = (0..HITS).map(|number| SearchHit {
        shard: plan.shard,
        key: "ewe".into(),
        score: f64::from(plan.shard * 31 % 17 + number),
    });
    AttemptReply {
        attempt: plan.attempt,
        query: plan.query,
        shard: plan.shard,
        version: plan.snapshot.version,
        held: vec![4, 5],
        hits: hits.collect(),
        complete: true,
    }
}

/// Measures the total cost of a query, per leaf request: plan, choice, send, reply, merge, answer.
fn leaf_request(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("leaf_request");
    for (targets, shards) in [
        (100, 10),
        (100, 30),
        (1_000, 30),
        (1_000, 300),
        (15_000, 30),
        (15_000, 300),
    ] {
        let mut bench = BenchEngine::new(targets, shards);
        group.throughput(Throughput::Elements(u64::from(shards)));
        let id = BenchmarkId::new(format!("{targets}_targets"), format!("{shards}_shards"));
        group.bench_function(id, |bencher| bencher.iter(|| bench.run_query()));
    }
    group.finish();
}

/// Measures the time from the caller's request to the sends: admission, snapshot, target choice.
fn plan_query(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("plan_query");
    for (targets, shards) in [(100, 10), (1_000, 30), (15_000, 300)] {
        group.throughput(Throughput::Elements(u64::from(shards)));
        let id = BenchmarkId::new(format!("{targets}_targets"), format!("{shards}_shards"));
        group.bench_function(id, |bencher| {
            let mut bench = BenchEngine::new(targets, shards);
            bencher.iter_custom(|rounds| {
                let mut spent = Duration::ZERO;
                for _ in 0..rounds {
                    let start = Instant::now();
                    let sends = black_box(bench.submit());
                    spent += start.elapsed();
                    bench.now += LATENCY;
                    let replies = sends.iter().map(reply).collect();
                    bench.answer(replies);
                }
                spent
            });
        });
    }
    group.finish();
}

/// Measures the handling of all replies of a query and the merge to an answer.
fn merge_replies(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("merge_replies");
    for (targets, shards) in [(100, 10), (1_000, 30), (15_000, 300)] {
        group.throughput(Throughput::Elements(u64::from(shards)));
        let id = BenchmarkId::new(format!("{targets}_targets"), format!("{shards}_shards"));
        group.bench_function(id, |bencher| {
            let mut bench = BenchEngine::new(targets, shards);
            bencher.iter_custom(|rounds| {
                let mut spent = Duration::ZERO;
                for _ in 0..rounds {
                    let sends = bench.submit();
                    bench.now += LATENCY;
                    let replies = sends.iter().map(reply).collect();
                    let start = Instant::now();
                    bench.answer(replies);
                    spent += start.elapsed();
                }
                spent
            });
        });
    }
    group.finish();
}

/// Measures replies that free connections while queries wait, so that waiting queries start.
fn queued_query(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("queued_query");
    for queued in [10, 1_000, 10_000] {
        let mut bench = BenchEngine::new(90, 30);
        let mut in_flight = VecDeque::new();
        for _ in 0..queued {
            in_flight.extend(bench.submit());
        }
        group.throughput(Throughput::Elements(30));
        let id = BenchmarkId::from_parameter(format!("{queued}_queued"));
        group.bench_function(id, |bencher| {
            bencher.iter_batched(
                || (),
                |()| {
                    // One query is submitted and about one ends, so the queue keeps its length.
                    in_flight.extend(bench.submit());
                    bench.now += Duration::from_micros(100);
                    for _ in 0..30.min(in_flight.len()) {
                        if let Some(plan) = in_flight.pop_front() {
                            bench.handle(EngineEvent::Reply(reply(&plan)));
                        }
                        in_flight.extend(bench.sends());
                    }
                },
                BatchSize::SmallInput,
            );
        });
    }
    group.finish();
}

/// Measures a query whose snapshot is recomputed because a target reported another version.
fn change_version(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("change_version");
    for shards in [10, 30, 300] {
        let mut bench = BenchEngine::new(shards * REPLICAS, shards);
        let mut newer = false;
        let id = BenchmarkId::from_parameter(format!("{shards}_shards"));
        group.bench_function(id, |bencher| {
            bencher.iter_custom(|rounds| {
                let mut spent = Duration::ZERO;
                for _ in 0..rounds {
                    newer = !newer;
                    spent += time_of_change(&mut bench, newer);
                }
                spent
            });
        });
    }
    group.finish();
}

fn time_of_change(bench: &mut BenchEngine, newer: bool) -> Duration {
    // A report is ignored for a while after the target's own reply has reported its versions.
    bench.now += Duration::from_secs(10);
    let held = if newer { vec![4, 5, 6] } else { vec![4, 5] };
    let kind = TargetUpdateKind::Held(held);
    let start = Instant::now();
    bench.handle(EngineEvent::TargetUpdate(TargetUpdate { target: 0, kind }));
    let sends = bench.submit();
    let spent = start.elapsed();
    bench.now += LATENCY;
    let replies = sends.iter().map(reply).collect();
    bench.answer(replies);
    spent
}

fn main() {
    let mut criterion = Criterion::default()
        .sample_size(20)
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1))
        .configure_from_args();
    leaf_request(&mut criterion);
    plan_query(&mut criterion);
    merge_replies(&mut criterion);
    queued_query(&mut criterion);
    change_version(&mut criterion);
    criterion.final_summary();
}
