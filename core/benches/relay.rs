//! Cost of the relay's decisions by the number of services of a route and of known targets.

use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use criterion::{BenchmarkId, Criterion, Throughput};
use yuccalift_core::relay::route::{CallerLimits, ServiceEntry};
use yuccalift_core::relay::{
    AdmissionMode, AttemptKey, MergeRule, RelayAction, RelayEngine, RelayEvent, RelayOptions,
    RelayRequest, RelayTuning, RepeatKind, ReplyBody, RequestKey, RequestOrigin, RouteDestination,
    RouteEntry, RouteTable, SelfReport, TargetOutcome, TargetPhase, TargetRecord, TargetReply,
};

/// Number of targets of each service.
const REPLICAS: u32 = 3;
/// Number of services of a route and of known targets: a site of today, a grown site, and a route
/// of the target size in docs/CAPACITY.md.
const SIZES: [(u32, u32); 3] = [(10, 135), (54, 330), (300, 15_000)];
const LATENCY: Duration = Duration::from_millis(15);

/// A relay with one merged route, and with more targets than the route uses.
struct BenchRelay {
    engine: RelayEngine,
    route: Arc<RouteEntry>,
    now: Instant,
    last_request: RequestKey,
    actions: Vec<RelayAction>,
}

impl BenchRelay {
    fn new(services: u32, targets: u32) -> Self {
        let route = merged_route(services);
        let all = targets / REPLICAS;
        let entries = (0..all).map(|number| ServiceEntry {
            name: service_name(number),
            connections: 76,
            ..ServiceEntry::default()
        });
        let limits = CallerLimits::default();
        let table = RouteTable::new(1, vec![route.clone()], entries.collect(), limits);
        let mut bench = Self {
            engine: RelayEngine::new(options()),
            route: Arc::new(route),
            now: Instant::now(),
            last_request: 0,
            actions: Vec::new(),
        };
        bench.handle(RelayEvent::RoutesChanged(Arc::new(table)));
        for number in 0..targets {
            bench.handle(RelayEvent::TargetListed(target(number)));
        }
        for _ in 0..50 {
            bench.run_request();
        }
        bench
    }

    fn handle(&mut self, event: RelayEvent) {
        self.actions.clear();
        self.engine.handle(self.now, event, &mut self.actions);
    }

    /// Runs a request from its submission to its merged answer.
    fn run_request(&mut self) {
        self.last_request += 1;
        self.handle(RelayEvent::Submit(RelayRequest {
            key: self.last_request,
            fingerprint: self.last_request,
            route: Arc::clone(&self.route),
            deadline: self.now + Duration::from_secs(1),
            origin: RequestOrigin::Caller,
        }));
        let sent: Vec<AttemptKey> = self.actions.iter().filter_map(sent_attempt).collect();
        self.now += LATENCY;
        for attempt in sent {
            let outcome = TargetOutcome::Replied(reply());
            self.handle(RelayEvent::AttemptEnded {
                attempt,
                outcome,
                report: Some(SelfReport::default()),
            });
        }
        black_box(&self.actions);
    }
}

fn sent_attempt(action: &RelayAction) -> Option<AttemptKey> {
    match action {
        RelayAction::Send(order) => Some(order.attempt),
        _ => None,
    }
}

fn options() -> RelayOptions {
    RelayOptions {
        host: "entry-1".into(),
        data_centre: "dc-0".into(),
        tuning: RelayTuning {
            retry_share: 0.2,
            retry_window: Duration::from_secs(10),
            drain_time: Duration::from_secs(3),
            cold: None,
            admission: AdmissionMode::Off,
        },
    }
}

fn service_name(number: u32) -> Box<str> {
    format!("service-{number}").into()
}

fn merged_route(services: u32) -> RouteEntry {
    RouteEntry {
        name: "all".into(),
        host: "shop.example".into(),
        prefix: "/all/".into(),
        destination: RouteDestination::Gather {
            services: (0..services).map(service_name).collect(),
            merge: MergeRule {
                top_records: 10,
                min_coverage: 0.9,
            },
        },
        repeat: RepeatKind::Idempotent,
        attempts: 2,
        timeout: Duration::from_secs(1),
        latency_aim: Duration::from_millis(120),
        priority: 1,
    }
}

fn target(number: u32) -> TargetRecord {
    TargetRecord {
        name: format!("i-{number:08x}").into(),
        service: service_name(number / REPLICAS),
        address: ([10, 0, 0, 1], 8080).into(),
        data_centre: format!("dc-{}", number % REPLICAS).into(),
        slots: 4,
        phase: TargetPhase::Serving,
        cold_left: Duration::ZERO,
        started_ms: Some(1),
    }
}

fn reply() -> TargetReply {
    TargetReply {
        status: 200,
        signature: Some("signed".into()),
        headers: Vec::new(),
        body: ReplyBody::new(vec![7; 160]),
    }
}

/// Measures a merged request, per reply.
fn merged_request(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("merged_request");
    for (services, targets) in SIZES {
        let mut bench = BenchRelay::new(services, targets);
        group.throughput(Throughput::Elements(u64::from(services)));
        let id = BenchmarkId::new(format!("{services}_services"), targets);
        group.bench_function(id, |bencher| bencher.iter(|| bench.run_request()));
    }
    group.finish();
}

/// Measures the update of a target whose record is published again.
fn listed_target(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("listed_target");
    for (services, targets) in SIZES {
        let mut bench = BenchRelay::new(services, targets);
        let mut number = 0;
        let id = BenchmarkId::from_parameter(targets);
        group.bench_function(id, |bencher| {
            bencher.iter(|| {
                number = (number + 7_919) % targets;
                bench.handle(RelayEvent::TargetListed(target(number)));
            });
        });
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    merged_request(&mut criterion);
    listed_target(&mut criterion);
    criterion.final_summary();
}
